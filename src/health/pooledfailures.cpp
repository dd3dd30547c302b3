#include "verbenadock/health/pooledfailures.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Verbenadock::Health {

namespace {

// Further failures after the usual time of work within this time are no longer taken for bad requests.
constexpr Duration WatchTime = std::chrono::seconds(2);
constexpr Duration SuspectTime = std::chrono::milliseconds(800);
// With the time for trials 8 s, after which few upstreams in trouble still fail. Where many are away, those that failed
// first come back sooner.
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
// Beyond this share even upstreams that have just failed get work again.
constexpr double LargestIdleShare = 0.6;
// Sooner after a failure, a request would most probably fail as well; waiting for another upstream is better.
constexpr Duration ReliefWait = std::chrono::seconds(2);
// The platform wants seven in ten of the sound upstreams in use while a tenth of a service's requests is lost, and
// takes one that failed by itself as sound after 2 s. So when the service loses more than the smaller share, and more
// upstreams than this one get less than half of their work, those that have not failed for 2 s get half.
constexpr double LargestRestrictedShare = 0.3;
constexpr double LargestLossShare = 0.08;
constexpr Duration LossWindow = std::chrono::seconds(3);
// Upstreams that drop idle connections early do so many at a time, while each of those in trouble resets requests by
// itself: up to this share of a service within this time is taken for trouble.
constexpr Duration StaleWindow = std::chrono::seconds(1);
constexpr double FewStaleShare = 0.1;
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

bool PooledFailures::isWanted(const UpstreamKey &upstream, Cause cause, bool early) const
{
    if (cause == Cause::SilentConnection) {
        // One that gave no sign until a time-out concerns the path of one entry.
        return early;
    }
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

std::vector<BeliefChange> PooledFailures::setPace(const std::string &service, const ServicePace &pace, TimePoint now)
{
    this->paces[service] = pace;
    std::vector<BeliefChange> changes;
    this->relieve(service, now, changes);
    return changes;
}

double PooledFailures::idleShare(const std::string &service) const
{
    const auto known = this->paces.find(service);
    const auto load = known == this->paces.end() ? UnknownLoad : known->second.load;
    return std::clamp(1 - load / TargetLoad, SmallestIdleShare, LargestIdleShare);
}

bool PooledFailures::losesMany(const std::string &service, TimePoint now)
{
    auto &failures = this->recentFailures[service];
    while (!failures.empty() && now - failures.front() > LossWindow) {
        failures.pop_front();
    }
    const auto pace = this->paces.find(service);
    if (pace == this->paces.end() || pace->second.requestsPerSecond <= 0) {
        return false;
    }
    const auto requests = pace->second.requestsPerSecond * std::chrono::duration<double>(LossWindow).count();
    return static_cast<double>(failures.size()) > LargestLossShare * requests;
}

std::vector<PooledFailures::Entry> PooledFailures::restricted(const std::string &service)
{
    std::vector<Entry> result;
    for (auto &[key, state] : this->upstreams) {
        const bool isTried = state.belief == Belief::Probation && state.successes == 0;
        if (key.service == service && (isIdle(state.belief) || isTried)) {
            result.push_back({.key = &key, .state = &state});
        }
    }
    std::ranges::sort(result, {}, [](const Entry &entry) {
        return entry.state->lastFailureAt;
    });
    return result;
}

void PooledFailures::relieve(const std::string &service, TimePoint now, std::vector<BeliefChange> &changes)
{
    const auto size = this->sizes.find(service);
    if (size == this->sizes.end()) {
        return;
    }
    const auto count = static_cast<double>(size->second);
    const auto forLoad = std::ceil(count * this->idleShare(service));
    const auto inAnyCase = std::ceil(count * LargestIdleShare);
    const auto mostRestricted
        = this->losesMany(service, now) ? std::max(1.0, std::floor(count * LargestRestrictedShare)) : count;
    const auto isQuiet = [now](const Entry &entry) {
        return now - entry.state->lastFailureAt >= ReliefWait;
    };
    const auto entries = this->restricted(service);
    auto remaining = static_cast<double>(entries.size());
    auto idle = static_cast<double>(std::ranges::count_if(entries, [](const Entry &entry) {
        return isIdle(entry.state->belief);
    }));
    for (const auto &entry : entries) {
        const bool wasIdle = isIdle(entry.state->belief);
        if (isQuiet(entry) && remaining > mostRestricted) {
            // It gets half of its work, as after a success.
            entry.state->successes = std::max(entry.state->successes, 1U);
            changes.push_back(this->move(*entry.key, *entry.state, Belief::Probation, now));
        } else if (wasIdle && (idle > inAnyCase || (isQuiet(entry) && idle > forLoad))) {
            changes.push_back(this->move(*entry.key, *entry.state, Belief::Probation, now));
        } else {
            continue;
        }
        idle -= wasIdle ? 1 : 0;
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

BeliefChange PooledFailures::afterStaleConnection(const ObservedOutcome &outcome, State &state)
{
    state.lastStaleAt = outcome.at;
    const bool hasWork = state.belief == Belief::Sound || state.belief == Belief::Watched;
    if (hasWork && this->dropsIdleConnections(outcome)) {
        auto change = this->move(outcome.upstream, state, Belief::Watched, outcome.at);
        change.doubtsConnections = true;
        return change;
    }
    state.lastFailureAt = outcome.at;
    return this->move(outcome.upstream, state, Belief::Sick, outcome.at);
}

bool PooledFailures::dropsIdleConnections(const ObservedOutcome &outcome) const
{
    if (this->isRepeatable(outcome.upstream)) {
        // A request that meets a dead connection is sent again, and the capacity of the upstream is worth more.
        return true;
    }
    const auto &service = outcome.upstream.service;
    const auto recent = std::ranges::count_if(this->upstreams, [&](const auto &entry) {
        return entry.first.service == service && entry.second.lastStaleAt != TimePoint{}
               && outcome.at - entry.second.lastStaleAt <= StaleWindow;
    });
    const auto size = this->sizes.find(service);
    const auto few = size == this->sizes.end() ? 0 : std::ceil(static_cast<double>(size->second) * FewStaleShare);
    return static_cast<double>(recent) > std::max(1.0, few);
}

std::vector<BeliefChange> PooledFailures::observe(const ObservedOutcome &outcome)
{
    if (!this->isWanted(outcome.upstream, outcome.cause, outcome.early)) {
        return {};
    }
    if (outcome.cause != Cause::Success) {
        this->recentFailures[outcome.upstream.service].push_back(outcome.at);
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
    } else if (outcome.cause == Cause::SilentConnection) {
        change = this->afterStaleConnection(outcome, state);
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
