#ifndef VERBENADOCK_KEYS_EPOCH_H
#define VERBENADOCK_KEYS_EPOCH_H

#include "verbenadock/base/error.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Keys {

/// Thrown for a malformed record of the stream key-epochs.
class EpochError : public Error
{
public:
    using Error::Error;
};

using EpochNumber = std::uint64_t;

/// Wall-clock time in milliseconds since 1970, for the comparison with UUIDv7 keys only.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Identifies an entry process. A restarted entry has a higher incarnation.
struct MemberId
{
    std::string vm;
    std::uint64_t incarnation = 0;

    auto operator<=>(const MemberId &) const = default;
};

struct EpochMember
{
    std::string vm;
    std::uint64_t incarnation = 0;
    /// Endpoint for message streams from other entries, as ADDRESS:PORT.
    std::string address;
    std::string dataCentre;

    MemberId id() const
    {
        return {.vm = this->vm, .incarnation = this->incarnation};
    }

    auto operator<=>(const EpochMember &) const = default;
};

/// The set of entry processes that own keys; one record of the stream key-epochs.
struct Epoch
{
    EpochNumber number = 0;
    /// Number of the previous epoch; zero for the first epoch.
    EpochNumber replaces = 0;
    /// Sorted by VM, with one process per VM.
    std::vector<EpochMember> members;

    bool contains(const MemberId &member) const;

    auto operator<=>(const Epoch &) const = default;
};

/// A caller's idempotency key within its bundle.
struct Key
{
    std::string bundle;
    std::string value;

    auto operator<=>(const Key &) const = default;
};

/// Encodes an epoch as a record of the stream, in JSON.
std::string encodeEpoch(const Epoch &epoch);

/// Inverse of encodeEpoch. Throws EpochError for unknown, missing or wrong members, or two processes on one VM.
Epoch decodeEpoch(std::string_view text);

/// The member that owns the key, or null for an epoch without members.
const EpochMember *ownerOf(const Epoch &epoch, const Key &key);

/// The member that owns the key after a VM has left, or null when there is no other member.
const EpochMember *successorOf(const Epoch &epoch, const std::string &leavingVm, const Key &key);

} // namespace Verbenadock::Keys

#endif
