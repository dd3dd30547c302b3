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
    /// Oldest offset that the log retains.
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
    /// Addresses of the leaving upstreams.
    std::vector<std::string> leavingUpstreams;

    auto operator<=>(const VmListRead &) const = default;
};

/// A peer sent its Hello on a new stream.
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

/// The last stream to the peer closed.
struct PeerDisconnected
{
    TimePoint at;
    std::string peer;

    auto operator<=>(const PeerDisconnected &) const = default;
};

struct EntryConnected
{
    TimePoint at;
    /// Identity that the entry sent.
    Hello hello = {};

    auto operator<=>(const EntryConnected &) const = default;
};

struct EntryDisconnected
{
    TimePoint at;

    auto operator<=>(const EntryDisconnected &) const = default;
};

/// The entry of this VM reported outcomes of requests.
struct EvidenceReceived
{
    TimePoint at;
    EvidenceReport report;

    auto operator<=>(const EvidenceReceived &) const = default;
};

/// The entry of this VM reported upstreams that announced their drain.
struct DrainsReceived
{
    TimePoint at;
    DrainNotice notice;

    auto operator<=>(const DrainsReceived &) const = default;
};

/// The entry of this VM learned of a newer epoch of the idempotency keys.
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

/// AppendEpoch completed or failed; the result is read from the stream.
struct EpochAppendEnded
{
    TimePoint at;

    auto operator<=>(const EpochAppendEnded &) const = default;
};

/// The deadline returned by AgentReducer::nextDeadline() was reached.
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

/// Sends a message on any stream to the peer. Preceded by ConnectPeer unless the peer opened a connection.
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

/// Closes all streams to the peer. No PeerDisconnected follows.
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

/// Reads the configuration stream. Answered by LogRecordsRead or LogUnavailable.
struct ReadLog
{
    std::uint64_t from = 0;
    std::size_t limit = 0;

    auto operator<=>(const ReadLog &) const = default;
};

/// Appends a record to the configuration stream. No event follows; the record is seen when the log is read.
struct AppendLog
{
    std::string data;

    auto operator<=>(const AppendLog &) const = default;
};

/// Reads the stream key-epochs. Answered by EpochRecordsRead or EpochsUnavailable.
struct ReadEpochs
{
    std::uint64_t from = 0;
    std::size_t limit = 0;

    auto operator<=>(const ReadEpochs &) const = default;
};

/// Appends a record to the stream key-epochs. Answered by EpochAppendEnded.
struct AppendEpoch
{
    std::string record;

    auto operator<=>(const AppendEpoch &) const = default;
};

struct BundleChanged
{
    BundleDigest bundle;
    /// Peer that sent the change; empty if it was read from the log.
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

/// The agent learned of a new epoch of the idempotency keys.
struct EpochChanged
{
    std::uint64_t epoch = 0;
    std::size_t members = 0;
    /// Peer that sent the change; empty if it was read from the log.
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

/// Writes one log line about the change.
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
