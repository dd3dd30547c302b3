#ifndef VERBENADOCK_FLEET_RECORDPATCHES_H
#define VERBENADOCK_FLEET_RECORDPATCHES_H

#include "verbenadock/base/error.h"
#include "verbenadock/fleet/recordcache.h"
#include "verbenadock/mesh/message.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Fleet {

/// A record could not be compressed.
class CompressionError : public Error
{
public:
    using Error::Error;
};

/// Path of the page with a patch, encoded as the datagram (Mesh::encode).
inline constexpr std::string_view PatchPath = "/record-patch";

/// Target of a request for the newest record of a topic's key, by a VM that has the record at `base`.
std::string patchTarget(std::string_view topic, const std::optional<StorePosition> &base);

struct PatchRequest
{
    std::string topic;
    /// Position of the record that the requesting VM has; empty if it has none.
    std::optional<StorePosition> base;

    auto operator<=>(const PatchRequest &) const = default;
};

/// Parses the target of a request for a patch. Empty for any other target.
std::optional<PatchRequest> patchRequest(std::string_view target);

/// Creates patches from the newest record of a key to send to other VMs, and keeps the last ones, since many VMs ask
/// for the same one at the same time.
class RecordPatches
{
public:
    RecordPatches(std::string topicName, std::string recordKey);

    /// The newest record of the key, compressed against the one at `base` if that is cached. Empty without a record.
    /// Throws CompressionError if the record cannot be compressed.
    std::optional<Mesh::StoreRecordPatch> patchFrom(const RecordCache &cache, const std::optional<StorePosition> &base);

private:
    std::string topic;
    std::string key;
    std::deque<Mesh::StoreRecordPatch> patches;
};

/// Restores the record of a patch. Empty if the patch needs a base that is not cached, or is damaged.
std::optional<Platform::KeyedRecord> restoredRecord(const Mesh::StoreRecordPatch &patch, const RecordCache &cache);

} // namespace Verbenadock::Fleet

#endif
