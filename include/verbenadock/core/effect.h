#ifndef VERBENADOCK_CORE_EFFECT_H
#define VERBENADOCK_CORE_EFFECT_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/health/sample.h"
#include "verbenadock/health/servicedetector.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Verbenadock::Core {

/// Connections that an attempt may use.
enum class ConnectionPolicy {
    /// Any idle connection, or a new one.
    Reuse,
    /// An idle connection that carried an answer within the last second, or a new one.
    ProvenAlive,
    /// Only a new connection.
    Fresh,
};

/// State of an upstream when a request was sent to it.
struct UpstreamView
{
    /// Requests in flight of the data centre's entries, in percent of the admitted slots.
    unsigned loadPercent = 0;
    /// Admitted share of the usual work in percent; zero while the upstream gets trials only.
    unsigned sharePercent = 100;
    /// Whether the upstream is in the entry's data centre.
    bool near = true;
    /// Mean load of the service's upstreams in the entry's data centre, in percent; zero without even balancing.
    unsigned meanLoadPercent = 0;

    auto operator<=>(const UpstreamView &) const = default;
};

/// Share of a request's customer or route in the work of a service with fair sharing; for the log and metrics only.
struct ShareView
{
    /// Empty without a customer.
    std::string customer;
    /// Work of the last seconds that the customer or route holds, and the equal share.
    Duration held{0};
    Duration equalShare{0};
    /// Customers or routes above the equal share.
    std::size_t aboveShare = 0;
    /// Time that the request waited in this entry's queue.
    Duration queueWait{0};
    /// Whether the caller often comes back before its Retry-After.
    bool returnsEarly = false;

    auto operator<=>(const ShareView &) const = default;
};

/// State of a service when a request for it was rejected.
struct RejectionView
{
    std::string service;
    /// Name of the customer whose request it is; empty for none.
    std::string customer = {};
    /// Load in percent of the slots of the best upstream; zero without one.
    unsigned loadPercent = 0;
    std::size_t queued = 0;
    /// Upstreams that get requests.
    std::size_t inService = 0;
    /// All configured upstreams.
    std::size_t configured = 0;
    /// Only for a service with fair sharing.
    std::optional<ShareView> share = {};

    auto operator<=>(const RejectionView &) const = default;
};

/// Sends the request to an upstream.
struct StartAttempt
{
    RequestId request = 0;
    AttemptId attempt = 0;
    UpstreamKey upstream;
    Endpoint endpoint;
    ConnectionPolicy policy = ConnectionPolicy::Reuse;
    Duration connectTimeout{0};
    Duration firstByteTimeout{0};
    /// End of the request; the upstream is told the remaining time.
    TimePoint deadline;
    std::size_t holdBackBytes = 0;
    /// Request bodies up to this size stay buffered for a further attempt.
    std::size_t replayBytes = 0;
    bool echoesAttemptId = true;
    /// Instance name that the server must have to run the request; empty for no check.
    std::string instance = {};
    /// Name of the customer that the upstream is told; empty for none.
    std::string customer = {};
    /// Whether the caller's credentials and its own statement of a customer are removed from the request.
    bool hidesCredentials = false;
    /// For the log only.
    UpstreamView seen = {};
    /// For the metrics only; absent for further attempts and without fair sharing.
    std::optional<ShareView> share = {};

    auto operator<=>(const StartAttempt &) const = default;
};

/// Closes the connection of the attempt; no further event of the attempt follows.
struct CancelAttempt
{
    RequestId request = 0;
    AttemptId attempt = 0;

    auto operator<=>(const CancelAttempt &) const = default;
};

/// Forwards the answer of the attempt to the caller; at most once per request.
struct ForwardAnswer
{
    RequestId request = 0;
    AttemptId attempt = 0;

    auto operator<=>(const ForwardAnswer &) const = default;
};

/// Value of the Verbenadock-Outcome header.
enum class Outcome {
    Answered,
    NotRun,
    Unknown,
};

std::string_view toString(Outcome outcome);

/// Reason why an entry answers a request without an upstream's answer.
enum class RejectionReason {
    NotConfigured,
    NoRoute,
    CallerOverLimit,
    QueueFull,
    NoCapacity,
    /// All upstreams that could take the request asked for a pause.
    UpstreamsPaused,
    DeadlineExceeded,
    AllAttemptsFailed,
    ShuttingDown,
    BodyTooLarge,
    OutcomeUnknown,
    /// The request has no key, or one that no customer holds.
    UnknownKey,
    /// The configuration of this entry may be older than the newest one, so that it cannot judge a key.
    ConfigurationOutdated,
    /// The customer is over the cap of its requests.
    CustomerOverCap,
    /// No hub told whether the customer is over its cap.
    AllowanceUnknown,
    /// The service is short of capacity, and the customer or route has more than its share.
    OverFairShare,
};

