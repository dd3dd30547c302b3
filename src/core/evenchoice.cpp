// Load balancing of UpstreamPool for services with even balancing. The figures of other entries are 30 to 300 ms old,
// so that all entries would send their next requests to the same upstreams if each took the least loaded one.
#include "upstreamload.h"
#include "upstreampool.h"

#include <algorithm>

namespace Verbenadock::Core::Internal {

namespace {

using Seconds = std::chrono::duration<double>;

/// Factor for the slots of an upstream that started within the last seconds.
constexpr double WarmUpSpeed = 0.5;
/// Lower bound of the relative speed, so that single late answers do not take an upstream out of use.
constexpr double LowestSpeed = 0.33;
/// Number of answers with the usual latency that are assumed in addition to the measured ones.
constexpr double AssumedAnswers = 2;

/// Part of the requests that are spread over all upstreams regardless of earlier answers, so that new and recovered
/// ones get work.
constexpr double ExplorationShare = 0.05;

/// Level of the own data centre in requests per slot above which requests leave it: a further request would wait there.
constexpr double WaitingLevel = 1;
/// Difference in requests per slot that pays for the round trip to another data centre.
constexpr double RemoteMargin = 0.25;
/// Part of the requests that leave the data centre for each request per slot of excess. The figures are 0.1 s old and a
/// request takes about 0.2 s, and with a gain of 2 the level of a full data centre would oscillate.
constexpr double RemoteGain = 1;
/// Age of the loads of upstreams in other data centres, whose hubs report them every 200 ms.
constexpr Duration RemoteReportAge = std::chrono::milliseconds(200);
/// Assumed load of a data centre that sends no reports.
constexpr double UnknownRemoteLoad = 1;
/// Requests below the slots of a remote upstream that is not reported as full.
constexpr double LeastFreeSlots = 0.5;

/// Requests of other entries that run; the rest wait and do not end before others have.
double runningForOthers(const UpstreamState &upstream)
{
    return std::min(upstream.otherEntriesInFlight, upstream.slots);
}

double recentSuccesses(const UpstreamState &upstream, TimePoint now)
{
    return upstream.successes > 0 ? upstream.successes * agedWeight(upstream.lastSuccessAt, now) : 0;
}

} // namespace

std::optional<std::uint32_t> UpstreamPool::pickEvenly(const Request &request, TimePoint now, Random &random) const
{
    this->collectCandidates(this->localCandidates, true, request, now);
    const bool hasLocal = !this->localCandidates.empty();
    const double others = this->runningRequestsOfOthers();
    const double localLevel
        = hasLocal ? this->localCandidates.level(1 + others * this->reports.turnover(this->reports.age(now)))
                   : LargeBodyLocalLoadLimit;
    const double localShare = this->localShare(now);
    if (!hasLocal || localLevel > WaitingLevel || localShare < 1) {
        this->collectCandidates(this->remoteCandidates, false, request, now);
        const double share
            = this->remoteCandidates.empty()
                  ? 0
                  : this->remoteShare(request, localLevel, localShare, this->remoteCandidates.meanLoad());
        if (!this->remoteCandidates.empty() && (!hasLocal || (share > 0 && random.fraction() < share))) {
            const double further = share * others * this->reports.turnover(RemoteReportAge);
            return this->remoteCandidates.choose(this->remoteCandidates.level(1 + further), random.fraction());
        }
    }
    return hasLocal ? std::optional(this->localCandidates.choose(localLevel, random.fraction())) : std::nullopt;
}

void UpstreamPool::collectCandidates(EvenLoad &list, bool local, const Request &request, TimePoint now) const
{
    list.clear();
    double successes = 0;
    for (const auto index : this->configuredIndices) {
        successes += recentSuccesses(this->upstreams[index], now);
    }
    // Own requests are known without delay, those of others are not. An entry that returns to the same upstreams, while
    // other entries prefer others, therefore decides on better figures.
    const double base
        = successes > 0 ? ExplorationShare * successes / static_cast<double>(this->configuredIndices.size()) : 1;
    for (const auto index : this->configuredIndices) {
        const auto &upstream = this->upstreams[index];
        const bool isLimited = upstream.admission.trialOnly || upstream.admission.share < 1;
        if (upstream.ownDataCentre != local || isLimited || request.excludes(index)
            || !this->isUsable(upstream, request, now)) {
            continue;
        }
        const double slots = this->effectiveSlots(upstream, now);
        const double penalty = upstream.pathSuspectUntil > now ? SuspectPathPenalty * slots : 0;
        const double requests
            = local ? this->expectedRequests(upstream, now) : this->expectedRemoteRequests(upstream, now);
        list.add({.upstream = index,
                  .slots = slots,
                  .requests = requests + penalty,
                  .preference = base + (1 - ExplorationShare) * recentSuccesses(upstream, now)});
    }
}

double UpstreamPool::effectiveSlots(const UpstreamState &upstream, TimePoint now) const
{
    double speed = upstream.warmUntil > now ? WarmUpSpeed : 1;
    const double usual = Seconds(this->reports.latency()).count();
    const double weight = upstream.latencyCount > 0 ? agedWeight(upstream.latencyAt, now) : 0;
    if (usual > 0 && weight > 0) {
        const double count = AssumedAnswers + weight * upstream.latencyCount;
        const double sum = AssumedAnswers * usual + weight * upstream.latencySum;
        speed = std::min(speed, std::clamp(usual * count / sum, LowestSpeed, 1.0));
    }
    return capacity(upstream) * speed;
}

double UpstreamPool::expectedRequests(const UpstreamState &upstream, TimePoint now) const
{
    // Requests of other entries may have ended since the report; the own ones are known exactly.
    return upstream.inFlight + upstream.otherEntriesInFlight
           - runningForOthers(upstream) * this->reports.turnover(this->reports.age(now));
}

double UpstreamPool::expectedRemoteRequests(const UpstreamState &upstream, TimePoint now) const
{
    const double known = upstream.inFlight + upstream.otherEntriesInFlight;
    const auto report = this->dataCentreLoads.find(upstream.dataCentre);
    const bool isReported = report != this->dataCentreLoads.end() && now - report->second.at <= DataCentreLoadValidity;
    const double usual = (isReported ? report->second.load : UnknownRemoteLoad) * upstream.slots;
    if (!this->hasDetailedLoad(upstream, now)) {
        return std::max(known, usual);
    }
    // Only full upstreams are reported singly.
    return upstream.otherEntriesInFlight > 0 ? known
                                             : std::max(known, std::min(usual, upstream.slots - LeastFreeSlots));
}

double UpstreamPool::runningRequestsOfOthers() const
{
    double others = 0;
    for (const auto index : this->configuredIndices) {
        const auto &upstream = this->upstreams[index];
        others += upstream.ownDataCentre ? runningForOthers(upstream) : 0;
    }
    return others;
}

double UpstreamPool::remoteShare(const Request &request, double localLevel, double localShare, double remoteLoad)
{
    if (request.hasLargeBody) {
        return localLevel >= LargeBodyLocalLoadLimit && remoteLoad + RemoteMargin < localLevel ? 1 : 0;
    }
    const double excess = localLevel - std::max(WaitingLevel, remoteLoad + RemoteMargin);
    // With few local slots left, the load of the data centre shows the surplus only once it waits.
    const double forMissingSlots = remoteLoad < localLevel ? 1 - localShare : 0;
    return std::clamp(std::max(forMissingSlots, RemoteGain * excess), 0.0, 1.0);
}

double UpstreamPool::meanLocalLoad() const
{
    double slots = 0;
    double requests = 0;
    for (const auto index : this->configuredIndices) {
        const auto &upstream = this->upstreams[index];
        if (upstream.ownDataCentre && upstream.admission.allowed && !upstream.admission.trialOnly) {
            slots += capacity(upstream);
            requests += upstream.inFlight + upstream.otherEntriesInFlight;
        }
    }
    return slots > 0 ? requests / slots : 0;
}

} // namespace Verbenadock::Core::Internal
