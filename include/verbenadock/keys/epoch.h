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

/// Thrown for a record of the stream key-epochs that is broken.
class EpochError : public Error
{
public:
    using Error::Error;
};

using EpochNumber = std::uint64_t;

/// Wall-clock time in milliseconds since 1970, for the comparison with UUIDv7 keys only.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// One entry process: a restarted entry has a higher incarnation.
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
    /// Where the entry accepts message streams of other entries, as ADDRESS:PORT.
    std::string address;
    std::string dataCentre;

    MemberId id() const
    {
        return {.vm = this->vm, .incarnation = this->incarnation};
    }

    auto operator<=>(const EpochMember &) const = default;
};

/// The set of entry processes that own keys, as one record of the stream key-epochs says.
struct Epoch
{
    EpochNumber number = 0;
    /// The epoch before it; zero for the first.
    EpochNumber replaces = 0;
    /// Sorted by VM, one process for each VM.
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

/// The record for the stream, as JSON text.
std::string encodeEpoch(const Epoch &epoch);

/// Inverse of encodeEpoch. Throws EpochError for unknown, missing or wrong members, or two processes on one VM.
Epoch decodeEpoch(std::string_view text);

/// The member that owns the key, or null for an epoch without members.
const EpochMember *ownerOf(const Epoch &epoch, const Key &key);

/// The member that owns the key once a VM left, or null when no other member is left.
const EpochMember *heirOf(const Epoch &epoch, const std::string &leavingVm, const Key &key);

} // namespace Verbenadock::Keys

#endif
