#include "engine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Verbenadock::Core::Internal {

namespace {

constexpr unsigned NotFound = 404;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned GatewayTimeout = 504;

/// Size in bytes from which a body is expensive to send to another data centre: far above a claim and far below an
/// upload.
constexpr std::uint64_t LargeBodyBytes = 16 * 1024;

/// Limits of Retry-After for requests that were not run: an absolute one and a fraction of the caller's remaining time.
/// A caller that waits longer than a third of that time gives up, and the request itself needs time too.
constexpr Duration MaxRetryAfter = std::chrono::seconds(1);
constexpr double RetryAfterShare = 0.3;
/// Fraction of the wait that is randomized, so that callers rejected at the same moment do not all retry together.
constexpr double RetryAfterSpread = 0.4;

/// Step of the sequence with the most even distribution in the unit interval.
constexpr double GoldenRatioFraction = 0.6180339887498949;

} // namespace

Duration Engine::retryAfter(std::optional<Duration> timeLeft)
{
    if (!timeLeft) {
        return MaxRetryAfter;
    }
    const auto usefulWait = std::chrono::duration_cast<Duration>(*timeLeft * RetryAfterShare);
    const auto spread = 1 - RetryAfterSpread * this->random.fraction();
    const auto wait = std::chrono::duration_cast<Duration>(std::min(MaxRetryAfter, usefulWait) * spread);
    return std::max(Duration(1), wait);
}

Duration Engine::retryAfter(const Request &request)
{
    const auto pause = this->serviceOf(request).pool.endOfFullPause(this->now);
    // Another entry, which serves the caller after a shutdown of this one, need not be asked for a pause.
    if (pause && !this->shutdown) {
        const auto wait = pause->at - this->now;
        // Callers return after the end of the pause, and not all together.
        return wait + std::chrono::duration_cast<Duration>(wait * (RetryAfterSpread * this->random.fraction()));
    }
    if (this->serviceOf(request).service.sharing == Bundles::Sharing::Fair) {
        return this->fairRetryAfter(request);
    }
    return this->retryAfter(request.callerDeadline ? std::optional(*request.callerDeadline - this->now) : std::nullopt);
}

void Engine::reject(RequestId request,
                    unsigned status,
                    RejectionReason refusal,
                    Duration retryAfter,
                    RejectionView seen)
{
    this->effects.emplace_back(RespondLocally{.request = request,
                                              .status = status,
                                              .outcome = Outcome::NotRun,
                                              .refusal = refusal,
                                              .retryAfter = retryAfter,
                                              .seen = std::move(seen)});
}

void Engine::rejectUnrouted(const RequestArrived &event)
{
    if (this->missingRouteReason(this->now) == RejectionReason::NoRoute) {
        this->reject(event.request, NotFound, RejectionReason::NoRoute);
    } else {
        this->reject(event.request,
                     ServiceUnavailable,
                     RejectionReason::ConfigurationOutdated,
                     this->retryAfter(event.timeLeft));
    }
}

RejectionReason Engine::missingRouteReason(TimePoint at) const
{
    // A newer configuration may contain the route.
    return this->settings.confirmsConfiguration && !this->hasNewestConfiguration(at)
               ? RejectionReason::ConfigurationOutdated
               : RejectionReason::NoRoute;
}

std::optional<RouteTarget> Engine::admit(const RequestArrived &event)
{
    if (!this->configuration) {
        this->reject(
            event.request, ServiceUnavailable, RejectionReason::NotConfigured, this->retryAfter(event.timeLeft));
        return std::nullopt;
    }
    if (this->terminated || (this->shutdown && this->shutdown->stoppedAccepting)) {
        this->reject(
            event.request, ServiceUnavailable, RejectionReason::ShuttingDown, this->retryAfter(event.timeLeft));
        return std::nullopt;
    }
    auto target = this->routes->find(event.host, event.method, event.target);
    if (!target) {
        this->rejectUnrouted(event);
        return std::nullopt;
    }
    if (!this->admitCustomer(event, *target)) {
        return std::nullopt;
    }
    if (this->requests.size() >= this->settings.requestLimit) {
        this->reject(event.request, ServiceUnavailable, RejectionReason::NoCapacity, this->retryAfter(event.timeLeft));
        return std::nullopt;
    }
    if (target->split) {
        target->service = this->chooseSplitService(*target);
    }
    if (const auto wait = this->callerLimits.admit(target->bundle, event.caller, this->now)) {
        this->reject(event.request, TooManyRequests, RejectionReason::CallerOverLimit, *wait);
        return std::nullopt;
    }
    return target;
}

double Engine::nextSplitPosition(const RouteTarget &target)
{
    if (!target.splitSequence) {
        return this->random.fraction();
    }
    // An additive recurrence keeps the share of each part close to its weight after few requests, whatever the weights
    // are, so that the sequence may go on when they change. A random start keeps the entries independent.
    auto &position = this->splitPositions[*target.splitSequence];
    position = position ? *position + GoldenRatioFraction : this->random.fraction();
    position = *position - std::floor(*position);
    return *position;
}

