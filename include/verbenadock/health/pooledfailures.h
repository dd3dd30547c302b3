#ifndef VERBENADOCK_HEALTH_POOLEDFAILURES_H
#define VERBENADOCK_HEALTH_POOLEDFAILURES_H

#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/health/sample.h"

#include <compare>
#include <cstddef>
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
    /// The outcome that decided, and who saw it; empty when time did.
    std::optional<Cause> cause;
    std::string observer;

    auto operator<=>(const BeliefChange &) const = default;
};

/// Judges upstreams on what all entries see, so that a failing one is found within one or two of the fleet's requests
/// to it. A request that fails long before its work could have been done shows an upstream in trouble; one that fails
/// at the end of its work mostly shows a bad request. Successes are only exchanged while an upstream is tried, because
/// they would be most of the traffic.
///
/// Usage: observe() each outcome for which isWanted(); expire() at nextDeadline(); act on the changes.
class PooledFailures
{
public:
    /// Services whose requests can be repeated: a try at a sick upstream costs them little, so that it is tried sooner,
    /// and back in use after one success.
    void setRepeatable(std::set<std::string> services);

    /// Number of upstreams of each service. It bounds how many are without work at the same time; those that have not
    /// failed for the longest time then get work again.
    void setSizes(std::map<std::string, std::size_t> services);

    /// Requests in flight per slot of the service's upstreams; the fewer, the more upstreams may be without work.
    std::vector<BeliefChange> setLoad(const std::string &service, double load, TimePoint now);

    /// Whether the outcome tells other entries something. A failed connect may concern the path of one entry only.
    bool isWanted(const UpstreamKey &upstream, Cause cause) const;

    std::vector<BeliefChange> observe(const ObservedOutcome &outcome);

    std::vector<BeliefChange> expire(TimePoint now);

    std::optional<TimePoint> nextDeadline() const;

private:
    struct State
    {
        Belief belief = Belief::Sound;
        /// Start and end of every belief but Sound.
        TimePoint since{};
        TimePoint until{};
        TimePoint lastFailureAt{};
        unsigned successes = 0;
        /// Whether the upstream was found to be sick since it was sound.
        bool confirmed = false;
    };

    /// The belief that follows a failure.
    static Belief afterFailure(Belief belief, bool early);
    /// Share of the service's upstreams that may be without work at its load.
    double idleShare(const std::string &service) const;
    bool isRepeatable(const UpstreamKey &upstream) const;
    /// Gives work to the least suspicious upstreams of services with too many that have none.
    void relieve(const std::string &service, TimePoint now, std::vector<BeliefChange> &changes);
    BeliefChange move(const UpstreamKey &upstream, State &state, Belief to, TimePoint now);

    std::set<std::string> repeatable;
    std::map<std::string, std::size_t> sizes;
    std::map<std::string, double> loads;
    std::map<UpstreamKey, State> upstreams;
};

} // namespace Verbenadock::Health

#endif
