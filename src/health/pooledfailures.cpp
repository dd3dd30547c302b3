#include "verbenadock/health/pooledfailures.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Verbenadock::Health {

namespace {

// A further late failure within this time is attributed to the upstream instead of to the request.
constexpr Duration WatchedTime = std::chrono::seconds(2);
constexpr Duration SuspectTime = std::chrono::milliseconds(800);
// Together with UnhealthyTrialTime 8 s, after which few failing upstreams still fail. When many upstreams of a service
// are withdrawn, restoreCapacity() returns those with the oldest failures sooner.
constexpr Duration UnhealthyTime = std::chrono::seconds(6);
// A failed trial of an idempotent request costs only a retry, which weighs less than the capacity of an upstream that
// has recovered.
constexpr Duration IdempotentUnhealthyTime = std::chrono::milliseconds(1500);
// Without enough successful trials within this time the service has too few idempotent requests, and non-idempotent
// ones are admitted on probation. The time is longer for an upstream that was unhealthy, because a failed
// non-idempotent request is lost.
constexpr Duration SuspectTrialTime = std::chrono::milliseconds(1200);
constexpr Duration UnhealthyTrialTime = std::chrono::seconds(2);
// An upstream on probation that gets no requests is considered healthy after this time.
constexpr Duration ProbationTime = std::chrono::seconds(5);
// An upstream that fails most requests succeeds twice in a row in 2 of 100 cases.
constexpr unsigned RecoverySuccesses = 2;
// One in five upstreams that still fail answers a trial successfully; an idempotent request that then fails is retried.
constexpr unsigned IdempotentRecoverySuccesses = 1;
// Requests in flight per slot above which withdrawn upstreams are needed again. Up to this load a request seldom queues
// for longer than its processing takes, which costs its caller less than an upstream that probably fails.
constexpr double TargetLoad = 1;
constexpr double MinWithdrawnShare = 0.25;
// Above this share even upstreams that failed less than RestoreDelay ago get requests again.
constexpr double MaxWithdrawnShare = 0.6;
// A request sent earlier after a failure would probably fail too; queueing for another upstream is better.
constexpr Duration RestoreDelay = std::chrono::seconds(2);
// The platform requires 70% of the healthy upstreams in use while 10% of a service's requests are lost, and considers
// an upstream healthy again 2 s after a failure of its own. When the service loses more than MaxLossShare and more than
// MaxRestrictedShare of its upstreams get less than half of their usual share, those without a failure for 2 s get
// half.
constexpr double MaxRestrictedShare = 0.3;
constexpr double MaxLossShare = 0.08;
constexpr Duration LossWindow = std::chrono::seconds(3);
// A short idle timeout makes many upstreams reset pooled connections at the same time, while failing upstreams do so
// independently. Up to this share of a service's upstreams within the window, a reset counts as a failure of its
// upstream.
constexpr Duration StaleConnectionWindow = std::chrono::seconds(1);
constexpr double MaxIsolatedStaleShare = 0.1;
// Load assumed for a service without load reports, about that of a busy day.
constexpr double DefaultLoad = 0.4;
constexpr double InitialProbationShare = 0.2;
constexpr double ProbationShareAfterSuccess = 0.5;

bool isConclusiveFailure(Cause cause)
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
    case Cause::StaleConnection:
    case Cause::Shed:
    case Cause::Timeout:
    case Cause::Cancelled:
        // Healthy upstreams time out under overload; withdrawing them would overload the remaining ones.
        break;
    }
    return false;
}

bool isWithdrawn(PooledState state)
{
    return state == PooledState::Suspect || state == PooledState::Unhealthy || state == PooledState::Trial;
}

/// State that follows when the deadline of a state passes.
PooledState stateAfterTimeout(PooledState state)
{
    switch (state) {
    case PooledState::Suspect:
    case PooledState::Unhealthy:
        return PooledState::Trial;
    case PooledState::Trial:
        return PooledState::Probation;
    case PooledState::Healthy:
    case PooledState::Watched:
    case PooledState::Probation:
        break;
    }
    return PooledState::Healthy;
}

} // namespace

std::string_view toString(PooledState state)
{
    switch (state) {
    case PooledState::Healthy:
        return "sound";
    case PooledState::Watched:
        return "watched";
    case PooledState::Suspect:
        return "suspect";
    case PooledState::Unhealthy:
        return "sick";
    case PooledState::Trial:
        return "trial";
    case PooledState::Probation:
        return "probation";
    }
    return "invalid";
}

bool PooledFailures::isRelevant(const UpstreamKey &upstream, Cause cause, bool early) const
{
    if (cause == Cause::StaleConnection) {
        // A connection without an answer until the timeout may have failed on the network path of one entry only.
        return early;
    }
    if (cause != Cause::Success) {
        return isConclusiveFailure(cause);
    }
    const auto found = this->upstreams.find(upstream);
    return found != this->upstreams.end()
           && (found->second.state == PooledState::Trial || found->second.state == PooledState::Probation);
}

