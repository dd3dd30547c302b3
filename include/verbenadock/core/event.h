#ifndef VERBENADOCK_CORE_EVENT_H
#define VERBENADOCK_CORE_EVENT_H

#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/bundle/bundle.h"
#include "verbenadock/health/sample.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Verbenadock::Core {

/// Set of bundles in force at the same time. The revision increases with each change.
struct Configuration
{
    std::uint64_t revision = 0;
    std::vector<Bundles::Bundle> bundles;

    auto operator<=>(const Configuration &) const = default;
};

/// The head of a caller's request was read and validated.
struct RequestArrived
{
    TimePoint at;
    RequestId request = 0;
    std::string host;
    std::string method;
    /// The request target, query included.
    std::string target;
    /// The X-Caller-Id header, or the peer address when there is none.
    std::string caller;
    std::optional<std::string> idempotencyKey;
    /// Length of the body in bytes; absent for a chunked body.
    std::optional<std::uint64_t> bodyBytes;
    /// Remaining time of the caller; absent when the request states none, so that only the configured timeout applies.
    std::optional<Duration> timeLeft;
    /// Digest of the caller's key; absent without a well-formed key.
    std::optional<Bundles::KeyDigest> key = {};

    auto operator<=>(const RequestArrived &) const = default;
};

/// The head of an answer arrived that is too long to be buffered or of unknown length.
struct ResponseHeadReceived
{
    TimePoint at;
    RequestId request = 0;
    AttemptId attempt = 0;
    unsigned status = 0;

    auto operator<=>(const ResponseHeadReceived &) const = default;
};

/// The whole answer was read, and forwarded if it is streamed.
struct AttemptCompleted
{
    TimePoint at;
    RequestId request = 0;
    AttemptId attempt = 0;
    unsigned status = 0;
    /// The upstream reported that it did not run the request.
    bool notRun = false;
    /// The server at the address is not the expected instance; it did not run the request.
    bool misdirected = false;

    auto operator<=>(const AttemptCompleted &) const = default;
};

/// An upstream announced something about itself in the head of an answer, which may have been discarded otherwise.
struct UpstreamAnnounced
{
    TimePoint at;
    UpstreamKey upstream;
    bool leaving = false;
    /// Time for which the upstream wants no requests from this entry; zero for none.
    Duration pause{0};

    auto operator<=>(const UpstreamAnnounced &) const = default;
};

/// An attempt ended without a complete answer.
struct AttemptFailed
{
    TimePoint at;
    RequestId request = 0;
    AttemptId attempt = 0;
    Health::Cause cause = Health::Cause::Reset;
    /// No byte of the request was written to the network, so that it provably was not run.
    bool nothingWritten = false;

    auto operator<=>(const AttemptFailed &) const = default;
};

/// The caller closed its connection before the whole answer was sent.
struct CallerDisconnected
{
    TimePoint at;
    RequestId request = 0;

    auto operator<=>(const CallerDisconnected &) const = default;
};

/// A new configuration is in force.
struct ConfigurationChanged
{
    TimePoint at;
    std::shared_ptr<const Configuration> configuration;

    /// Compares contents, so that recorded and replayed events are equal.
    bool operator==(const ConfigurationChanged &other) const
    {
        const bool sameContent
            = this->configuration == other.configuration
              || (this->configuration && other.configuration && *this->configuration == *other.configuration);
        return this->at == other.at && sameContent;
    }
};

/// Verdict of the agents on the health of an upstream, from pooled evidence.
struct HealthVerdict
{
    UpstreamKey upstream;
    bool sick = false;
    /// Admitted share of the usual work, from 0 to 1, when the upstream is not unhealthy. Zero admits only trials with
    /// idempotent requests.
    double share = 1;
    /// Idle connections to the upstream may be dead; requests use new connections for some seconds.
    bool doubtsConnections = false;

    auto operator<=>(const HealthVerdict &) const = default;
};

/// Changed verdicts.
struct HealthChanged
{
    TimePoint at;
    std::vector<HealthVerdict> verdicts;

    auto operator<=>(const HealthChanged &) const = default;
};

/// The reported requests in flight of other entries at an upstream changed.
struct LoadChanged
{
    TimePoint at;
    UpstreamKey upstream;
    unsigned otherEntriesInFlight = 0;
    /// The number includes the requests of this entry.
    bool includesOwn = false;

    auto operator<=>(const LoadChanged &) const = default;
};

/// The load of a service in another data centre changed, as reported by the entries there.
struct DataCentreLoadChanged
{
    TimePoint at;
    std::string bundle;
    std::string service;
    std::string dataCentre;
    /// Requests in flight per slot.
    double load = 0;

    auto operator<=>(const DataCentreLoadChanged &) const = default;
};

/// Another entry took an attempt from the fleet reserve.
struct ReserveUsed
{
    TimePoint at;
    std::string bundle;
    std::string service;

    auto operator<=>(const ReserveUsed &) const = default;
};

/// All leaving upstreams: addresses from the VM list, and endpoints (ADDRESS:PORT) that announced to any entry that
/// they are draining.
struct LeavingChanged
{
    TimePoint at;
    std::vector<std::string> addresses;

    auto operator<=>(const LeavingChanged &) const = default;
};

/// The configuration in force was the newest one of the store at this time.
struct ConfigurationConfirmed
{
    TimePoint at;

    auto operator<=>(const ConfigurationConfirmed &) const = default;
};

/// This entry heard of a newer configuration, or has all that it heard of.
struct ConfigurationSuperseded
{
    TimePoint at;
    /// Whether the configuration in force has been replaced.
    bool superseded = true;

    auto operator<=>(const ConfigurationSuperseded &) const = default;
};

/// Answer to the effect ReserveAllowance.
struct AllowanceDecided
{
    enum class Decision {
        Granted,
        /// The customer is over its cap.
        OverCap,
        /// Nobody could tell whether the customer is over its cap.
        Unknown,
    };

    TimePoint at;
    RequestId request = 0;
    Decision decision = Decision::Unknown;
    /// Time after which a request of the customer can be admitted; zero when unknown.
    Duration retryAfter{0};

    auto operator<=>(const AllowanceDecided &) const = default;
};

/// The time returned by Reducer::nextDeadline() was reached.
struct TimerExpired
{
    TimePoint at;

    auto operator<=>(const TimerExpired &) const = default;
};

/// The process was asked to stop.
struct ShutdownRequested
{
    TimePoint at;
    /// Delay before new connections are refused, in which the load balancer notices that the entry is not ready.
    Duration drainDelay{0};
    /// Delay after which open requests are abandoned and the process ends.
    Duration limit{0};

    auto operator<=>(const ShutdownRequested &) const = default;
};

using Event = std::variant<RequestArrived,
                           ResponseHeadReceived,
                           AttemptCompleted,
                           AttemptFailed,
                           UpstreamAnnounced,
                           CallerDisconnected,
                           ConfigurationChanged,
                           HealthChanged,
                           LeavingChanged,
                           LoadChanged,
                           DataCentreLoadChanged,
                           ReserveUsed,
                           ConfigurationConfirmed,
                           ConfigurationSuperseded,
                           AllowanceDecided,
                           TimerExpired,
                           ShutdownRequested>;

} // namespace Verbenadock::Core

#endif
