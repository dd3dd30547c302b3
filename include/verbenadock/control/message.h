#ifndef VERBENADOCK_CONTROL_MESSAGE_H
#define VERBENADOCK_CONTROL_MESSAGE_H

#include "verbenadock/base/error.h"
#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/health/sample.h"
#include "verbenadock/keys/message.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Verbenadock::Control {

/// Thrown when a message cannot be decoded.
class MessageError : public Error
{
public:
    using Error::Error;
};

/// Version of the message format; connections of peers with another version are refused.
inline constexpr std::uint32_t ProtocolVersion = 1;

enum class PeerRole {
    Agent,
    Entry,
};

/// First message in each direction.
struct Hello
{
    std::uint32_t protocolVersion = ProtocolVersion;
    PeerRole role = PeerRole::Agent;
    std::string vmId;
    std::string dataCentre;
    /// Start time of the process in milliseconds since 1970; increases with each restart.
    std::uint64_t incarnation = 0;
    /// Address at which other agents reach the sender; for an entry, ADDRESS:PORT for other entries.
    std::string address;

    auto operator<=>(const Hello &) const = default;
};

/// A bundle version in force, with the exact content that was signed off.
struct BundleInForce
{
    std::string name;
    std::uint64_t version = 0;
    /// SHA-256 of the content, in hexadecimal.
    std::string digest;
    std::string content;
    /// The proposal, sign-off and roll-out records, byte for byte as in the log, so that a receiver can verify them.
    std::vector<std::string> records;
    /// Log offset of the roll-out record.
    std::uint64_t offset = 0;
    /// The version that this version replaced; 0 for the first version.
    std::uint64_t replaces = 0;

    auto operator<=>(const BundleInForce &) const = default;
};

struct BundleDigest
{
    std::string name;
    std::uint64_t version = 0;
    std::string digest;
    std::uint64_t offset = 0;

    auto operator<=>(const BundleDigest &) const = default;
};

/// Versions in force at the sender. A receiver with an older version sends a BundleRequest.
struct ConfigurationDigest
{
    /// Hash over all versions in force, so that the periodic digest needs no list when both peers agree.
    std::uint64_t summary = 0;
    /// Whether the list names every bundle in force; otherwise only bundles that changed, or none.
    bool complete = false;
    std::vector<BundleDigest> bundles;

    auto operator<=>(const ConfigurationDigest &) const = default;
};

struct BundleRequest
{
    std::vector<std::string> names;

    auto operator<=>(const BundleRequest &) const = default;
};

struct BundleTransfer
{
    std::vector<BundleInForce> bundles;

    auto operator<=>(const BundleTransfer &) const = default;
};

/// Bundles in force, sent by an agent to its entry: all bundles at first, then only changed ones.
struct ConfigurationUpdate
{
    std::vector<BundleInForce> bundles;

    auto operator<=>(const ConfigurationUpdate &) const = default;
};

/// Request outcomes at one upstream since the previous report.
struct UpstreamEvidence
{
    UpstreamKey upstream;
    std::map<Health::Cause, std::uint32_t> counts;
    /// Sum of the latencies of successes, in microseconds.
    std::uint64_t latencySum = 0;

    auto operator<=>(const UpstreamEvidence &) const = default;
};

struct EvidenceReport
{
    /// The VM whose entry observed the outcomes.
    std::string observer;
    std::vector<UpstreamEvidence> upstreams;

    auto operator<=>(const EvidenceReport &) const = default;
};

struct UpstreamVerdict
{
    UpstreamKey upstream;
    bool sick = false;
    /// Time since the verdict was reached.
    Duration age{0};

    auto operator<=>(const UpstreamVerdict &) const = default;
};

struct HealthVerdicts
{
    /// The collector that reached the verdicts; empty in messages to an entry.
    std::string origin;
    /// Increases with each message of the origin, also across restarts; a receiver forwards each number once.
    std::uint64_t sequence = 0;
    /// Whether the list holds every upstream that the origin judges unhealthy; otherwise it holds only changes.
    bool complete = false;
    std::vector<UpstreamVerdict> verdicts;

    auto operator<=>(const HealthVerdicts &) const = default;
};

/// An upstream that announced that it is draining.
struct DrainingUpstream
{
    /// ADDRESS:PORT.
    std::string endpoint;
    /// Time since the announcement.
    Duration age{0};

    auto operator<=>(const DrainingUpstream &) const = default;
};

/// Drain announcements; an agent forwards those that it has not received before.
struct DrainNotice
{
    std::vector<DrainingUpstream> upstreams;

    auto operator<=>(const DrainNotice &) const = default;
};

/// All leaving upstreams: addresses from the VM list, and endpoints (ADDRESS:PORT) that announced a drain.
struct LeavingUpdate
{
    std::vector<std::string> addresses;

    auto operator<=>(const LeavingUpdate &) const = default;
};

enum class MemberState {
    Alive,
    Suspect,
    Dead,
};