void PooledFailures::setUpstreamCounts(std::map<std::string, std::size_t> services)
{
    this->upstreamCounts = std::move(services);
}

std::vector<PooledStateChange> PooledFailures::setServiceTraffic(const std::string &service,
                                                                 const ServiceTraffic &traffic,
                                                                 TimePoint now)
{
    this->trafficByService[service] = traffic;
    std::vector<PooledStateChange> changes;
    this->restoreCapacity(service, now, changes);
    return changes;
}

double PooledFailures::withdrawnShareLimit(const std::string &service) const
{
    const auto found = this->trafficByService.find(service);
    const auto load = found == this->trafficByService.end() ? DefaultLoad : found->second.load;
    return std::clamp(1 - load / TargetLoad, MinWithdrawnShare, MaxWithdrawnShare);
}

bool PooledFailures::exceedsLossLimit(const std::string &service, TimePoint now)
{
    auto &failures = this->recentFailures[service];
    while (!failures.empty() && now - failures.front() > LossWindow) {
        failures.pop_front();
    }
    const auto traffic = this->trafficByService.find(service);
    if (traffic == this->trafficByService.end() || traffic->second.requestsPerSecond <= 0) {
        return false;
    }
    const auto requests = traffic->second.requestsPerSecond * std::chrono::duration<double>(LossWindow).count();
    return static_cast<double>(failures.size()) > MaxLossShare * requests;
}

std::vector<PooledFailures::RestrictedUpstream> PooledFailures::restrictedUpstreams(const std::string &service)
{
    std::vector<RestrictedUpstream> result;
    for (auto &[key, record] : this->upstreams) {
        const bool isUnproven = record.state == PooledState::Probation && record.successes == 0;
        if (key.service == service && (isWithdrawn(record.state) || isUnproven)) {
            result.push_back({.key = &key, .record = &record});
        }
    }
    std::ranges::sort(result, {}, [](const RestrictedUpstream &entry) {
        return entry.record->lastFailureAt;
    });
    return result;
}

void PooledFailures::restoreCapacity(const std::string &service, TimePoint now, std::vector<PooledStateChange> &changes)
{
    const auto size = this->upstreamCounts.find(service);
    if (size == this->upstreamCounts.end()) {
        return;
    }
    const auto count = static_cast<double>(size->second);
    const auto loadLimit = std::ceil(count * this->withdrawnShareLimit(service));
    const auto absoluteLimit = std::ceil(count * MaxWithdrawnShare);
    const auto restrictedLimit
        = this->exceedsLossLimit(service, now) ? std::max(1.0, std::floor(count * MaxRestrictedShare)) : count;
    const auto isRestorable = [now](const RestrictedUpstream &entry) {
        return now - entry.record->lastFailureAt >= RestoreDelay;
    };
    const auto entries = this->restrictedUpstreams(service);
    auto remaining = static_cast<double>(entries.size());
    auto withdrawn = static_cast<double>(std::ranges::count_if(entries, [](const RestrictedUpstream &entry) {
        return isWithdrawn(entry.record->state);
    }));
    for (const auto &entry : entries) {
        const bool wasWithdrawn = isWithdrawn(entry.record->state);
        if (isRestorable(entry) && remaining > restrictedLimit) {
            // Grants ProbationShareAfterSuccess.
            entry.record->successes = std::max(entry.record->successes, 1U);
            changes.push_back(this->transition(*entry.key, *entry.record, PooledState::Probation, now));
        } else if (wasWithdrawn && (withdrawn > absoluteLimit || (isRestorable(entry) && withdrawn > loadLimit))) {
            changes.push_back(this->transition(*entry.key, *entry.record, PooledState::Probation, now));
        } else {
            continue;
        }
        withdrawn -= wasWithdrawn ? 1 : 0;
        --remaining;
    }
}

void PooledFailures::setIdempotentServices(std::set<std::string> services)
{
    this->idempotentServices = std::move(services);
}

bool PooledFailures::isIdempotent(const UpstreamKey &upstream) const
{
    return this->idempotentServices.contains(upstream.service);
}

PooledStateChange PooledFailures::transition(const UpstreamKey &upstream, Record &record, PooledState to, TimePoint now)
{
    PooledStateChange change{.upstream = upstream, .from = record.state, .to = to};
    record.state = to;
    switch (to) {
    case PooledState::Healthy:
        record.wasUnhealthy = false;
        break;
    case PooledState::Watched:
        record.deadline = now + WatchedTime;
        break;
    case PooledState::Suspect:
        record.deadline = now + SuspectTime;
        change.share = 0;
        break;
    case PooledState::Unhealthy:
        record.deadline = now + (this->isIdempotent(upstream) ? IdempotentUnhealthyTime : UnhealthyTime);
        record.wasUnhealthy = true;
        change.share = 0;
        break;
    case PooledState::Trial:
        record.deadline = now + (record.wasUnhealthy ? UnhealthyTrialTime : SuspectTrialTime);
        record.successes = 0;
        change.share = 0;
        break;
    case PooledState::Probation:
        record.deadline = now + ProbationTime;
        change.share = record.successes == 0 ? InitialProbationShare : ProbationShareAfterSuccess;
        break;
    }
    return change;
}

