#ifndef VERBENADOCK_HEALTH_POOLEDFAILURES_H
#define VERBENADOCK_HEALTH_POOLEDFAILURES_H

#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/health/sample.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Health {

/// Outcome of one request as an entry observed it.
struct ObservedOutcome
{
    UpstreamKey upstream;
    /// Entry that observed the outcome.
    std::string observer;
    Cause cause = Cause::ServerError;
    /// See Sample::early.
    bool early = true;
    TimePoint at;

    auto operator<=>(const ObservedOutcome &) const = default;
};

/// Health of an upstream on the pooled evidence of the fleet.
enum class PooledState {
    Healthy,
    /// One late failure. The upstream keeps its requests, since most late failures are isolated.
    Watched,
    /// Several late failures. The upstream gets no requests for a short time.
    Suspect,
    /// Gets no requests.
    Unhealthy,
    /// Gets single idempotent requests, whose failure costs only a retry.
    Trial,
    /// Gets a part of its usual requests, because trials with idempotent requests have not decided.
    Probation,
};

std::string_view toString(PooledState state);

/// Change of the pooled state of an upstream.
struct PooledStateChange
{
    UpstreamKey upstream;
    PooledState from = PooledState::Healthy;
    PooledState to = PooledState::Healthy;
    /// Share of the usual requests, not counting trials; 0 to 1.
    double share = 1;
    /// A request on a reused connection was reset, and the reset is attributed to an idle timeout, for example because
    /// other upstreams of the service do the same: pooled connections may be stale.
    bool doubtsConnections = false;
    /// Outcome that led to the change, and its observer; empty after a timeout.
    std::optional<Cause> cause;
    std::string observer;

    auto operator<=>(const PooledStateChange &) const = default;
};

/// Traffic of a service.
struct ServiceTraffic
{
    /// Requests in flight per slot of the busiest upstreams.
    double load = 0;
    /// Requests of all entries; 0 while the rate is unknown.
    double requestsPerSecond = 0;

    auto operator<=>(const ServiceTraffic &) const = default;
};

/// Judges upstreams on the outcomes of all entries, so that a failing upstream is detected within one or two of the
/// fleet's requests to it. A request that fails long before its processing could have ended indicates an unhealthy
/// upstream; a late failure mostly indicates a bad request. Successes are exchanged only during trials and probation,
/// because they would be most of the traffic between entries.
///
/// Usage: call observe() for each outcome that isRelevant(), expire() at nextDeadline(), and setServiceTraffic()
/// several times a second; apply the returned changes.
class PooledFailures
{
public:
    /// Sets the services with idempotent requests. Their unhealthy upstreams get trials sooner and are healthy again
    /// after one success, because a failed trial costs only a retry.
    void setIdempotentServices(std::set<std::string> services);

    /// Sets the number of upstreams of each service, which bounds how many are withdrawn at the same time. Above the
    /// bound, upstreams with the oldest failures get requests again.
    void setUpstreamCounts(std::map<std::string, std::size_t> services);

    /// Updates the traffic of a service. A lower load allows more withdrawn upstreams; above the limit, those with the
    /// oldest failures get requests again.
    std::vector<PooledStateChange> setServiceTraffic(const std::string &service,
                                                     const ServiceTraffic &traffic,
                                                     TimePoint now);

    /// Whether the outcome is evidence for other entries. A failed connect may affect the network path of one entry
    /// only.
    bool isRelevant(const UpstreamKey &upstream, Cause cause, bool early) const;

    std::vector<PooledStateChange> observe(const ObservedOutcome &outcome);

    std::vector<PooledStateChange> expire(TimePoint now);

    std::optional<TimePoint> nextDeadline() const;

private:
    struct Record
    {
        PooledState state = PooledState::Healthy;
        /// End of the state; unused while healthy.
        TimePoint deadline{};
        TimePoint lastFailureAt{};
        /// Time of the last reset on a reused connection.
        TimePoint lastStaleConnectionAt{};
        unsigned successes = 0;
        /// Whether the upstream has been unhealthy since it was last healthy.
        bool wasUnhealthy = false;
    };

    static PooledState stateAfterFailure(PooledState state, bool early);
    PooledStateChange handleStaleConnection(const ObservedOutcome &outcome, Record &record);
    /// Whether a reset on a reused connection is attributed to an idle timeout of the upstream rather than to a
    /// failure.
    bool dropsIdleConnections(const ObservedOutcome &outcome) const;
    /// Whether a service loses more than the allowed share of its requests, so that most of its upstreams have to get
    /// some.
    bool exceedsLossLimit(const std::string &service, TimePoint now);
    /// Share of the service's upstreams that may be withdrawn at its load.
    double withdrawnShareLimit(const std::string &service) const;
    bool isIdempotent(const UpstreamKey &upstream) const;
    struct RestrictedUpstream
    {
        const UpstreamKey *key = nullptr;
        Record *record = nullptr;
    };

    /// Upstreams of a service that get less than half of their usual requests, ordered by their last failure, oldest
    /// first.
    std::vector<RestrictedUpstream> restrictedUpstreams(const std::string &service);
    /// Puts upstreams with the oldest failures on probation where too many of the service are withdrawn or restricted.
    void restoreCapacity(const std::string &service, TimePoint now, std::vector<PooledStateChange> &changes);
    PooledStateChange transition(const UpstreamKey &upstream, Record &record, PooledState to, TimePoint now);

    std::set<std::string> idempotentServices;
    std::map<std::string, std::size_t> upstreamCounts;
    std::map<std::string, ServiceTraffic> trafficByService;
    /// Times of the recent failures of each service.
    std::map<std::string, std::deque<TimePoint>> recentFailures;
    std::map<UpstreamKey, Record> upstreams;
};

} // namespace Verbenadock::Health

#endif
