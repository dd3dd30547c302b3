#ifndef VERBENADOCK_KEYS_EVENT_H
#define VERBENADOCK_KEYS_EVENT_H

#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/keys/epochlog.h"
#include "verbenadock/keys/message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Verbenadock::Keys {

/// Details of a request that a peer forwarded.
struct Forwarding
{
    /// The peer's newest epoch.
    EpochNumber epoch = 0;
    /// The process that the peer considers the owner.
    MemberId to;

    auto operator<=>(const Forwarding &) const = default;
};

/// A keyed request whose body digest is known, from a caller here or forwarded by a peer.
struct KeyedRequestArrived
{
    TimePoint at;
    WallTime wall;
    RequestId request = 0;
    Key key;
    Fingerprint fingerprint;
    std::optional<Forwarding> forwarding;

    auto operator<=>(const KeyedRequestArrived &) const = default;
};

enum class ExecutionResult {
    Answered,
    /// Proved that no upstream ran it.
    NotRun,
    Unknown,
};

/// The work of an Execute effect ended. The host has answered the request itself.
struct ExecutionEnded
{
    TimePoint at;
    RequestId request = 0;
    ExecutionResult result = ExecutionResult::Unknown;
    /// The whole answer, for Answered; absent when it was too large for the host.
    std::optional<StoredAnswer> answer;

    auto operator<=>(const ExecutionEnded &) const = default;
};

enum class ForwardResult {
    /// The host passed the owner's final answer to the caller.
    Relayed,
    /// The owner refused: it does not own the key under its newest epoch.
    NotOwner,
    /// Nothing was sent to the owner.
    NotSent,
    /// The connection broke after the request was sent.
    Broken,
};

/// A Forward effect ended.
struct ForwardEnded
{
    TimePoint at;
    RequestId request = 0;
    ForwardResult result = ForwardResult::Broken;
    /// The newest epoch of the peer, for NotOwner.
    EpochNumber peerEpoch = 0;

    auto operator<=>(const ForwardEnded &) const = default;
};

/// The sender of the request, a caller or a peer, has disconnected. A running request continues, and its end is
/// reported by ExecutionEnded.
struct RequestAbandoned
{
    TimePoint at;
    RequestId request = 0;

    auto operator<=>(const RequestAbandoned &) const = default;
};

/// A peer reported its KeyReducer::confirmedEpoch() in a separate message.
struct PeerConfirmed
{
    TimePoint at;
    MemberId member;
    EpochNumber epoch = 0;

    auto operator<=>(const PeerConfirmed &) const = default;
};

/// The epochs that the agent knows, oldest first.
struct EpochsChanged
{
    TimePoint at;
    std::vector<KnownEpoch> epochs;

    auto operator<=>(const EpochsChanged &) const = default;
};

struct FenceRequested
{
    TimePoint at;
    FenceRequest request;

    auto operator<=>(const FenceRequested &) const = default;
};

struct FenceReplied
{
    TimePoint at;
    FenceReply reply;

    auto operator<=>(const FenceReplied &) const = default;
};

/// The fence request could not be sent, or the connection broke before the reply.
struct FenceFailed
{
    TimePoint at;
    std::uint64_t id = 0;
    MemberId member;

    auto operator<=>(const FenceFailed &) const = default;
};

struct HandOverReceived
{
    TimePoint at;
    HandOverPart part;

    auto operator<=>(const HandOverReceived &) const = default;
};

/// A SendHandOver effect ended: the receiver answered, or could not be reached.
struct HandOverEnded
{
    TimePoint at;
    MemberId to;
    std::uint32_t part = 0;

    auto operator<=>(const HandOverEnded &) const = default;
};

/// The process is to stop after it has finished its running requests and handed its table over.
struct StopRequested
{
    TimePoint at;

    auto operator<=>(const StopRequested &) const = default;
};

/// The time that KeyReducer::nextDeadline() returned has come.
struct TimerExpired
{
    TimePoint at;

    auto operator<=>(const TimerExpired &) const = default;
};

using Event = std::variant<KeyedRequestArrived,
                           ExecutionEnded,
                           ForwardEnded,
                           RequestAbandoned,
                           PeerConfirmed,
                           EpochsChanged,
                           FenceRequested,
                           FenceReplied,
                           FenceFailed,
                           HandOverReceived,
                           HandOverEnded,
                           StopRequested,
                           TimerExpired>;

} // namespace Verbenadock::Keys

#endif
