#ifndef VERBENADOCK_CONTROL_AGENTEVENT_H
#define VERBENADOCK_CONTROL_AGENTEVENT_H

#include "verbenadock/control/message.h"
#include "verbenadock/keys/epoch.h"
#include "verbenadock/membership/member.h"

#include <string>
#include <variant>
#include <vector>

namespace Verbenadock::Control {

struct ReadRecord
{
    std::uint64_t offset = 0;
    std::string data;

    auto operator<=>(const ReadRecord &) const = default;
};

/// The answer to ReadLog.
struct LogRecordsRead
{
    TimePoint at;
    /// Oldest offset that the log still has.
    std::uint64_t first = 0;
    /// Offset that the next record will get.
    std::uint64_t next = 0;
    std::vector<ReadRecord> records;

    auto operator<=>(const LogRecordsRead &) const = default;
};

/// ReadLog failed.
struct LogUnavailable
{
    TimePoint at;

    auto operator<=>(const LogUnavailable &) const = default;
};

struct VmListRead
{
    TimePoint at;
    /// The VMs that run an agent.
    std::vector<Membership::Identity> members;
    /// Addresses of the upstreams that leave.
    std::vector<std::string> leavingUpstreams;

    auto operator<=>(const VmListRead &) const = default;
};

/// A peer introduced itself on a new stream.
struct PeerConnected
{
    TimePoint at;
    Hello hello;

    auto operator<=>(const PeerConnected &) const = default;
};

struct PeerMessageReceived
{
    TimePoint at;
    std::string peer;
    Message message;

    auto operator<=>(const PeerMessageReceived &) const = default;
};

/// No stream to the peer is left.
struct PeerDisconnected
{
    TimePoint at;
    std::string peer;

    auto operator<=>(const PeerDisconnected &) const = default;
};

struct EntryConnected
{
    TimePoint at;
    /// What the entry said of itself.
    Hello hello = {};

    auto operator<=>(const EntryConnected &) const = default;
};

struct EntryDisconnected
{
    TimePoint at;

    auto operator<=>(const EntryDisconnected &) const = default;
};

/// The entry of this VM reported outcomes.
struct EvidenceReceived
{
    TimePoint at;
    EvidenceReport report;

    auto operator<=>(const EvidenceReceived &) const = default;
};

/// The entry of this VM reported which upstreams announced their drain.
struct DrainsReceived
{
    TimePoint at;
    DrainNotice notice;

    auto operator<=>(const DrainsReceived &) const = default;
};

/// The entry of this VM heard of a newer epoch of the idempotency keys.
struct EpochWanted
{
    TimePoint at;
    std::uint64_t epoch = 0;

    auto operator<=>(const EpochWanted &) const = default;
};

/// The answer to ReadEpochs.
struct EpochRecordsRead
{
    TimePoint at;
    Keys::WallTime wall;
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::vector<ReadRecord> records;

    auto operator<=>(const EpochRecordsRead &) const = default;
};

/// ReadEpochs failed.
struct EpochsUnavailable
{
    TimePoint at;

    auto operator<=>(const EpochsUnavailable &) const = default;
};

/// AppendEpoch ended; whether it took effect is read from the stream.
struct EpochAppendEnded
{
    TimePoint at;

    auto operator<=>(const EpochAppendEnded &) const = default;
};

/// The time that AgentReducer::nextDeadline() returned has come.
struct AgentTimerExpired
{
    TimePoint at;

    auto operator<=>(const AgentTimerExpired &) const = default;
};

using AgentEvent = std::variant<LogRecordsRead,
                                LogUnavailable,
                                VmListRead,
                                PeerConnected,
                                PeerMessageReceived,
                                PeerDisconnected,
                                EntryConnected,
                                EntryDisconnected,
                                EvidenceReceived,
                                DrainsReceived,
                                EpochWanted,
                                EpochRecordsRead,
                                EpochsUnavailable,
                                EpochAppendEnded,
                                AgentTimerExpired>;

/// Sends a message on any stream to the peer. ConnectPeer comes before it unless the peer has connected by itself.
struct SendToPeer
{
    std::string peer;
    Message message;

    auto operator<=>(const SendToPeer &) const = default;
};

struct ConnectPeer
{
    std::string peer;
    std::string address;

    auto operator<=>(const ConnectPeer &) const = default;
};

/// Closes all streams to the peer; no PeerDisconnected follows.
struct DisconnectPeer
{
    std::string peer;

    auto operator<=>(const DisconnectPeer &) const = default;
};

struct SendToEntry
{
    Message message;

    auto operator<=>(const SendToEntry &) const = default;
};

/// Reads the configuration stream; LogRecordsRead or LogUnavailable answers.
struct ReadLog
{
    std::uint64_t from = 0;
    std::size_t limit = 0;

    auto operator<=>(const ReadLog &) const = default;
};

/// Appends a record to the configuration stream. There is no answer; the record shows up when the log is read.
struct AppendLog
{
    std::string data;

    auto operator<=>(const AppendLog &) const = default;
};

/// Reads the stream key-epochs; EpochRecordsRead or EpochsUnavailable answers.
struct ReadEpochs
{
    std::uint64_t from = 0;
    std::size_t limit = 0;

    auto operator<=>(const ReadEpochs &) const = default;
};

/// Appends a record to the stream key-epochs; EpochAppendEnded follows.
struct AppendEpoch
{
    std::string record;

    auto operator<=>(const AppendEpoch &) const = default;
};

struct BundleChanged
{
    BundleDigest bundle;
    /// The peer that it came from; empty for the log.
    std::string source;

    auto operator<=>(const BundleChanged &) const = default;
};

struct LogAvailabilityChanged
{
    bool available = false;

    auto operator<=>(const LogAvailabilityChanged &) const = default;
};

struct MemberStateChanged
{
    Membership::Update update;

    auto operator<=>(const MemberStateChanged &) const = default;
};

/// A new epoch of the idempotency keys is known.
struct EpochChanged
{
    std::uint64_t epoch = 0;
    std::size_t members = 0;
    /// The peer that it came from; empty for the log.
    std::string source;

    auto operator<=>(const EpochChanged &) const = default;
};

struct VerdictChanged
{
    UpstreamKey upstream;
    bool sick = false;

    auto operator<=>(const VerdictChanged &) const = default;
};

using AgentStateChange
    = std::variant<BundleChanged, LogAvailabilityChanged, MemberStateChanged, VerdictChanged, EpochChanged>;

/// The host writes one log line.
struct ReportAgentChange
{
    AgentStateChange change;

    auto operator<=>(const ReportAgentChange &) const = default;
};

using AgentEffect = std::variant<SendToPeer,
                                 ConnectPeer,
                                 DisconnectPeer,
                                 SendToEntry,
                                 ReadLog,
                                 AppendLog,
                                 ReadEpochs,
                                 AppendEpoch,
                                 ReportAgentChange>;
using AgentEffects = std::vector<AgentEffect>;

} // namespace Verbenadock::Control

#endif