/// A change of a member's state, piggybacked on heartbeats.
struct MemberUpdate
{
    std::string vmId;
    std::string address;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    /// The member that raised the suspicion; empty in other states.
    std::string observer;

    auto operator<=>(const MemberUpdate &) const = default;
};

struct Heartbeat
{
    std::uint64_t sequence = 0;
    std::vector<MemberUpdate> updates;

    auto operator<=>(const Heartbeat &) const = default;
};

struct HeartbeatAck
{
    std::uint64_t sequence = 0;
    std::vector<MemberUpdate> updates;

    auto operator<=>(const HeartbeatAck &) const = default;
};

/// Asks a neighbour to probe a third member.
struct IndirectProbe
{
    std::string target;
    std::uint64_t sequence = 0;

    auto operator<=>(const IndirectProbe &) const = default;
};

struct IndirectProbeAck
{
    std::string target;
    std::uint64_t sequence = 0;
    bool alive = false;

    auto operator<=>(const IndirectProbeAck &) const = default;
};

/// A record of the stream key-epochs.
struct KeyEpochRecord
{
    std::string record;
    /// Wall-clock time, in milliseconds since 1970, by which an agent had read the record from the log.
    std::uint64_t knownBy = 0;

    auto operator<=>(const KeyEpochRecord &) const = default;
};

/// Epochs known to the sender, oldest first; sent between agents and from an agent to its entry.
struct KeyEpochs
{
    /// Whether the list holds all epochs that the sender knows; otherwise only the epoch that it just accepted.
    bool complete = false;
    std::vector<KeyEpochRecord> epochs;

    auto operator<=>(const KeyEpochs &) const = default;
};

/// Asks an agent for this epoch or a newer one; the agent answers with KeyEpochs if it knows such an epoch.
struct KeyEpochRequest
{
    std::uint64_t epoch = 0;

    auto operator<=>(const KeyEpochRequest &) const = default;
};

/// Entry processes that the newest epoch does not contain yet; agents forward each process once.
struct KeyMembers
{
    std::vector<Keys::EpochMember> members;

    auto operator<=>(const KeyMembers &) const = default;
};

/// A caller's request, forwarded to the entry that owns its idempotency key.
struct KeyForward
{
    /// Set by the sender and repeated in the answer.
    std::uint64_t id = 0;
    Keys::MemberId to;
    std::uint64_t epoch = 0;
    Keys::Key key;
    Keys::Fingerprint fingerprint;
    /// Address that the request is accounted to when it names no caller.
    std::string callerAddress;
    std::string requestId;
    /// The request head, unchanged.
    std::string head;
    std::string body;

    auto operator<=>(const KeyForward &) const = default;
};

enum class KeyAnswerKind {
    /// An upstream's answer.
    Answered,
    /// An upstream's answer to an earlier request with the key.
    Replayed,
    /// Answer generated by the owner: the request was not run.
    NotRun,
    /// Answer generated by the owner: the outcome is unknown.
    Unknown,
    /// The receiver does not own the key; `epoch` is its newest epoch.
    NotOwner,
};

/// The answer to KeyForward, on the same stream.
struct KeyForwardAnswer
{
    std::uint64_t id = 0;
    KeyAnswerKind kind = KeyAnswerKind::Unknown;
    std::uint64_t epoch = 0;
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Reason for an answer that the owner generated.
    std::string reason;
    /// 0 for none.
    std::uint32_t retryAfterSeconds = 0;

    auto operator<=>(const KeyForwardAnswer &) const = default;
};

/// The answer to a hand-over part, on the same stream.
struct KeyHandOverAnswer
{
    std::uint32_t part = 0;
    bool accepted = false;

    auto operator<=>(const KeyHandOverAnswer &) const = default;
};

/// Sent every second on a stream between entries; the receiver answers with its own confirmation, so that a stalled
/// stream is detected.
struct KeyConfirmation
{
    Keys::MemberId member;
    /// KeyReducer::confirmedEpoch() of the sender.
    std::uint64_t epoch = 0;

    auto operator<=>(const KeyConfirmation &) const = default;
};

using Message = std::variant<Hello,
                             ConfigurationDigest,
                             BundleRequest,
                             BundleTransfer,
                             ConfigurationUpdate,
                             EvidenceReport,
                             HealthVerdicts,
                             LeavingUpdate,
                             Heartbeat,
                             HeartbeatAck,
                             IndirectProbe,
                             IndirectProbeAck,
                             DrainNotice,
                             KeyEpochs,
                             KeyEpochRequest,
                             KeyMembers,
                             KeyForward,
                             KeyForwardAnswer,
                             KeyHandOverAnswer,
                             KeyConfirmation,
                             Keys::FenceRequest,
                             Keys::FenceReply,
                             Keys::HandOverPart>;

/// Returns the message as a CBOR map with a "type" member.
std::string encode(const Message &message);

/// Throws MessageError when the bytes are not a valid message of a known type.
Message decode(std::string_view bytes);

} // namespace Verbenadock::Control

#endif
