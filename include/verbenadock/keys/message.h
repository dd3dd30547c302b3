#ifndef VERBENADOCK_KEYS_MESSAGE_H
#define VERBENADOCK_KEYS_MESSAGE_H

#include "verbenadock/base/time.h"
#include "verbenadock/keys/epoch.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Verbenadock::Keys {

/// Identifies the work of a request, to detect a key that is reused for other work.
struct Fingerprint
{
    std::string method;
    std::string target;
    std::string bodyDigest;

    auto operator<=>(const Fingerprint &) const = default;
};

/// The complete answer of an upstream.
struct StoredAnswer
{
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::size_t bytes() const;

    auto operator<=>(const StoredAnswer &) const = default;
};

/// Record of a key that ran or may have run.
struct KeyRecord
{
    Key key;
    /// Absent when the process that ran the key has ended.
    std::optional<Fingerprint> fingerprint;
    /// True when the upstream answered; false when the outcome is unknown.
    bool answered = false;
    /// Absent when the answer was too large or was evicted.
    std::optional<StoredAnswer> answer;
    /// Time since the work ended.
    Duration age{0};

    auto operator<=>(const KeyRecord &) const = default;
};

/// Requests the record of a key and fences the key: the receiver must not run it from now on.
struct FenceRequest
{
    std::uint64_t id = 0;
    MemberId from;
    MemberId to;
    EpochNumber epoch = 0;
    Key key;
    /// Ended processes that may have handed the key over to the receiver.
    std::vector<MemberId> gone;

    auto operator<=>(const FenceRequest &) const = default;
};

enum class FenceVerdict {
    /// The receiver has no record of the key and will not run it.
    Fenced,
    /// The reply contains the receiver's record of the key.
    Known,
    /// The receiver knows a newer epoch than the sender.
    Stale,
    /// The receiver cannot take part: another incarnation runs there, or its table is full.
    Refused,
};

struct FenceReply
{
    std::uint64_t id = 0;
    MemberId from;
    /// The process that was queried (FenceRequest::to). Differs from `from` only for Refused.
    MemberId about;
    MemberId to;
    FenceVerdict verdict = FenceVerdict::Refused;
    /// The newest epoch of the receiver.
    EpochNumber epoch = 0;
    /// No key that started under an older epoch still runs at the receiver, and none will start.
    EpochNumber confirmed = 0;
    std::optional<KeyRecord> record;
    /// Those of FenceRequest::gone whose record of this key, if any, is in the receiver's table.
    std::vector<MemberId> covered;

    auto operator<=>(const FenceReply &) const = default;
};

/// States that the receiver took over every record of the giver for which it is the successor under the epoch.
struct Transfer
{
    MemberId giver;
    EpochNumber epoch = 0;
    MemberId receiver;

    auto operator<=>(const Transfer &) const = default;
};

/// A part of the table of a stopping process.
struct HandOverPart
{
    MemberId from;
    MemberId to;
    EpochNumber epoch = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<KeyRecord> records;
    /// Transfers that the giver itself received, in the last part only.
    std::vector<Transfer> transfers;

    auto operator<=>(const HandOverPart &) const = default;
};

} // namespace Verbenadock::Keys

#endif
