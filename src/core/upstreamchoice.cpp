// Load balancing of UpstreamPool: selects an upstream for a request.
#include "upstreamload.h"
#include "upstreampool.h"

#include <algorithm>
#include <cmath>

namespace Verbenadock::Core::Internal {

namespace {

/// Difference in requests per slot up to which a local upstream is preferred to a remote one.
constexpr double LocalPreferenceMargin = 0.25;
/// Requests stay local while the own data centre has at least this share of the healthy slots that an even distribution
/// over the data centres would give it. Below that, the fraction of requests sent to remote upstreams grows linearly.
constexpr double SufficientLocalShare = 0.5;
/// Loads in requests per slot up to which a request stays in the data centre. Upstreams queue requests, and waiting for
/// a part of the usual work time costs less than the round trip to another data centre. Answers to non-idempotent
/// requests are longer, and a large body costs far more to transfer.
constexpr double IdempotentLocalLoadLimit = 1.25;
constexpr double LocalLoadLimit = 2;
/// Load in requests per slot from which a request would miss its target latency. The targets of both deployments are
/// three to four times the usual work time, so a request that waits for 1.5 times that time can still meet its target.
constexpr double FullLoad = 2.5;
/// Load up to which upstreams are considered equally idle: half of the slots.
constexpr double NegligibleLoad = 0.5;
/// Fraction of the requests that go to the least loaded upstream regardless of its last answer, so that new upstreams
/// get work and recovered ones are detected.
constexpr double ExplorationShare = 0.1;
/// Random draws before the whole pool is scanned.
constexpr int RandomDraws = 6;

bool isIdle(const UpstreamState &upstream)
{
    return upstream.inFlight + upstream.otherEntriesInFlight == 0;
}

/// A request that already failed at another upstream is never used as a trial, since it may have no attempt left.
bool mayBeTrial(const Request &request)
{
    return request.idempotent && request.attempts.empty();
}

/// An upstream in trial gets one request at a time.
bool mayTakeTrial(const UpstreamState &upstream, const Request &request)
{
    return mayBeTrial(request) && isIdle(upstream);
}

/// Load including a penalty for a suspect path, since waiting at a busy upstream is better than risking no answer.
double penalizedLoad(const UpstreamState &upstream, TimePoint now)
{
    return load(upstream) + (upstream.pathSuspectUntil > now ? SuspectPathPenalty : 0);
}

/// Among nearly idle upstreams, prefers the most recent success. That upstream has an open connection, and it is the
/// least likely to fail when this entry receives no reports from other entries.
bool isPreferred(const UpstreamState &candidate, const UpstreamState &best, bool exploring, TimePoint now)
{
    const double candidateLoad = std::max(penalizedLoad(candidate, now), NegligibleLoad);
    const double bestLoad = std::max(penalizedLoad(best, now), NegligibleLoad);
    if (candidateLoad != bestLoad || exploring) {
        return penalizedLoad(candidate, now) < penalizedLoad(best, now);
    }
    return candidate.lastSuccessAt > best.lastSuccessAt;
}

bool isLeaving(const UpstreamState &upstream, TimePoint now)
{
    return !upstream.configured || upstream.leaving || upstream.drainingUntil > now;
}

bool isPaused(const UpstreamState &upstream, TimePoint now)
{
    return upstream.pausedUntil > now;
}

bool inService(const UpstreamState &upstream, TimePoint now)
{
    return !isLeaving(upstream, now) && !isPaused(upstream, now) && upstream.admission.allowed;
}

/// Whether only its pause keeps the upstream out of service.
bool isOnlyPaused(const UpstreamState &upstream, TimePoint now)
{
    return isPaused(upstream, now) && !isLeaving(upstream, now) && upstream.admission.allowed;
}

/// An ejected upstream usually fails only a part of its requests, mostly at once, and an idempotent request is retried.
bool isLastResort(const UpstreamState &upstream, const Request &request, TimePoint now)
{
    return upstream.admission.lastResort && upstream.ownDataCentre && !isLeaving(upstream, now)
           && !isPaused(upstream, now) && upstream.backOffUntil <= now && mayTakeTrial(upstream, request);
}

} // namespace

bool UpstreamPool::isUsable(const UpstreamState &upstream, const Request &request, TimePoint now) const
{
    if (!inService(upstream, now) || upstream.backOffUntil > now) {
        return false;
    }
    if (upstream.admission.trialOnly && !mayTakeTrial(upstream, request)) {
        return false;
    }
    return upstream.inFlight < upstream.slots && upstream.inFlight + 1 <= capacity(upstream);
}

bool UpstreamPool::maySend(const Request &request, std::uint32_t upstream, TimePoint now) const
{
    const auto &state = this->upstreams[upstream];
    // An idempotent request may have been selected for an ejected upstream on purpose, as a trial or as the last
    // resort.
    if (isPaused(state, now)) {
        return false;
    }
    return request.idempotent ? !isLeaving(state, now) : inService(state, now) && !state.admission.trialOnly;
}

std::uint32_t UpstreamPool::lessLoaded(std::uint32_t first, std::uint32_t second) const
{
    const auto &firstState = this->upstreams[first];
    const auto &secondState = this->upstreams[second];
    const double difference = load(firstState) - load(secondState);
    if (firstState.ownDataCentre != secondState.ownDataCentre && std::abs(difference) <= LocalPreferenceMargin) {
        return firstState.ownDataCentre ? first : second;
    }
    return difference <= 0 ? first : second;
}

std::optional<std::uint32_t> UpstreamPool::pick(const Request &request, TimePoint now, Random &random) const
{
    const auto count = static_cast<std::uint32_t>(this->configuredIndices.size());
    if (count == 0) {
        return std::nullopt;
    }
    if (this->prefersLocal || this->balancing == Bundles::Balancing::Even) {
        return this->pickPreferringLocal(request, now, random);
    }
    std::optional<std::uint32_t> first;
    for (int draw = 0; draw < RandomDraws; ++draw) {
        const auto index = this->configuredIndices[random.below(count)];
        const auto &upstream = this->upstreams[index];
        if (index == first || !this->isUsable(upstream, request, now) || request.excludes(index)) {
            continue;
        }
        // An upstream in slow start has few admitted slots, which are mostly free, so that it would look least loaded.
        const bool inSlowStart = !upstream.admission.trialOnly && upstream.admission.share < 1;
        if (inSlowStart && random.fraction() >= upstream.admission.share) {
            continue;
        }
        if (first) {
            return this->lessLoaded(*first, index);
        }
        first = index;
    }
    if (first) {
        return first;
    }
    return this->search(request, now, random.below(count));
}

std::optional<std::uint32_t> UpstreamPool::search(const Request &request, TimePoint now, std::uint32_t offset) const
{
    const auto count = static_cast<std::uint32_t>(this->configuredIndices.size());
    std::optional<std::uint32_t> first;
    for (std::uint32_t step = 0; step < count; ++step) {
        const auto position = offset + step;
        const auto index = this->configuredIndices[position < count ? position : position - count];
        if (this->isUsable(this->upstreams[index], request, now) && !request.excludes(index)) {
            if (first) {
                return this->lessLoaded(*first, index);
            }
            first = index;
        }
    }
    return first;
}

std::optional<std::uint32_t> UpstreamPool::pickPreferringLocal(const Request &request,
                                                               TimePoint now,
                                                               Random &random) const
{
    const auto count = static_cast<std::uint32_t>(this->configuredIndices.size());
    const auto offset = random.below(count);
    const bool exploring = random.fraction() < ExplorationShare;
    LocalityCandidates choice;
    for (std::uint32_t step = 0; step < count; ++step) {
        const auto position = offset + step;
        const auto index = this->configuredIndices[position < count ? position : position - count];
        const auto &upstream = this->upstreams[index];
        if (isLastResort(upstream, request, now)) {
            choice.lastResort = index;
        }
        if (!this->isUsable(upstream, request, now) || request.excludes(index)) {
            continue;
        }
        if (upstream.admission.trialOnly && upstream.ownDataCentre) {
            // A trial goes first, since its result decides whether requests that cannot be retried may go there.
            return index;
        }
        this->addCandidate(choice, index, exploring, now);
    }
    // A retry has few attempts left, and an upstream with limited admission must not get several requests at a time.
    const bool sendsToLimited = choice.limited && request.attempts.empty() && isIdle(this->upstreams[*choice.limited])
                                && random.fraction() * choice.localUpstreams < choice.limitedShares;
    if (sendsToLimited) {
        return choice.limited;
    }
    auto best = choice.local ? choice.local : choice.remote;
    // An entry that hears no other one stays with the upstreams that answered it, since others may be unreachable.
    if (this->balancing == Bundles::Balancing::Even && this->reports.hearsOthers(now)) {
        best = this->pickEvenly(request, now, random);
        // The engine rejects a request for a full upstream, so a random choice must not return one while another has
        // room.
        best = best && choice.local && this->isFull(*best, now) && !this->isFull(*choice.local, now) ? choice.local
                                                                                                     : best;
    } else if (choice.local && choice.remote
               && this->sendsToRemote(request, *choice.local, *choice.remote, now, random)) {
        best = choice.remote;
    }
    best = best ? best : choice.limited;
    if (choice.lastResort && (!best || this->estimatedLoad(this->upstreams[*best], now) >= IdempotentLocalLoadLimit)) {
        return choice.lastResort;
    }
    return best ? best : this->search(request, now, offset);
}

void UpstreamPool::addCandidate(LocalityCandidates &choice, std::uint32_t index, bool exploring, TimePoint now) const
{
    const auto &upstream = this->upstreams[index];
    choice.localUpstreams += upstream.ownDataCentre ? 1 : 0;
    auto *best = upstream.ownDataCentre ? &choice.local : &choice.remote;
    if (upstream.admission.trialOnly || upstream.admission.share < 1) {
        // Only entries in the upstream's data centre check whether it has recovered.
        if (!upstream.ownDataCentre) {
            return;
        }
        choice.limitedShares += upstream.admission.share;
        best = &choice.limited;
    }
    const bool byLoad = exploring || best == &choice.limited;
    if (!*best || isPreferred(upstream, this->upstreams[**best], byLoad, now)) {
        *best = index;
    }
}

bool UpstreamPool::sendsToRemote(const Request &request,
                                 std::uint32_t local,
                                 std::uint32_t remote,
                                 TimePoint now,
                                 Random &random) const
{
    const double usual = request.idempotent ? IdempotentLocalLoadLimit : LocalLoadLimit;
    const double limit = request.hasLargeBody ? LargeBodyLocalLoadLimit : usual;
    const double localLoad = penalizedLoad(this->upstreams[local], now);
    const bool localHasRoom = localLoad < limit;
    const double remoteLoad
        = std::max(this->estimatedLoad(this->upstreams[remote], now), penalizedLoad(this->upstreams[remote], now));
    const bool isRemoteBusier = remoteLoad >= localLoad;
    const bool remoteGainsNothing = isRemoteBusier && this->hasDetailedLoad(this->upstreams[remote], now);
    const bool stays
        = localHasRoom && (request.hasLargeBody || remoteGainsNothing || random.fraction() < this->localShare(now));
    return !stays && (localHasRoom || !isRemoteBusier);
}

double UpstreamPool::estimatedLoad(const UpstreamState &upstream, TimePoint now) const
{
    const auto report = this->dataCentreLoads.find(upstream.dataCentre);
    if (upstream.ownDataCentre || report == this->dataCentreLoads.end() || this->hasDetailedLoad(upstream, now)) {
        return load(upstream);
    }
    return now - report->second.at <= DataCentreLoadValidity ? std::max(load(upstream), report->second.load)
                                                             : load(upstream);
}

bool UpstreamPool::hasDetailedLoad(const UpstreamState &upstream, TimePoint now) const
{
    const auto report = this->dataCentreLoads.find(upstream.dataCentre);
    return report != this->dataCentreLoads.end() && report->second.detailedAt != TimePoint{}
           && now - report->second.detailedAt <= DataCentreLoadValidity;
}

bool UpstreamPool::isFull(std::uint32_t upstream, TimePoint now) const
{
    return this->prefersLocal && this->estimatedLoad(this->upstreams[upstream], now) >= FullLoad;
}

double UpstreamPool::localShare(TimePoint now) const
{
    double own = 0;
    double all = 0;
    for (const auto index : this->configuredIndices) {
        const auto &upstream = this->upstreams[index];
        if (inService(upstream, now) && !upstream.admission.trialOnly) {
            const double slots = upstream.slots * upstream.admission.share;
            all += slots;
            own += upstream.ownDataCentre ? slots : 0;
        }
    }
    return all > 0 ? own * static_cast<double>(this->dataCentres) / (all * SufficientLocalShare) : 0;
}

bool UpstreamPool::couldServe(const Request &request, TimePoint now) const
{
    return std::any_of(this->configuredIndices.begin(), this->configuredIndices.end(), [&](std::uint32_t index) {
        const auto &upstream = this->upstreams[index];
        const bool allowed = !upstream.admission.trialOnly || mayBeTrial(request);
        return inService(upstream, now) && allowed && !request.excludes(index);
    });
}

std::optional<PauseEnd> UpstreamPool::nextPauseEnd(const Request &request, TimePoint now) const
{
    std::optional<PauseEnd> first;
    for (const auto index : this->configuredIndices) {
        const auto &upstream = this->upstreams[index];
        const bool allowed = !upstream.admission.trialOnly || mayBeTrial(request);
        if (isOnlyPaused(upstream, now) && allowed && !request.excludes(index)
            && (!first || upstream.pausedUntil < first->at)) {
            first = PauseEnd{.at = upstream.pausedUntil, .slots = upstream.slots};
        }
    }
    return first;
}

std::optional<PauseEnd> UpstreamPool::endOfFullPause(TimePoint now) const
{
    std::optional<PauseEnd> first;
    for (const auto index : this->configuredIndices) {
        const auto &upstream = this->upstreams[index];
        if (inService(upstream, now)) {
            return std::nullopt;
        }
        if (isOnlyPaused(upstream, now) && (!first || upstream.pausedUntil < first->at)) {
            first = PauseEnd{.at = upstream.pausedUntil, .slots = upstream.slots};
        }
    }
    return first;
}

std::optional<Obstacle> UpstreamPool::obstacle(std::uint32_t upstream, TimePoint now) const
{
    const auto &state = this->upstreams[upstream];
    if (isLeaving(state, now)) {
        return Obstacle::Leaving;
    }
    if (isPaused(state, now)) {
        return Obstacle::Paused;
    }
    if (!state.admission.allowed) {
        return Obstacle::Withdrawn;
    }
    if (state.backOffUntil > now) {
        return Obstacle::BackingOff;
    }
    if (state.admission.trialOnly) {
        return Obstacle::OnTrial;
    }
    if (state.inFlight >= state.slots || state.inFlight + 1 > capacity(state)) {
        return Obstacle::AtLimit;
    }
    if (this->isFull(upstream, now)) {
        return Obstacle::Full;
    }
    return state.admission.share < 1 ? std::optional(Obstacle::OnProbation) : std::nullopt;
}

std::size_t UpstreamPool::countInService(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->configuredIndices, [&](std::uint32_t index) {
        return inService(this->upstreams[index], now);
    }));
}

bool UpstreamPool::hasFreeSlot(std::uint32_t upstream) const
{
    const auto &state = this->upstreams[upstream];
    // The round trip to another data centre and its delayed load reports outweigh the gain of a hedge.
    return !this->prefersLocal || (state.ownDataCentre && load(state) + 1 / capacity(state) <= 1);
}

UpstreamView UpstreamPool::view(std::uint32_t upstream) const
{
    const auto &state = this->upstreams[upstream];
    const auto percent = [](double share) {
        return static_cast<unsigned>(std::lround(100 * share));
    };
    const bool isEven = this->balancing == Bundles::Balancing::Even;
    return {.loadPercent = percent(load(state)),
            .sharePercent = state.admission.trialOnly ? 0 : percent(state.admission.share),
            .near = state.ownDataCentre,
            .meanLoadPercent = isEven ? percent(this->meanLocalLoad()) : 0};
}

} // namespace Verbenadock::Core::Internal
