#include "verbenadock/health/pooledfailures.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Verbenadock::Health {

namespace {

// Further failures after the usual time of work within this time are no longer taken for bad requests.
constexpr Duration WatchTime = std::chrono::seconds(2);
constexpr Duration SuspectTime = std::chrono::milliseconds(800);
// With the time for trials 8 s, after which few upstreams in trouble still fail. A service that needs its upstreams sooner
// gets them back by its load.
constexpr Duration SickTime = std::chrono::seconds(6);
// A failed try costs a service with repeatable requests one further attempt, and the capacity of a recovered upstream
// is worth more.
constexpr Duration RepeatableSickTime = std::chrono::milliseconds(1500);
// After this time without two successful trials the service has too few idempotent requests, and others must do. An
// upstream that was sick waits longer, since a failed non-idempotent request is lost.
constexpr Duration SuspectTrialTime = std::chrono::milliseconds(1200);
constexpr Duration SickTrialTime = std::chrono::seconds(2);
// An upstream that gets no requests on probation is taken as sound after this time.
constexpr Duration ProbationTime = std::chrono::seconds(5);
// An upstream that fails most requests succeeds twice in a row in 2 of 100 cases.
constexpr unsigned SuccessesNeeded = 2;
// A success is also seen at one in five upstreams that still fail; a request that fails there is sent again.
constexpr unsigned RepeatableSuccessesNeeded = 1;
// Requests in flight per slot of the upstreams with work from which on further ones are needed. Up to it a request
// seldom waits for longer than its work takes, which costs its caller less than an upstream that probably fails.
constexpr double TargetLoad = 1;
constexpr double SmallestIdleShare = 0.25;
constexpr double LargestIdleShare = 0.6;
// Sooner after a failure, a request would most probably fail as well; waiting for another upstream is better.
constexpr Duration ReliefWait = std::chrono::seconds(2);
// The load of a service of which nothing is known yet: about that of a busy day.
constexpr double UnknownLoad = 0.4;
constexpr double FirstShare = 0.2;
constexpr double NextShare = 0.5;

bool isSharedFailure(Cause cause)
{
    switch (cause) {
    case Cause::ServerError:
    case Cause::Reset:
    case Cause::Truncated:
    case Cause::Mismatched:
    case Cause::Malformed:
        return true;
    case Cause::Success:
    case Cause::Refused:
    case Cause::ConnectTimeout:
    case Cause::SilentConnection:
    case Cause::Shed:
    case Cause::Timeout:
    case Cause::Cancelled:
        // Sound upstreams are late when they are full; taking them out would fill the others.
        break;
    }
    return false;
}

bool isIdle(Belief belief)
{
    return belief == Belief::Suspect || belief == Belief::Sick || belief == Belief::Trial;
}

/// What time alone leads to.
Belief nextBelief(Belief belief)
{
    switch (belief) {
    case Belief::Suspect:
    case Belief::Sick:
        return Belief::Trial;
    case Belief::Trial:
        return Belief::Probation;
    case Belief::Sound:
    case Belief::Watched:
    case Belief::Probation:
        break;
    }
    return Belief::Sound;
}

} // namespace

std::string_view toString(Belief belief)
{
    switch (belief) {
    case Belief::Sound:
        return "sound";
    case Belief::Watched:
        return "watched";
    case Belief::Suspect:
        return "suspect";
    case Belief::Sick:
        return "sick";
    case Belief::Trial:
        return "trial";
    case Belief::Probation:
        return "probation";
    }
    return "invalid";
}

bool PooledFailures::isWanted(const UpstreamKey &upstream, Cause cause) const
{
    if (cause != Cause::Success) {
        return isSharedFailure(cause);
    }
    const auto known = this->upstreams.find(upstream);
    return known != this->upstreams.end()
           && (known->second.belief == Belief::Trial || known->second.belief == Belief::Probation);
}

void PooledFailures::setSizes(std::map<std::string, std::size_t> services)
{
    this->sizes = std::move(services);
}

std::vector<BeliefChange> PooledFailures::setLoad(const std::string &service, double load, TimePoint now)
{
    this->loads[service] = load;
    std::vector<BeliefChange> changes;
    this->relieve(service, now, changes);
    return changes;
}

double PooledFailures::idleShare(const std::string &service) const
{
    const auto known = this->loads.find(service);
    const auto load = known == this->loads.end() ? UnknownLoad : known->second;
    return std::clamp(1 - load / TargetLoad, SmallestIdleShare, LargestIdleShare);
}

