#include "engine.h"

#include "verbenadock/base/drain.h"

#include <algorithm>

namespace Verbenadock::Core::Internal {

namespace {

using Health::Cause;

constexpr unsigned FirstServerError = 500;

/// Attempts of one request when an earlier one may have run. More attempts would delay the answer until it is useless.
constexpr std::size_t MaxAttemptsAfterPossibleRun = 3;
/// Attempts of one request when none has run. Such attempts are short and cause no work for the upstreams.
constexpr std::size_t MaxAttemptsWithoutRun = 12;

bool provesNotRun(const AttemptFailed &event)
{
    return event.nothingWritten || event.cause == Cause::Refused || event.cause == Cause::ConnectTimeout;
}

} // namespace

std::optional<Engine::RunningAttempt> Engine::findRunningAttempt(RequestId request, AttemptId attempt)
{
    const auto slot = this->requests.find(request);
    if (!slot) {
        return std::nullopt;
    }
    auto *running = this->requests.at(*slot).find(attempt);
    if (running == nullptr || !running->active) {
        return std::nullopt;
    }
    return RunningAttempt{.slot = *slot, .attempt = running};
}

bool Engine::maySend(RequestId request, AttemptId attempt, TimePoint at) const
{
    const auto slot = this->requests.find(request);
    const auto *running = slot ? this->requests.at(*slot).find(attempt) : nullptr;
    return running != nullptr && running->active && this->hasCurrentCredentials(this->requests.at(*slot), *running, at)
           && this->endsBeforeShutdown(this->requests.at(*slot), at)
           && this->serviceOf(this->requests.at(*slot)).pool.maySend(this->requests.at(*slot), running->upstream, at);
}

void Engine::endAttempt(std::uint32_t slot, Attempt &attempt, Cause cause)
{
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    attempt.active = false;
    service.pool.finish(attempt.upstream, this->now);
    this->reportLoad(service, attempt.upstream);
    this->scheduleDispatch(service);
    const auto latency = attempt.headLatency > Duration(0) ? attempt.headLatency : this->now - attempt.startedAt;
    request.workDone += latency;
    if (cause == Cause::Success) {
        service.pool.noteSuccess(attempt.upstream, this->now);
        if (request.replayable) {
            service.latency.add(latency);
            service.pool.noteLatency(attempt.upstream, latency, this->now);
        }
    } else if (cause != Cause::Cancelled) {
        service.pool.noteFailure(attempt.upstream);
    }
    // An overdue attempt was already recorded as late.
    if (!(attempt.overdue && cause == Cause::Success)) {
        this->record(service,
                     attempt.upstream,
                     {.at = this->now,
                      .cause = cause,
                      .latency = latency,
                      .early = cause != Cause::Success && isEarly(request, service, latency)});
    }
}

void Engine::cancelActive(std::uint32_t slot, Cause cause)
{
    auto &request = this->requests.at(slot);
    for (auto &attempt : request.attempts) {
        if (attempt.active) {
            this->effects.emplace_back(CancelAttempt{.request = request.id, .attempt = attempt.id});
            this->endAttempt(slot, attempt, cause);
        }
    }
}

void Engine::expireRequest(std::uint32_t slot)
{
    const auto &request = this->requests.at(slot);
    const auto &service = this->serviceOf(request);
    // A timeout is no evidence when the attempt got only little of the request's time or the caller reads or writes
    // slowly.
    const auto minDuration = std::max(service.latency.hedgeDelay(), service.service.timeouts.total / 2);
    const bool isEvidence = request.replayable && request.forwardedAttempt == 0 && !request.attempts.empty()
                            && this->now - request.attempts.back().startedAt >= minDuration;
    if (isEvidence) {
        this->serviceOf(request).pool.noteOverdue(request.attempts.back().upstream, this->now);
    }
    this->cancelActive(slot, isEvidence ? Cause::Timeout : Cause::Cancelled);
    this->failRequest(slot, RejectionReason::DeadlineExceeded);
}

void Engine::forward(std::uint32_t slot, AttemptId attempt)
{
    auto &request = this->requests.at(slot);
    if (request.forwardedAttempt == 0 && !request.callerDisconnected) {
        this->effects.emplace_back(ForwardAnswer{.request = request.id, .attempt = attempt});
    }
    request.forwardedAttempt = attempt;
}

void Engine::leavingChanged(ServiceState &service)
{
    service.detector->setLeaving(service.pool.leavingIds(this->now));
    this->evaluate(service);
    service.pool.refreshAdmissions(*service.detector, this->now);
    this->rejectUnservable(service);
}

void Engine::on(const UpstreamAnnounced &event)
{
    const auto found = this->serviceIndices.find({event.upstream.bundle, event.upstream.service});
    if (found == this->serviceIndices.end()) {
        return;
    }
    auto &service = *this->services[found->second];
    if (event.leaving) {
        const auto until = service.service.idsNameProcesses ? TimePoint::max() : this->now + DrainAnnouncementLifetime;
        if (service.pool.noteLeaving(event.upstream.upstream, until, this->now)) {
            this->effects.emplace_back(ReportStateChange{.change = UpstreamLeaving{.upstream = event.upstream}});
            if (service.configured) {
                this->leavingChanged(service);
            }
        }
    }
    if (event.pause > Duration(0)) {
        if (service.pool.notePause(event.upstream.upstream, this->now + event.pause, this->now)) {
            this->effects.emplace_back(
                ReportStateChange{.change = UpstreamPaused{.upstream = event.upstream, .pause = event.pause}});
            this->rejectUnservable(service);
        }
        this->scheduleDispatch(service);
    }
}

void Engine::on(const ResponseHeadReceived &event)
{
    const auto running = this->findRunningAttempt(event.request, event.attempt);
    if (!running) {
        return;
    }
    auto &request = this->requests.at(running->slot);
    running->attempt->headLatency = std::max(Duration(1), event.at - running->attempt->startedAt);
    for (auto &attempt : request.attempts) {
        if (attempt.active && attempt.id != event.attempt) {
            this->effects.emplace_back(CancelAttempt{.request = request.id, .attempt = attempt.id});
            this->endAttempt(running->slot, attempt, Cause::Cancelled);
        }
    }
    this->forward(running->slot, event.attempt);
    request.overdueAt.reset();
    this->updateTimer(running->slot);
}

void Engine::on(const AttemptCompleted &event)
{
    const auto running = this->findRunningAttempt(event.request, event.attempt);
    if (!running) {
        return;
    }
    const auto slot = running->slot;
    auto &attempt = *running->attempt;
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    const auto &upstream = service.pool.at(attempt.upstream);
    if (event.misdirected) {
        if (upstream.configured && service.pool.noteMisdirected(attempt.upstream, this->now)) {
            this->leavingChanged(service);
        }
    } else if (event.notRun && upstream.drainingUntil <= this->now) {
        service.pool.noteShed(attempt.upstream, this->now, this->random);
    }
    const bool failed = event.status >= FirstServerError;
    attempt.provenNotRun = event.notRun;
    attempt.shed = event.notRun;
    request.bodyConsumed = request.bodyConsumed || !request.replayable;
    this->endAttempt(slot, attempt, event.notRun ? Cause::Shed : failed ? Cause::ServerError : Cause::Success);

    if (request.forwardedAttempt == event.attempt) {
        this->closeRequest(slot);
    } else if (event.notRun) {
        this->retryOrFail(slot, true);
    } else if (failed && request.idempotent && this->retryInsteadOfForwarding(slot)) {
        return;
    } else {
        this->cancelActive(slot, Cause::Cancelled);
        this->forward(slot, event.attempt);
        this->closeRequest(slot);
    }
}

void Engine::on(const AttemptFailed &event)
{
    const auto running = this->findRunningAttempt(event.request, event.attempt);
    if (!running) {
        return;
    }
    const auto slot = running->slot;
    auto &attempt = *running->attempt;
    auto &request = this->requests.at(slot);
    const bool provenNotRun = provesNotRun(event);
    attempt.provenNotRun = provenNotRun;
    attempt.unsent = provenNotRun;
    attempt.staleConnection = event.cause == Cause::StaleConnection;
    // The attempt was withdrawn because of the customer's key; the upstream may get the request under another name.
    attempt.excludesUpstream = !attempt.unsent || this->hasCurrentCredentials(request, attempt, this->now);
    request.bodyConsumed = request.bodyConsumed || (!request.replayable && !provenNotRun);
    if (event.cause == Cause::Refused || event.cause == Cause::ConnectTimeout) {
        this->serviceOf(request).pool.noteUnreachable(attempt.upstream, this->now, this->random);
    }
    this->endAttempt(slot, attempt, event.cause);
    if (request.forwardedAttempt == event.attempt) {
        this->failRequest(slot, RejectionReason::AllAttemptsFailed);
    } else {
        this->retryOrFail(slot, provenNotRun);
    }
}

bool Engine::takeAttemptToken(ServiceState &service, std::size_t reserved)
{
    if (service.retries.take(this->now)) {
        return true;
    }
    if (!service.reserve.take(reserved, this->now)) {
        return false;
    }
    this->effects.emplace_back(ReportReserveUse{.bundle = service.bundle, .service = service.service.name});
    return true;
}

bool Engine::mayRetry(const Request &request, bool provenNotRun) const
{
    const auto limit = provenNotRun && !request.mayHaveRun() ? MaxAttemptsWithoutRun : MaxAttemptsAfterPossibleRun;
    return request.allowsAnotherAttempt() && (request.idempotent || !request.mayHaveRun()) && !request.bodyConsumed
           && !request.callerDisconnected && request.attempts.size() < limit && this->now < request.deadline
           && this->endsBeforeShutdown(request, this->now);
}

bool Engine::retryInsteadOfForwarding(std::uint32_t slot)
{
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    if (request.activeAttempts() > 0) {
        return true;
    }
    if (!this->mayRetry(request, false) || !service.queue.empty() || this->renewCustomer(request)) {
        return false;
    }
    // The answer of the upstream is discarded only when the next attempt can start immediately.
    const auto upstream = service.pool.pick(request, this->now, this->random);
    if (!upstream || !this->takeAttemptToken(service)) {
        return false;
    }
    this->startAttempt(slot, *upstream, false);
    return true;
}

void Engine::retryOrFail(std::uint32_t slot, bool provenNotRun)
{
    const auto &request = this->requests.at(slot);
    if (request.activeAttempts() > 0 || !this->recheckCustomer(slot)) {
        return;
    }
    // A retry of a request that provably did not run adds no work to the service and needs no token. Otherwise the
    // budget would be exhausted as soon as more than a tenth of the upstreams stop at the same time.
    auto &service = this->serviceOf(request);
    const bool wasShed = !request.attempts.empty() && request.attempts.back().shed;
    const bool needsNoToken = provenNotRun && !(wasShed && service.service.budgets.coversAllAttempts);
    const bool allowed = this->mayRetry(request, provenNotRun) && (needsNoToken || this->takeAttemptToken(service));
    if (allowed) {
        this->schedule(slot);
    } else {
        this->failRequest(slot,
                          this->endsBeforeShutdown(request, this->now) ? RejectionReason::AllAttemptsFailed
                                                                       : RejectionReason::ShuttingDown);
    }
}

} // namespace Verbenadock::Core::Internal
