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

/// A message could not be decoded.
class MessageError : public Error
{
public:
    using Error::Error;
};

/// Version of the messages below; peers with another one are refused.
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
    /// Rises with each start of the process (milliseconds since 1970 at the start).
    std::uint64_t incarnation = 0;
    /// Where other agents reach the sender; for an entry, where other entries reach it, as ADDRESS:PORT.
    std::string address;

    auto operator<=>(const Hello &) const = default;
};

/// One bundle in force, exactly as it was signed off.
struct BundleInForce
{
    std::string name;
    std::uint64_t version = 0;
    /// SHA-256 of the content, in hexadecimal.
    std::string digest;
    std::string content;
    /// The proposal, sign-off and roll-out records as they stand in the log, so that a receiver can verify them.
    std::vector<std::string> records;
    /// Offset of the roll-out record.
    std::uint64_t offset = 0;
    /// The version that this one replaced; 0 for the first.
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

/// What is in force at the sender. A receiver that is behind asks with BundleRequest.
struct ConfigurationDigest
{
    /// Hash over everything in force, so that a periodic digest between equal peers carries no list.
    std::uint64_t summary = 0;
    /// Whether the list names every bundle in force; otherwise it names those that changed, or none.
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

/// Bundles in force, sent by an agent to its entry: all of them at the start, then those that changed.
struct ConfigurationUpdate
{
    std::vector<BundleInForce> bundles;

    auto operator<=>(const ConfigurationUpdate &) const = default;
};

/// Outcomes at one upstream since the last report.
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
    /// The VM whose entry saw the outcomes.
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
    /// Rises with each message of the origin, also across its restarts; a receiver forwards each number once.
    std::uint64_t sequence = 0;
    /// Whether the list holds every sick upstream of the origin; otherwise it holds changes.
    bool complete = false;
    std::vector<UpstreamVerdict> verdicts;

    auto operator<=>(const HealthVerdicts &) const = default;
};

/// An upstream that announced its drain.
struct DrainingUpstream
{
    /// ADDRESS:PORT.
    std::string endpoint;
    /// Time since the announcement.
    Duration age{0};

    auto operator<=>(const DrainingUpstream &) const = default;
};

/// Announcements of drains; an agent forwards those that are new to it.
struct DrainNotice
{
    std::vector<DrainingUpstream> upstreams;

    auto operator<=>(const DrainNotice &) const = default;
};

/// All upstreams that leave: addresses from the VM list, and endpoints (ADDRESS:PORT) that announced their drain.
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

/// News about a member; it rides on heartbeats.
struct MemberUpdate
{
    std::string vmId;
    std::string address;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    /// The member that raised a suspicion; empty otherwise.
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

/// Asks a neighbour to check a third member.
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
    /// Wall-clock time in milliseconds since 1970 at which an agent had read it from the log.
    std::uint64_t knownBy = 0;

    auto operator<=>(const KeyEpochRecord &) const = default;
};

/// Known epochs, oldest first; from agent to agent and from an agent to its entry.
struct KeyEpochs
{
    /// Whether these are all epochs that the sender knows; otherwise it is the one that is new to it.
    bool complete = false;
    std::vector<KeyEpochRecord> epochs;

    auto operator<=>(const KeyEpochs &) const = default;
};

/// Asks an agent for this epoch or a newer one; it answers with KeyEpochs when it knows one.
struct KeyEpochRequest
{
    std::uint64_t epoch = 0;

    auto operator<=>(const KeyEpochRequest &) const = default;
};

/// Entry processes that are not in the newest epoch yet; agents forward each of them once.
struct KeyMembers
{
    std::vector<Keys::EpochMember> members;

    auto operator<=>(const KeyMembers &) const = default;
};

/// A caller's request on its way to the owner of its key.
struct KeyForward
{
    /// Chosen by the sender; the answer repeats it.
    std::uint64_t id = 0;
    Keys::MemberId to;
    std::uint64_t epoch = 0;
    Keys::Key key;
    Keys::Fingerprint fingerprint;
    /// Who the request counts for when it names no caller.
    std::string callerAddress;
    std::string requestId;
    /// The head as it came from the caller.
    std::string head;
    std::string body;

    auto operator<=>(const KeyForward &) const = default;
};

enum class KeyAnswerKind {
    /// An upstream's answer.
    Answered,
    /// An upstream's answer to an earlier request with the key.
    Replayed,
    /// The owner's own answer: the request was not run.
    NotRun,
    /// The owner's own answer: the outcome is unknown.
    Unknown,
    /// The receiver does not own the key; `epoch` is its newest one.
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
    /// Why the owner answered by itself.
    std::string reason;
    /// Whole seconds; 0 for none.
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

/// Sent every second on a stream between entries and answered with the receiver's own, so that a silent stream is
/// noticed.
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

/// CBOR object with a "type" member.
std::string encode(const Message &message);

/// Throws MessageError when the bytes are no known message.
Message decode(std::string_view bytes);

} // namespace Verbenadock::Control

#endif
