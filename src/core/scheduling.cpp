#include "engine.h"

#include <algorithm>

namespace Verbenadock::Core::Internal {

namespace {

/// Queued requests per dispatch for which no upstream is found before the dispatch stops. Requests behind them could
/// only start if the ones in front were restricted to other upstreams, which is rare.
constexpr int MaxDispatchMisses = 8;

/// Fraction of a route's target latency after which an idempotent request is hedged. The rest is enough for a usual
/// answer, since the targets of both deployments are about three times the usual latency.
constexpr double HedgeShareOfTarget = 0.55;

} // namespace

void Engine::schedule(std::uint32_t slot)
{
    if (!this->recheckCustomer(slot) || this->recount(slot)) {
        return;
    }
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    if (service.service.sharing == Bundles::Sharing::Fair) {
        this->scheduleFairly(slot);
        return;
    }
    this->readmitUpstreams(request);
    if (service.queue.empty()) {
        const auto upstream = service.pool.pick(request, this->now, this->random);
        if (upstream && service.pool.isFull(*upstream, this->now)) {
            // The request would reach its deadline in the upstream's queue and delay other requests there.
            request.bestLoadPercent = service.pool.view(*upstream).loadPercent;
            this->failRequest(
                slot, request.attempts.empty() ? RejectionReason::NoCapacity : RejectionReason::AllAttemptsFailed);
            return;
        }
        if (upstream) {
            this->startAttempt(slot, *upstream, false);
            return;
        }
    }
    const auto ahead = std::ranges::count_if(service.queue, [&request](const QueuePosition &position) {
        return position.priority <= request.priority;
    });
    if (this->isServable(request, static_cast<std::size_t>(ahead))) {
        this->enqueue(slot);
    } else {
        this->failRequest(slot, this->unservableReason(request));
    }
}

void Engine::readmitUpstreams(Request &request) const
{
    const auto &service = this->serviceOf(request);
    if (service.pool.couldServe(request, this->now)) {
        return;
    }
    if (!request.attempts.empty() && request.allAttemptsShed()) {
        // Every upstream has shed the request once, so all are allowed again after their backoff.
        request.firstExcludingAttempt = request.attempts.size();
    } else if (request.hadStaleConnection()) {
        request.readmitAfterStaleConnections();
    }
}

bool Engine::isServable(const Request &request, std::size_t ahead) const
{
    const auto &service = this->serviceOf(request);
    if (service.pool.couldServe(request, this->now)) {
        return true;
    }
    // Only as many requests wait for the end of a pause as can start then. The others are better off when they ask
    // again, since the upstream may have asked only this entry for a pause.
    const auto pause = service.pool.nextPauseEnd(request, this->now);
    const auto typical = service.latency.typical();
    const auto workTime = typical > Duration(0) ? typical : request.targetLatency;
    return pause && pause->at + workTime <= request.deadline && ahead < pause->slots;
}

RejectionReason Engine::unservableReason(const Request &request) const
{
    if (!request.attempts.empty()) {
        return RejectionReason::AllAttemptsFailed;
    }
    return this->serviceOf(request).pool.nextPauseEnd(request, this->now) ? RejectionReason::UpstreamsPaused
                                                                          : RejectionReason::NoCapacity;
}

void Engine::rejectUnservable(ServiceState &service)
{
    std::vector<std::uint32_t> unservable;
    std::size_t ahead = 0;
    for (const auto &position : service.queue) {
        auto &request = this->requests.at(position.slot);
        this->readmitUpstreams(request);
        if (this->isServable(request, ahead)) {
            ++ahead;
        } else {
            unservable.push_back(position.slot);
        }
    }
    for (const auto slot : unservable) {
        this->failRequest(slot, this->unservableReason(this->requests.at(slot)));
    }
}

void Engine::enqueue(std::uint32_t slot)
{
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    const QueuePosition position{
        .priority = request.priority, .deadline = request.deadline, .sequence = ++this->lastSequence, .slot = slot};
    if (service.queue.size() >= service.service.queueLimit) {
        if (service.queue.empty() || *service.queue.rbegin() < position) {
            this->failRequest(slot, RejectionReason::QueueFull);
            return;
        }
        this->failRequest(service.queue.rbegin()->slot, RejectionReason::QueueFull);
    }
    request.queued = position;
    // A request that starts with less than the typical latency left would most likely end with an unknown outcome.
    request.queueExpiry = std::max(this->now, request.deadline - service.latency.typical());
    service.queue.insert(position);
    this->updateTimer(slot);
    this->scheduleDispatch(service);
}

void Engine::dequeue(std::uint32_t slot)
{
    auto &request = this->requests.at(slot);
    if (request.queued) {
        this->serviceOf(request).queue.erase(*request.queued);
        request.queued.reset();
        request.queueWait += this->now - request.queuedAt;
    }
}

void Engine::dispatch(ServiceState &service)
{
    if (service.service.sharing == Bundles::Sharing::Fair) {
        this->dispatchFairly(service);
        return;
    }
    int misses = 0;
    auto next = service.queue.begin();
    while (next != service.queue.end() && misses < MaxDispatchMisses) {
        const auto slot = next->slot;
        ++next;
        const auto &request = this->requests.at(slot);
        if (this->now >= request.queueExpiry) {
            this->failRequest(slot, RejectionReason::DeadlineExceeded);
            continue;
        }
        if (!this->endsBeforeShutdown(request, this->now)) {
            this->failRequest(slot, RejectionReason::ShuttingDown);
            continue;
        }
        if (!this->recheckCustomer(slot)) {
            continue;
        }
        const auto upstream = service.pool.pick(request, this->now, this->random);
        if (upstream) {
            this->dequeue(slot);
            this->startAttempt(slot, *upstream, false);
        } else if (request.idempotent && request.attempts.empty()) {
            // The request may go to any upstream, so no upstream has a free slot.
            return;
        } else {
            ++misses;
        }
    }
}

ConnectionPolicy Engine::connectionPolicy(const Request &request, const UpstreamState &upstream) const
{
    if (request.hadStaleConnection() || upstream.connectionsSuspectUntil > this->now) {
        // The cause of one stale pooled connection often affects others too, and a new connection costs about 1 ms.
        return ConnectionPolicy::Fresh;
    }
    return request.idempotent ? ConnectionPolicy::Reuse : ConnectionPolicy::ProvenAlive;
}

void Engine::startAttempt(std::uint32_t slot, std::uint32_t upstream, bool hedge)
{
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    const auto seen = service.pool.view(upstream);
    service.pool.start(upstream, this->now);
    this->reportLoad(service, upstream);
    const auto &target = service.pool.at(upstream);
    const bool hidesCredentials = this->customers.contains(service.bundle);
    request.attempts.push_back(Attempt{.id = ++this->lastAttempt,
                                       .upstream = upstream,
                                       .startedAt = this->now,
                                       .hedge = hedge,
                                       .customer = request.customer,
                                       .hidesCredentials = hidesCredentials});
    const auto &timeouts = service.service.timeouts;
    this->effects.emplace_back(StartAttempt{
        .request = request.id,
        .attempt = this->lastAttempt,
        .upstream = target.key,
        .endpoint = target.endpoint,
        .policy = this->connectionPolicy(request, target),
        .connectTimeout = timeouts.connect,
        .firstByteTimeout = timeouts.firstByte,
        .deadline = request.deadline,
        .holdBackBytes = service.service.holdBackBytes,
        .replayBytes = service.service.replayBytes,
        .echoesAttemptId = service.service.echoesAttemptId,
        .instance = target.instance,
        .customer = request.customer ? request.customer->name : std::string(),
        .hidesCredentials = hidesCredentials,
        .seen = seen,
        .share = request.attempts.size() == 1 ? this->shareView(request) : std::nullopt,
    });
    // The duration of a long upload depends on the caller, so attempts with such bodies are never overdue.
    const auto usual = hedgeDelay(request, service);
    // Without samples of the latency the route's target is used.
    const auto delay = usual > Duration(0) ? usual : request.targetLatency;
    request.overdueAt.reset();
    if (!hedge && request.replayable && delay > Duration(0)) {
        request.overdueAt = this->now + delay;
    }
    this->updateTimer(slot);
}

Duration Engine::hedgeDelay(const Request &request, const ServiceState &service)
{
    const auto usual = service.latency.hedgeDelay();
    if (!request.idempotent || request.targetLatency <= Duration(0)) {
        return usual;
    }
    // In a large fleet one entry gets too few requests of a service to estimate its latency, and a hedge must be able
    // to finish within the target.
    const auto forTarget = std::chrono::duration_cast<Duration>(request.targetLatency * HedgeShareOfTarget);
    return usual > Duration(0) ? std::min(usual, forTarget) : forTarget;
}

void Engine::handleOverdueAttempt(std::uint32_t slot)
{
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    request.overdueAt.reset();
    this->updateTimer(slot);
    const auto running = std::find_if(request.attempts.begin(), request.attempts.end(), [](const Attempt &attempt) {
        return attempt.active;
    });
    if (running == request.attempts.end()) {
        return;
    }
    const auto usual = service.latency.hedgeDelay();
    const auto waited = this->now - running->startedAt;
    if (usual > waited) {
        request.overdueAt = running->startedAt + usual;
        this->updateTimer(slot);
    } else if (usual > Duration(0) && !running->overdue) {
        running->overdue = true;
        this->recordOverdue(service, running->upstream);
    }
    if (waited >= (usual > Duration(0) ? usual : request.targetLatency)) {
        service.pool.noteOverdue(running->upstream, this->now);
    }
    // Under load a hedge would only take the slot of a queued request.
    const bool hedged = request.activeAttempts() > 1;
    if (!request.idempotent || hedged || !service.queue.empty() || !request.allowsAnotherAttempt()
        || !this->endsBeforeShutdown(request, this->now)
        || !this->hasCurrentCredentials(request, *running, this->now)) {
        return;
    }
    const auto hedgeUpstream = service.pool.pick(request, this->now, this->random);
    const auto &budgets = service.service.budgets;
    // The other half of the reserve is left for retries of failed requests.
    const auto reserved = budgets.fleetReserve / 2;
    // A hedge that is queued by the upstream delays other requests and gains little.
    const bool useful = hedgeUpstream && service.pool.hasFreeSlot(*hedgeUpstream);
    if (useful && service.hedges.take(this->now)
        && (!budgets.coversAllAttempts || this->takeAttemptToken(service, reserved))) {
        this->startAttempt(slot, *hedgeUpstream, true);
    }
}

void Engine::recordOverdue(ServiceState &service, std::uint32_t upstream)
{
    const auto &state = service.pool.at(upstream);
    if (state.configured) {
        service.detector->recordOverdue(state.key.upstream, this->now);
        this->evaluate(service);
    }
}

void Engine::updateTimer(std::uint32_t slot)
{
    const auto &request = this->requests.at(slot);
    if (request.queued) {
        this->requestTimers.set(slot, request.queueExpiry);
    } else if (request.overdueAt) {
        this->requestTimers.set(slot, std::min(*request.overdueAt, request.deadline));
    } else {
        this->requestTimers.set(slot, request.deadline);
    }
}

} // namespace Verbenadock::Core::Internal