void PooledFailures::relieve(const std::string &service, TimePoint now, std::vector<BeliefChange> &changes)
{
    const auto size = this->sizes.find(service);
    if (size == this->sizes.end()) {
        return;
    }
    std::vector<std::pair<const UpstreamKey *, State *>> idle;
    for (auto &[key, state] : this->upstreams) {
        if (key.service == service && isIdle(state.belief)) {
            idle.emplace_back(&key, &state);
        }
    }
    const auto most = [&size](double share) {
        return static_cast<std::size_t>(std::ceil(static_cast<double>(size->second) * share));
    };
    const auto forLoad = most(this->idleShare(service));
    const auto inAnyCase = most(LargestIdleShare);
    if (idle.size() <= forLoad) {
        return;
    }
    std::ranges::sort(idle, {}, [](const auto &entry) {
        return entry.second->lastFailureAt;
    });
    auto remaining = idle.size();
    for (const auto &[key, state] : idle) {
        const bool mayHaveRecovered = now - state->lastFailureAt >= ReliefWait;
        if (remaining <= forLoad || (remaining <= inAnyCase && !mayHaveRecovered)) {
            break;
        }
        changes.push_back(this->move(*key, *state, Belief::Probation, now));
        --remaining;
    }
}

void PooledFailures::setRepeatable(std::set<std::string> services)
{
    this->repeatable = std::move(services);
}

bool PooledFailures::isRepeatable(const UpstreamKey &upstream) const
{
    return this->repeatable.contains(upstream.service);
}

BeliefChange PooledFailures::move(const UpstreamKey &upstream, State &state, Belief to, TimePoint now)
{
    BeliefChange change{.upstream = upstream, .from = state.belief, .to = to};
    state.belief = to;
    state.since = now;
    switch (to) {
    case Belief::Sound:
        state.confirmed = false;
        break;
    case Belief::Watched:
        state.until = now + WatchTime;
        break;
    case Belief::Suspect:
        state.until = now + SuspectTime;
        change.share = 0;
        break;
    case Belief::Sick:
        state.until = now + (this->isRepeatable(upstream) ? RepeatableSickTime : SickTime);
        state.confirmed = true;
        change.share = 0;
        break;
    case Belief::Trial:
        state.until = now + (state.confirmed ? SickTrialTime : SuspectTrialTime);
        state.successes = 0;
        change.share = 0;
        break;
    case Belief::Probation:
        state.until = now + ProbationTime;
        change.share = state.successes == 0 ? FirstShare : NextShare;
        break;
    }
    return change;
}

Belief PooledFailures::afterFailure(Belief belief, bool early)
{
    if (early) {
        return Belief::Sick;
    }
    switch (belief) {
    case Belief::Sound:
        return Belief::Watched;
    case Belief::Watched:
        return Belief::Suspect;
    case Belief::Suspect:
    case Belief::Sick:
    case Belief::Trial:
    case Belief::Probation:
        break;
    }
    return Belief::Sick;
}

std::vector<BeliefChange> PooledFailures::observe(const ObservedOutcome &outcome)
{
    if (!this->isWanted(outcome.upstream, outcome.cause)) {
        return {};
    }
    auto &state = this->upstreams[outcome.upstream];
    BeliefChange change{.upstream = outcome.upstream, .from = state.belief, .to = state.belief};
    if (outcome.cause == Cause::Success) {
        ++state.successes;
        const auto needed = this->isRepeatable(outcome.upstream) ? RepeatableSuccessesNeeded : SuccessesNeeded;
        if (state.successes >= needed) {
            change = this->move(outcome.upstream, state, Belief::Sound, outcome.at);
        } else {
            change.share = state.belief == Belief::Trial ? 0 : NextShare;
        }
    } else if (state.belief == Belief::Sick) {
        // The request was sent before the verdict.
        return {};
    } else {
        state.lastFailureAt = outcome.at;
        change = this->move(outcome.upstream, state, afterFailure(state.belief, outcome.early), outcome.at);
    }
    change.cause = outcome.cause;
    change.observer = outcome.observer;
    std::vector<BeliefChange> changes{change};
    this->relieve(outcome.upstream.service, outcome.at, changes);
    return changes;
}

std::vector<BeliefChange> PooledFailures::expire(TimePoint now)
{
    std::vector<BeliefChange> changes;
    for (auto entry = this->upstreams.begin(); entry != this->upstreams.end();) {
        auto &[key, state] = *entry;
        if (state.belief != Belief::Sound && state.until <= now) {
            changes.push_back(this->move(key, state, nextBelief(state.belief), now));
        }
        entry = state.belief == Belief::Sound ? this->upstreams.erase(entry) : std::next(entry);
    }
    return changes;
}

std::optional<TimePoint> PooledFailures::nextDeadline() const
{
    std::optional<TimePoint> earliest;
    for (const auto &[key, state] : this->upstreams) {
        if (state.belief != Belief::Sound && (!earliest || state.until < *earliest)) {
            earliest = state.until;
        }
    }
    return earliest;
}

} // namespace Verbenadock::Health
