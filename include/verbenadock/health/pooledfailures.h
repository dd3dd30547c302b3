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

/// The outcome of one request as some entry saw it.
struct ObservedOutcome
{
    UpstreamKey upstream;
    /// The entry that saw it.
    std::string observer;
    Cause cause = Cause::ServerError;
    /// See Sample::early.
    bool early = true;
    TimePoint at;

    auto operator<=>(const ObservedOutcome &) const = default;
};

/// What the fleet believes of an upstream.
enum class Belief {
    Sound,
    /// A request failed after the usual time of work; it keeps its work, since most such failures stay alone.
    Watched,
    /// Several requests failed after the usual time of work; it gets no work for a moment.
    Suspect,
    /// Gets no work.
    Sick,
    /// Gets single idempotent requests, whose failure costs a further attempt only.
    Trial,
    /// Gets a part of its work, because no idempotent request has shown whether it has recovered.
    Probation,
};

std::string_view toString(Belief belief);

/// A belief that changed.
struct BeliefChange
{
    UpstreamKey upstream;
    Belief from = Belief::Sound;
    Belief to = Belief::Sound;
    /// Share of the usual work, without trials.
    double share = 1;
    /// A request on a connection that had answered before was reset at once, and other upstreams of the service do the
    /// same: they probably drop connections that are idle.
    bool doubtsConnections = false;
    /// The outcome that decided, and who saw it; empty when time did.
    std::optional<Cause> cause;
    std::string observer;

    auto operator<=>(const BeliefChange &) const = default;
};

/// How busy a service is.
struct ServicePace
{
    /// Requests in flight per slot of its busiest upstreams.
    double load = 0;
    /// Requests of all entries; zero while it is not known.
    double requestsPerSecond = 0;

    auto operator<=>(const ServicePace &) const = default;
};

/// Judges upstreams on what all entries see, so that a failing one is found within one or two of the fleet's requests
/// to it. A request that fails long before its work could have been done shows an upstream in trouble; one that fails
/// at the end of its work mostly shows a bad request. Successes are only exchanged while an upstream is tried, because
/// they would be most of the traffic.
///
/// Usage: observe() each outcome for which isWanted(); expire() at nextDeadline(), setPace() some times a second; act
/// on the changes.
class PooledFailures
{
public:
    /// Services whose requests can be repeated: a try at a sick upstream costs them little, so that it is tried sooner,
    /// and back in use after one success.
    void setRepeatable(std::set<std::string> services);

    /// Number of upstreams of each service. It bounds how many are without work at the same time; those that have not
    /// failed for the longest time then get work again.
    void setSizes(std::map<std::string, std::size_t> services);

    /// The less load, the more upstreams may be without work. Gives work to those that have not failed for the longest
    /// time, where too many have none.
    std::vector<BeliefChange> setPace(const std::string &service, const ServicePace &pace, TimePoint now);

    /// Whether the outcome tells other entries something. A failed connect may concern the path of one entry only.
    bool isWanted(const UpstreamKey &upstream, Cause cause, bool early) const;

    std::vector<BeliefChange> observe(const ObservedOutcome &outcome);

    std::vector<BeliefChange> expire(TimePoint now);

    std::optional<TimePoint> nextDeadline() const;

private:
    struct State
    {
        Belief belief = Belief::Sound;
        /// End of every belief but Sound.
        TimePoint until{};
        TimePoint lastFailureAt{};
        /// The last reset on a connection that had answered.
        TimePoint lastStaleAt{};
        unsigned successes = 0;
        /// Whether the upstream was found to be sick since it was sound.
        bool confirmed = false;
    };

    /// The belief that follows a failure.
    static Belief afterFailure(Belief belief, bool early);
    BeliefChange afterStaleConnection(const ObservedOutcome &outcome, State &state);
    /// Whether a reset on a connection that had answered means that the upstream dropped the connection while it was
    /// idle, rather than that it is in trouble.
    bool dropsIdleConnections(const ObservedOutcome &outcome) const;
    /// Whether a service loses so many of its requests that most of its upstreams have to get some.
    bool losesMany(const std::string &service, TimePoint now);
    /// Share of the service's upstreams that may be without work at its load.
    double idleShare(const std::string &service) const;
    bool isRepeatable(const UpstreamKey &upstream) const;
    struct Entry
    {
        const UpstreamKey *key = nullptr;
        State *state = nullptr;
    };

    /// The upstreams of a service that get less than half of their work, those that have not failed for the longest
    /// time first.
    std::vector<Entry> restricted(const std::string &service);
    /// Gives work to the least suspicious upstreams of a service with too many that have none or little.
    void relieve(const std::string &service, TimePoint now, std::vector<BeliefChange> &changes);
    BeliefChange move(const UpstreamKey &upstream, State &state, Belief to, TimePoint now);

    std::set<std::string> repeatable;
    std::map<std::string, std::size_t> sizes;
    std::map<std::string, ServicePace> paces;
    /// When requests of each service failed lately.
    std::map<std::string, std::deque<TimePoint>> recentFailures;
    std::map<UpstreamKey, State> upstreams;
};

} // namespace Verbenadock::Health

#endif
