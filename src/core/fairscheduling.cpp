// Member functions of Engine for services with fair sharing.
#include "engine.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace Verbenadock::Core::Internal {

namespace {

/// Queued requests per dispatch for which no upstream has room before the dispatch stops. Those behind them hold more
/// above their share, so that they rarely find room; each try scans all upstreams.
constexpr int MaxDispatchMisses = 3;

/// Load in percent of the slots up to which an upstream takes requests, by priority. The differences leave room for
/// higher priorities and for customers below their share that arrive at other entries.
constexpr std::array<unsigned, 3> HighestLoadPercent{250, 200, 150};
/// The same for whoever holds most above its share: an upstream with a free slot takes any request.
constexpr unsigned LowestLoadPercent = 100;
/// Multiple of what the others hold on average up to which a customer keeps all of the room. One entry sees so few
/// requests that customers of equal size often differ by this factor.
constexpr double RandomRatio = 2;

/// Work of a request before any is known: a fraction of the target latency, which is three to four times the usual
/// work, and without a target the usual work of the deployments.
constexpr double WorkShareOfTarget = 0.3;
constexpr Duration DefaultWork = std::chrono::milliseconds(150);

/// Limits of Retry-After. A caller that waits longer than a third of its time gives up; one that returns sooner than
/// the lower limit finds the service as it left it.
constexpr double RetryAfterShareOfTimeLeft = 0.33;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(30);
/// Longest wait of a caller that does not state its time.
constexpr Duration MaxRetryAfterWithoutDeadline = std::chrono::seconds(1);
/// Range of Retry-After as multiples of the time until the backlog is served.
constexpr double EarliestReturn = 0.5;
constexpr double LatestReturn = 1.5;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

ShareKey Engine::shareKey(const Request &request)
{
    return request.customer ? customerKey(request.customer->name) : request.route;
}

std::size_t Engine::countInFlight(const ServiceState &service)
{
    return service.openRequests - std::min(service.openRequests, service.queue.size());
}

Duration Engine::usualWork(const Request &request, const ServiceState &service)
{
    const auto typical = service.latency.typical();
    if (typical > Duration(0)) {
        return typical;
    }
    return request.targetLatency > Duration(0) ? scaled(request.targetLatency, WorkShareOfTarget) : DefaultWork;
}

Duration Engine::chargeShare(Request &request)
{
    auto &service = this->serviceOf(request);
    if (request.shareCharge) {
        return Duration(0);
    }
    const auto key = shareKey(request);
    const double work = service.shares.expectedWork(key, toSeconds(usualWork(request, service)));
    request.shareCharge = ShareCharge{.key = key, .work = work};
    return fromSeconds(service.shares.charge(key, work, this->now));
}

void Engine::releaseShare(Request &request)
{
    if (!request.shareCharge) {
        return;
    }
    auto &shares = this->serviceOf(request).shares;
    const auto &[key, work, started] = *request.shareCharge;
    if (started && request.workDone > Duration(0)) {
        shares.settle(key, work, toSeconds(request.workDone), this->now);
    } else {
        shares.refund(key, work, started, this->now);
    }
    request.shareCharge.reset();
}

bool Engine::missesTarget(const Request &request) const
{
    return request.targetLatency > Duration(0)
           && this->now + usualWork(request, this->serviceOf(request)) > request.arrivedAt + request.targetLatency;
}

bool Engine::isInTime(const Request &request, std::size_t ahead) const
{
    // By Little's law this entry starts as many requests in the typical latency as it has in flight.
    const auto &service = this->serviceOf(request);
    const auto typical = usualWork(request, service);
    const auto inFlight = std::max<std::size_t>(1, countInFlight(service));
    const auto wait = typical * static_cast<Duration::rep>(ahead) / static_cast<Duration::rep>(inFlight);
    return this->now + wait + typical <= request.deadline;
}

void Engine::scheduleFairly(std::uint32_t slot)
{
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    this->readmitUpstreams(request);
    if (request.attempts.empty()) {
        service.shares.noteOffered(shareKey(request), this->now);
        request.isNeglected = service.shares.isNeglected(shareKey(request), this->now);
        // A caller with many independent requests also seems to return early, and must not starve because of that.
        const bool returnsEarly = this->earlyReturns.noteArrival(request.caller ^ shareKey(request), this->now);
        request.returnsEarly = returnsEarly && !request.isNeglected;
    }
    if (service.queue.empty() && this->startIfRoom(slot)) {
        return;
    }
    const auto ahead = std::ranges::count_if(service.queue, [&request](const QueuePosition &position) {
        return position.priority <= request.priority;
    });
    if (this->isServable(request, static_cast<std::size_t>(ahead))) {
        this->enqueueFairly(slot);
    } else {
        this->failRequest(slot, this->unservableReason(request));
    }
}

unsigned Engine::loadLimitPercent(const Request &request) const
{
    const auto &shares = this->serviceOf(request).shares;
    const auto top = HighestLoadPercent.at(static_cast<std::size_t>(request.priority));
    const double ratio = shares.ratioToOthers(shareKey(request), this->now);
    if (ratio <= RandomRatio || request.isNeglected) {
        return top;
    }
    return std::max(LowestLoadPercent, static_cast<unsigned>(top * RandomRatio / ratio));
}

bool Engine::startIfRoom(std::uint32_t slot)
{
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    const auto upstream = service.pool.pick(request, this->now, this->random);
    if (!upstream) {
        return false;
    }
    const auto seen = service.pool.view(*upstream);
    if (service.pool.isFull(*upstream, this->now)
        || (service.service.prefersOwnDataCentre && seen.loadPercent >= this->loadLimitPercent(request))) {
        request.bestLoadPercent = seen.loadPercent;
        return false;
    }
    if (request.queued && !request.queued->deferred) {
        service.shares.advance(toSeconds(request.queued->startTag));
    }
    this->dequeue(slot);
    this->chargeShare(request);
    if (!request.shareCharge->started) {
        service.shares.start(request.shareCharge->key, request.shareCharge->work, this->now);
        request.shareCharge->started = true;
    }
    this->startAttempt(slot, *upstream, false);
    return true;
}

void Engine::enqueueFairly(std::uint32_t slot)
{
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    // A retry was charged when it first started, and its tag is the oldest possible one, since it has waited longest.
    const auto ownTag = this->chargeShare(request);
    const auto startTag = request.isNeglected ? Duration(0) : ownTag;
    request.queued = QueuePosition{.priority = request.priority,
                                   .deferred = request.returnsEarly,
                                   .startTag = startTag,
                                   .deadline = request.deadline,
                                   .sequence = ++this->lastSequence,
                                   .slot = slot};
    request.queuedAt = this->now;
    request.queueExpiry = std::max(this->now, request.deadline - usualWork(request, service));
    service.queue.insert(*request.queued);
    this->updateTimer(slot);
    if (service.queue.size() > service.service.queueLimit) {
        const auto rejected = this->leastClaim(service).slot;
        this->failRequest(rejected, this->reasonOfRejection(this->requests.at(rejected), RejectionReason::QueueFull));
    }
    this->rejectHopeless(service);
    this->scheduleDispatch(service);
}

void Engine::defer(std::uint32_t slot)
{
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    auto position = *request.queued;
    service.queue.erase(position);
    position.deferred = true;
    request.queued = position;
    service.queue.insert(position);
    // The request will probably not be served. Its customer must not lose the turn of a later request for it.
    if (request.attempts.empty()) {
        this->releaseShare(request);
    }
}

const QueuePosition &Engine::leastClaim(const ServiceState &service) const
{
    const auto lowest = service.queue.rbegin()->priority;
    const auto claimOf = [this, &service](const QueuePosition &position) {
        const auto &request = this->requests.at(position.slot);
        const double held = request.isNeglected ? 0 : service.shares.held(shareKey(request), this->now);
        return std::tuple(request.returnsEarly, held);
    };
    // Backwards, so that of equal claims the last request is found.
    auto least = service.queue.rbegin();
    auto leastClaim = claimOf(*least);
    for (auto position = std::next(least); position != service.queue.rend() && position->priority == lowest;
         ++position) {
        const auto claim = claimOf(*position);
        if (claim > leastClaim) {
            least = position;
            leastClaim = claim;
        }
    }
    return *least;
}

RejectionReason Engine::reasonOfRejection(const Request &request, RejectionReason otherwise) const
{
    return this->serviceOf(request).shares.isAboveShare(shareKey(request), this->now) ? RejectionReason::OverFairShare
                                                                                      : otherwise;
}

void Engine::rejectHopeless(ServiceState &service)
{
    std::size_t ahead = 0;
    auto position = service.queue.begin();
    while (position != service.queue.end()) {
        const auto &request = this->requests.at(position->slot);
        if (this->isInTime(request, ahead)) {
            ++ahead;
            ++position;
            continue;
        }
        if (!this->isInTime(request, 0)) {
            // No room that others leave helps any more.
            const auto slot = position->slot;
            ++position;
            this->failRequest(slot, RejectionReason::DeadlineExceeded);
            continue;
        }
        // The queue in front is too long. One request goes, and only one in front makes room for this one.
        const auto &least = this->leastClaim(service);
        const auto rejected = least < *position ? least.slot : position->slot;
        this->failRequest(rejected, this->reasonOfRejection(this->requests.at(rejected), RejectionReason::NoCapacity));
        position = service.queue.begin();
        ahead = 0;
    }
}

void Engine::dispatchFairly(ServiceState &service)
{
    this->rejectHopeless(service);
    int misses = 0;
    auto next = service.queue.begin();
    while (next != service.queue.end() && misses < MaxDispatchMisses) {
        const auto slot = next->slot;
        const auto &request = this->requests.at(slot);
        if (!next->deferred && this->missesTarget(request)) {
            // Its new place is behind the old one, so that the loop reaches it again.
            const auto position = *next;
            this->defer(slot);
            next = service.queue.upper_bound(position);
            continue;
        }
        ++next;
        if (!this->endsBeforeShutdown(request, this->now)) {
            this->failRequest(slot, RejectionReason::ShuttingDown);
            continue;
        }
        if (!this->recheckCustomer(slot)) {
            continue;
        }
        if (this->startIfRoom(slot)) {
            continue;
        }
        ++misses;
    }
}

Duration Engine::fairRetryAfter(const Request &request)
{
    const auto &service = this->serviceOf(request);
    const auto inFlight = std::max<std::size_t>(1, countInFlight(service));
    const double rounds = 1 + static_cast<double>(service.queue.size()) / static_cast<double>(inFlight);
    const auto backlog = scaled(usualWork(request, service), rounds);
    const auto limit = request.callerDeadline ? scaled(*request.callerDeadline - this->now, RetryAfterShareOfTimeLeft)
                                              : MaxRetryAfterWithoutDeadline;
    // The limit has precedence over the lower bound: a caller with so little time left gives up in any case.
    const auto latest = std::min(limit, std::max(2 * MinRetryAfter, scaled(backlog, LatestReturn)));
    const auto earliest = std::min(latest / 2, scaled(backlog, EarliestReturn));
    const auto spread = earliest + scaled(latest - earliest, this->random.fraction());
    const auto wait = std::max(Duration(1), std::min(limit, std::max(MinRetryAfter, spread)));
    this->earlyReturns.noteRejection(request.caller ^ shareKey(request), this->now, this->now + wait);
    return wait;
}

std::optional<ShareView> Engine::shareView(const Request &request) const
{
    const auto &service = this->serviceOf(request);
    if (service.service.sharing != Bundles::Sharing::Fair) {
        return std::nullopt;
    }
    return ShareView{.customer = request.customer ? request.customer->name : std::string(),
                     .held = fromSeconds(service.shares.held(shareKey(request), this->now)),
                     .equalShare = fromSeconds(service.shares.equalShare(this->now)),
                     .aboveShare = service.shares.countAboveShare(this->now),
                     .queueWait = request.queueWait,
                     .returnsEarly = request.returnsEarly};
}

} // namespace Verbenadock::Core::Internal