std::string_view toString(RejectionReason refusal);

/// Answers the caller without an upstream's answer.
struct RespondLocally
{
    RequestId request = 0;
    unsigned status = 503;
    Outcome outcome = Outcome::NotRun;
    RejectionReason refusal = RejectionReason::NoCapacity;
    /// Value of Retry-After, rounded up to seconds; zero for none.
    Duration retryAfter{0};
    /// For the log only.
    RejectionView seen = {};

    auto operator<=>(const RespondLocally &) const = default;
};

/// Resets the caller's connection, because the answer was interrupted after its head was forwarded.
struct AbortCaller
{
    RequestId request = 0;

    auto operator<=>(const AbortCaller &) const = default;
};

/// Outcome of an attempt for the agent's evidence pool.
struct ReportEvidence
{
    UpstreamKey upstream;
    Health::Sample sample;

    auto operator<=>(const ReportEvidence &) const = default;
};

/// Reports this entry's changed number of requests in flight at an upstream to the other entries.
struct ReportLoad
{
    UpstreamKey upstream;
    unsigned inFlight = 0;
    /// Data centre of the upstream.
    std::string dataCentre;

    auto operator<=>(const ReportLoad &) const = default;
};

/// Reports an attempt taken from the fleet reserve to the other entries.
struct ReportReserveUse
{
    std::string bundle;
    std::string service;

    auto operator<=>(const ReportReserveUse &) const = default;
};

/// Asks for one request of a customer with a cap; answered by the event AllowanceDecided.
struct ReserveAllowance
{
    RequestId request = 0;
    std::string bundle;
    std::string customer;

    auto operator<=>(const ReserveAllowance &) const = default;
};

/// A request for which an allowance was granted, or is still being asked for, ended without being sent to an upstream.
struct ReturnAllowance
{
    RequestId request = 0;
    std::string bundle;
    std::string customer;

    auto operator<=>(const ReturnAllowance &) const = default;
};

/// The health state of an upstream changed; the host writes a log line.
struct HealthStateChanged
{
    UpstreamKey upstream;
    Health::HealthTransition transition;

    auto operator<=>(const HealthStateChanged &) const = default;
};

/// A configuration came into force; the host writes a log line.
struct ConfigurationInForce
{
    std::uint64_t revision = 0;
    std::size_t services = 0;
    std::size_t routes = 0;

    auto operator<=>(const ConfigurationInForce &) const = default;
};

/// An upstream announced that it is leaving; the host writes a log line.
struct UpstreamLeaving
{
    UpstreamKey upstream;

    auto operator<=>(const UpstreamLeaving &) const = default;
};

/// An upstream in use asked this entry for a pause; the host writes a log line.
struct UpstreamPaused
{
    UpstreamKey upstream;
    Duration pause{0};

    auto operator<=>(const UpstreamPaused &) const = default;
};

/// State changes that are reported to the operators.
using StateChange = std::variant<HealthStateChanged, ConfigurationInForce, UpstreamLeaving, UpstreamPaused>;

struct ReportStateChange
{
    StateChange change;

    bool operator==(const ReportStateChange &) const = default;
};

/// Ends the attempts of the request that have not begun to send it, for example because its body is not complete; each
/// is reported as failed with nothing written. Attempts under way go on.
struct WithdrawUnsentAttempts
{
    RequestId request = 0;

    auto operator<=>(const WithdrawUnsentAttempts &) const = default;
};

/// Closes the listening socket and the idle connections of callers.
struct StopAccepting
{
    auto operator<=>(const StopAccepting &) const = default;
};

/// Ends the process; clean when no request was abandoned.
struct Terminate
{
    bool clean = true;

    auto operator<=>(const Terminate &) const = default;
};

using Effect = std::variant<StartAttempt,
                            CancelAttempt,
                            ForwardAnswer,
                            RespondLocally,
                            AbortCaller,
                            ReportEvidence,
                            ReportLoad,
                            ReportReserveUse,
                            ReserveAllowance,
                            ReturnAllowance,
                            ReportStateChange,
                            WithdrawUnsentAttempts,
                            StopAccepting,
                            Terminate>;

using Effects = std::vector<Effect>;

} // namespace Verbenadock::Core

#endif