std::uint32_t Engine::chooseSplitService(const RouteTarget &target)
{
    const auto &parts = *target.split;
    double total = 0;
    for (const auto &part : parts) {
        total += part.weight;
    }
    double position = this->nextSplitPosition(target) * total;
    for (const auto &part : parts) {
        position -= part.weight;
        if (position < 0) {
            return part.service;
        }
    }
    return parts.back().service;
}

std::optional<KeyScope> Engine::keyScope(std::string_view host, std::string_view method, std::string_view target) const
{
    const auto found = this->configuration ? this->routes->find(host, method, target) : std::nullopt;
    if (!found || found->idempotent) {
        return std::nullopt;
    }
    const auto &service = *this->services[found->service];
    return KeyScope{.bundle = service.bundle, .replayBytes = service.service.replayBytes};
}

bool Engine::isIdempotent(std::string_view host, std::string_view method, std::string_view target) const
{
    const auto found = this->configuration ? this->routes->find(host, method, target) : std::nullopt;
    return found && found->idempotent;
}

void Engine::on(const RequestArrived &event)
{
    if (this->requests.find(event.request)) {
        return;
    }
    const auto target = this->admit(event);
    if (!target) {
        return;
    }
    const auto slot = this->requests.open(event.request);
    auto &request = this->requests.at(slot);
    request.service = target->service;
    auto &service = this->serviceOf(request);
    ++service.openRequests;
    request.idempotent = target->idempotent;
    request.priority = target->priority;
    this->setCustomer(request, event, *target);
    request.hasLargeBody = !event.bodyBytes || *event.bodyBytes >= LargeBodyBytes;
    request.replayable = event.bodyBytes && *event.bodyBytes <= service.service.replayBytes;
    request.maxAttempts = target->maxAttempts;
    request.targetLatency = target->targetLatency;
    request.arrivedAt = event.at;
    request.caller = std::hash<std::string>{}(event.caller);
    request.route = target->identity;
    const auto configured = target->timeout > Duration(0) ? target->timeout : service.service.timeouts.total;
    if (event.timeLeft) {
        request.callerDeadline = event.at + *event.timeLeft;
    }
    request.deadline = event.at + std::min(configured, event.timeLeft.value_or(configured));
    this->countAndSchedule(slot);
}

RejectionView Engine::rejectionView(const Request &request) const
{
    const auto &service = *this->services[request.service];
    return {.service = service.service.name,
            .customer = request.customer ? request.customer->name : std::string(),
            .loadPercent = request.bestLoadPercent,
            .queued = service.queue.size(),
            .inService = service.pool.countInService(this->now),
            .configured = service.pool.configured().size(),
            .share = this->shareView(request)};
}

void Engine::failRequest(std::uint32_t slot, RejectionReason refusal)
{
    this->dequeue(slot);
    this->cancelActive(slot, Health::Cause::Cancelled);
    const auto &request = this->requests.at(slot);
    if (request.callerDisconnected) {
        // No caller is left to answer.
    } else if (request.forwardedAttempt != 0) {
        this->effects.emplace_back(AbortCaller{.request = request.id});
    } else if (request.mayHaveRun()) {
        this->effects.emplace_back(
            RespondLocally{.request = request.id,
                           .status = GatewayTimeout,
                           .outcome = Outcome::Unknown,
                           .refusal = request.idempotent ? refusal : RejectionReason::OutcomeUnknown,
                           .retryAfter = Duration(0),
                           .seen = this->rejectionView(request)});
    } else if (refusal == RejectionReason::UnknownKey) {
        this->reject(request.id, Unauthorized, refusal, Duration(0), this->rejectionView(request));
    } else {
        this->reject(request.id, ServiceUnavailable, refusal, this->retryAfter(request), this->rejectionView(request));
    }
    this->closeRequest(slot);
}

void Engine::closeRequest(std::uint32_t slot)
{
    this->dequeue(slot);
    this->requestTimers.clear(slot);
    this->releaseShare(this->requests.at(slot));
    this->returnAllowance(this->requests.at(slot));
    --this->serviceOf(this->requests.at(slot)).openRequests;
    this->requests.close(slot);
}

void Engine::requestTimerExpired(std::uint32_t slot)
{
    auto &request = this->requests.at(slot);
    if (request.queued) {
        this->failRequest(slot, RejectionReason::DeadlineExceeded);
    } else if (this->now >= request.deadline) {
        this->expireRequest(slot);
    } else {
        this->handleOverdueAttempt(slot);
    }
}

void Engine::on(const CallerDisconnected &event)
{
    const auto slot = this->requests.find(event.request);
    if (!slot) {
        return;
    }
    auto &request = this->requests.at(*slot);
    request.callerDisconnected = true;
    // A running attempt of a non-idempotent request is not cancelled, since its outcome would be unknown.
    if (request.idempotent || request.activeAttempts() == 0) {
        this->failRequest(*slot, RejectionReason::NoCapacity);
    }
}

} // namespace Verbenadock::Core::Internal