PooledState PooledFailures::stateAfterFailure(PooledState state, bool early)
{
    if (early) {
        return PooledState::Unhealthy;
    }
    switch (state) {
    case PooledState::Healthy:
        return PooledState::Watched;
    case PooledState::Watched:
        return PooledState::Suspect;
    case PooledState::Suspect:
    case PooledState::Unhealthy:
    case PooledState::Trial:
    case PooledState::Probation:
        break;
    }
    return PooledState::Unhealthy;
}

PooledStateChange PooledFailures::handleStaleConnection(const ObservedOutcome &outcome, Record &record)
{
    record.lastStaleConnectionAt = outcome.at;
    const bool hasWork = record.state == PooledState::Healthy || record.state == PooledState::Watched;
    if (hasWork && this->dropsIdleConnections(outcome)) {
        auto change = this->transition(outcome.upstream, record, PooledState::Watched, outcome.at);
        change.doubtsConnections = true;
        return change;
    }
    record.lastFailureAt = outcome.at;
    return this->transition(outcome.upstream, record, PooledState::Unhealthy, outcome.at);
}

bool PooledFailures::dropsIdleConnections(const ObservedOutcome &outcome) const
{
    if (this->isIdempotent(outcome.upstream)) {
        // An idempotent request on a stale connection is retried, which costs less than the capacity of the upstream.
        return true;
    }
    const auto &service = outcome.upstream.service;
    const auto recent = std::ranges::count_if(this->upstreams, [&](const auto &entry) {
        return entry.first.service == service && entry.second.lastStaleConnectionAt != TimePoint{}
               && outcome.at - entry.second.lastStaleConnectionAt <= StaleConnectionWindow;
    });
    const auto size = this->upstreamCounts.find(service);
    const auto isolatedLimit
        = size == this->upstreamCounts.end() ? 0 : std::ceil(static_cast<double>(size->second) * MaxIsolatedStaleShare);
    return static_cast<double>(recent) > std::max(1.0, isolatedLimit);
}

std::vector<PooledStateChange> PooledFailures::observe(const ObservedOutcome &outcome)
{
    if (!this->isRelevant(outcome.upstream, outcome.cause, outcome.early)) {
        return {};
    }
    if (outcome.cause != Cause::Success) {
        this->recentFailures[outcome.upstream.service].push_back(outcome.at);
    }
    auto &record = this->upstreams[outcome.upstream];
    PooledStateChange change{.upstream = outcome.upstream, .from = record.state, .to = record.state};
    if (outcome.cause == Cause::Success) {
        ++record.successes;
        const auto needed = this->isIdempotent(outcome.upstream) ? IdempotentRecoverySuccesses : RecoverySuccesses;
        if (record.successes >= needed) {
            change = this->transition(outcome.upstream, record, PooledState::Healthy, outcome.at);
        } else {
            change.share = record.state == PooledState::Trial ? 0 : ProbationShareAfterSuccess;
        }
    } else if (record.state == PooledState::Unhealthy) {
        // The request was sent before the upstream was judged unhealthy.
        return {};
    } else if (outcome.cause == Cause::StaleConnection) {
        change = this->handleStaleConnection(outcome, record);
    } else {
        record.lastFailureAt = outcome.at;
        change = this->transition(outcome.upstream, record, stateAfterFailure(record.state, outcome.early), outcome.at);
    }
    change.cause = outcome.cause;
    change.observer = outcome.observer;
    std::vector<PooledStateChange> changes{change};
    this->restoreCapacity(outcome.upstream.service, outcome.at, changes);
    return changes;
}

std::vector<PooledStateChange> PooledFailures::expire(TimePoint now)
{
    std::vector<PooledStateChange> changes;
    for (auto entry = this->upstreams.begin(); entry != this->upstreams.end();) {
        auto &[key, record] = *entry;
        if (record.state != PooledState::Healthy && record.deadline <= now) {
            changes.push_back(this->transition(key, record, stateAfterTimeout(record.state), now));
        }
        entry = record.state == PooledState::Healthy ? this->upstreams.erase(entry) : std::next(entry);
    }
    return changes;
}

std::optional<TimePoint> PooledFailures::nextDeadline() const
{
    std::optional<TimePoint> earliest;
    for (const auto &[key, record] : this->upstreams) {
        if (record.state != PooledState::Healthy && (!earliest || record.deadline < *earliest)) {
            earliest = record.deadline;
        }
    }
    return earliest;
}

} // namespace Verbenadock::Health
