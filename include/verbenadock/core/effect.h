#ifndef VERBENADOCK_CORE_EFFECT_H
#define VERBENADOCK_CORE_EFFECT_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/health/sample.h"
#include "verbenadock/health/servicedetector.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Verbenadock::Core {

/// Which connections an attempt may use.
enum class ConnectionPolicy {
    /// Any idle connection, or a new one.
    Reuse,
    /// A connection that carried an answer within the last second, or a new one.
    ProvenAlive,
    /// A new connection only.
    Fresh,
};

/// What was known of an upstream when a request was sent there.
struct UpstreamView
{
    /// Requests of the data centre's entries there, for each 100 slots in use.
    unsigned loadPercent = 0;
    /// Share of the usual work that it gets; zero while it is tried.
    unsigned sharePercent = 100;
    /// It is in the entry's own data centre.
    bool near = true;

    auto operator<=>(const UpstreamView &) const = default;
};

/// What was known of a service when a request for it was rejected.
struct RejectionView
{
    std::string service;
    /// Requests for each 100 slots of the upstream that would have been the best; zero without any.
    unsigned loadPercent = 0;
    std::size_t queued = 0;
    /// Upstreams that get work, and all that are configured.
    std::size_t inService = 0;
    std::size_t configured = 0;

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
    /// Absolute end of the request; the upstream is told the remaining time.
    TimePoint deadline;
    std::size_t holdBackBytes = 0;
    /// Request bodies up to this size stay buffered for a further attempt.
    std::size_t replayBytes = 0;
    bool echoesAttemptId = true;
    /// Name that the upstream must have to run the request; empty when it is not checked.
    std::string instance = {};
    /// For the log only.
    UpstreamView seen = {};

    auto operator<=>(const StartAttempt &) const = default;
};

/// Closes the attempt's connection; no event of this attempt follows.
struct CancelAttempt
{
    RequestId request = 0;
    AttemptId attempt = 0;

    auto operator<=>(const CancelAttempt &) const = default;
};

/// Passes the attempt's answer to the caller. It comes once for a request.
struct ForwardAnswer
{
    RequestId request = 0;
    AttemptId attempt = 0;

    auto operator<=>(const ForwardAnswer &) const = default;
};

/// What a caller is told in the Verbenadock-Outcome header.
enum class Outcome {
    Answered,
    NotRun,
    Unknown,
};

std::string_view toString(Outcome outcome);

/// Why an entry answers a request by itself.
enum class RejectionReason {
    NotConfigured,
    NoRoute,
    CallerOverLimit,
    QueueFull,
    NoCapacity,
    DeadlineExceeded,
    AllAttemptsFailed,
    ShuttingDown,
    BodyTooLarge,
    OutcomeUnknown,
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

/// Resets the caller's connection, because an answer broke off after its head was passed on.
struct AbortCaller
{
    RequestId request = 0;

    auto operator<=>(const AbortCaller &) const = default;
};

/// One outcome for the agent's pool of evidence.
struct ReportEvidence
{
    UpstreamKey upstream;
    Health::Sample sample;

    auto operator<=>(const ReportEvidence &) const = default;
};

/// The number of this entry's requests at an upstream changed, for the other entries.
struct ReportLoad
{
    UpstreamKey upstream;
    unsigned inFlight = 0;
    /// Where the upstream is.
    std::string dataCentre;

    auto operator<=>(const ReportLoad &) const = default;
};

/// An attempt was taken from the reserve that all entries share; they have to be told.
struct ReportReserveUse
{
    std::string bundle;
    std::string service;

    auto operator<=>(const ReportReserveUse &) const = default;
};

/// An upstream moved to another stage; the host writes one log line.
struct HealthStateChanged
{
    UpstreamKey upstream;
    Health::HealthTransition transition;

    auto operator<=>(const HealthStateChanged &) const = default;
};

/// A configuration came into force; the host writes one log line.
struct ConfigurationInForce
{
    std::uint64_t revision = 0;
    std::size_t services = 0;
    std::size_t routes = 0;

    auto operator<=>(const ConfigurationInForce &) const = default;
};

/// What happens to be reported to the operators.
using StateChange = std::variant<HealthStateChanged, ConfigurationInForce>;

struct ReportStateChange
{
    StateChange change;

    bool operator==(const ReportStateChange &) const = default;
};

/// Closes the listening socket and idle connections of callers.
struct StopAccepting
{
    auto operator<=>(const StopAccepting &) const = default;
};

/// Ends the process; true when nothing was given up.
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
                            ReportStateChange,
                            StopAccepting,
                            Terminate>;

using Effects = std::vector<Effect>;

} // namespace Verbenadock::Core

#endif
