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

/// What makes two requests with the same key the same work.
struct Fingerprint
{
    std::string method;
    std::string target;
    std::string bodyDigest;

    auto operator<=>(const Fingerprint &) const = default;
};

/// An upstream's whole answer.
struct StoredAnswer
{
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::size_t bytes() const;

    auto operator<=>(const StoredAnswer &) const = default;
};

/// What a process knows of a key that ran or may have run.
struct KeyRecord
{
    Key key;
    /// Absent when the process that ran the key is gone.
    std::optional<Fingerprint> fingerprint;
    /// True when the upstream answered; false when nobody knows the outcome.
    bool answered = false;
    /// Absent when the answer was too long to be kept, or its room was needed.
    std::optional<StoredAnswer> answer;
    /// Time since the work ended.
    Duration age{0};

    auto operator<=>(const KeyRecord &) const = default;
};

/// "What do you know of this key; from now on you will not run it."
struct FenceRequest
{
    std::uint64_t id = 0;
    MemberId from;
    MemberId to;
    EpochNumber epoch = 0;
    Key key;
    /// Processes that are gone and may have handed the key over to the receiver.
    std::vector<MemberId> gone;

    auto operator<=>(const FenceRequest &) const = default;
};

enum class FenceVerdict {
    /// The receiver knows nothing of the key and will not run it.
    Fenced,
    /// The record says what the receiver knows.
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
    /// The process that was asked: FenceRequest::to. Another one than from only for Refused.
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

/// The fact that the receiver took over each record of the giver whose heir it is under the epoch.
struct Transfer
{
    MemberId giver;
    EpochNumber epoch = 0;
    MemberId receiver;

    auto operator<=>(const Transfer &) const = default;
};

/// A part of the table of a process that stops.
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
