#include "engine.h"

#include <algorithm>

namespace Verbenadock::Core::Internal {

namespace {

using Health::Cause;

constexpr unsigned FirstServerError = 500;

/// Attempts of one request when an earlier one may have run; more would delay the answer past its use.
constexpr std::size_t AttemptsAfterWork = 3;
/// Attempts of one request when none has run. Such attempts are short and put no work on the upstreams.
constexpr std::size_t AttemptsWithoutWork = 12;

bool provesNotRun(const AttemptFailed &event)
{
    return event.nothingWritten || event.cause == Cause::Refused || event.cause == Cause::ConnectTimeout;
}

} // namespace

std::optional<Engine::Running> Engine::findRunning(RequestId request, AttemptId attempt)
{
    const auto slot = this->requests.find(request);
    if (!slot) {
        return std::nullopt;
    }
    auto *found = this->requests.at(*slot).find(attempt);
    if (found == nullptr || !found->active) {
        return std::nullopt;
    }
    return Running{.slot = *slot, .attempt = found};
}

void Engine::end(std::uint32_t slot, Attempt &attempt, Cause cause)
{
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    attempt.active = false;
    service.pool.finish(attempt.upstream);
    this->reportLoad(service, attempt.upstream);
    this->touch(service);
    const auto latency = attempt.headLatency > Duration(0) ? attempt.headLatency : this->now - attempt.startedAt;
    if (cause == Cause::Success) {
        service.pool.noteSuccess(attempt.upstream, this->now);
        if (request.replayable) {
            service.latency.add(latency);
        }
    } else if (cause != Cause::Cancelled) {
        service.pool.noteFailure(attempt.upstream);
    }
    // The lateness of an overdue attempt was counted already.
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
            this->end(slot, attempt, cause);
        }
    }
}

void Engine::deadlinePassed(std::uint32_t slot)
{
    const auto &request = this->requests.at(slot);
    const auto &service = this->serviceOf(request);
    // An attempt that got little of the request's time, or whose caller reads or writes slowly, is no evidence.
    const auto enough = std::max(service.latency.hedgeDelay(), service.service.timeouts.total / 2);
    const bool isEvidence = request.replayable && request.forwarded == 0 && !request.attempts.empty()
                            && this->now - request.attempts.back().startedAt >= enough;
    if (isEvidence) {
        this->serviceOf(request).pool.noteOverdue(request.attempts.back().upstream, this->now);
    }
    this->cancelActive(slot, isEvidence ? Cause::Timeout : Cause::Cancelled);
    this->conclude(slot, Refusal::DeadlineExceeded);
}

void Engine::forward(std::uint32_t slot, AttemptId attempt)
{
    auto &request = this->requests.at(slot);
    if (request.forwarded == 0 && !request.callerGone) {
        this->effects.emplace_back(ForwardAnswer{.request = request.id, .attempt = attempt});
    }
    request.forwarded = attempt;
}

void Engine::noteDraining(ServiceState &service, std::uint32_t upstream)
{
    if (!service.pool.at(upstream).configured || !service.pool.noteDraining(upstream, this->now)) {
        return;
    }
    service.detector->setLeaving(service.pool.leavingIds(this->now));
    this->evaluate(service);
    service.pool.refreshAdmissions(*service.detector, this->now);
}

void Engine::on(const ResponseHeadReceived &event)
{
    const auto running = this->findRunning(event.request, event.attempt);
    if (!running) {
        return;
    }
    auto &request = this->requests.at(running->slot);
    running->attempt->headLatency = std::max(Duration(1), event.at - running->attempt->startedAt);
    if (event.draining) {
        this->noteDraining(this->serviceOf(request), running->attempt->upstream);
    }
    for (auto &attempt : request.attempts) {
        if (attempt.active && attempt.id != event.attempt) {
            this->effects.emplace_back(CancelAttempt{.request = request.id, .attempt = attempt.id});
            this->end(running->slot, attempt, Cause::Cancelled);
        }
    }
    this->forward(running->slot, event.attempt);
    request.overdueAt.reset();
    this->updateTimer(running->slot);
}

void Engine::on(const AttemptCompleted &event)
{
    const auto running = this->findRunning(event.request, event.attempt);
    if (!running) {
        return;
    }
    const auto slot = running->slot;
    auto &attempt = *running->attempt;
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    if (event.draining || event.misdirected) {
        this->noteDraining(service, attempt.upstream);
    } else if (event.notRun) {
        service.pool.noteShed(attempt.upstream, this->now, this->random);
    }
    const bool failed = event.status >= FirstServerError;
    attempt.provenNotRun = event.notRun;
    attempt.shed = event.notRun;
    request.bodySpent = request.bodySpent || !request.replayable;
    this->end(slot, attempt, event.notRun ? Cause::Shed : failed ? Cause::ServerError : Cause::Success);

    if (request.forwarded == event.attempt) {
        this->close(slot);
    } else if (event.notRun) {
        this->retryOrConclude(slot, true);
    } else if (failed && request.idempotent && this->retryInsteadOfAnswer(slot)) {
        return;
    } else {
        this->cancelActive(slot, Cause::Cancelled);
        this->forward(slot, event.attempt);
        this->close(slot);
    }
}

void Engine::on(const AttemptFailed &event)
{
    const auto running = this->findRunning(event.request, event.attempt);
    if (!running) {
        return;
    }
    const auto slot = running->slot;
    auto &attempt = *running->attempt;
    auto &request = this->requests.at(slot);
    const bool proven = provesNotRun(event);
    attempt.provenNotRun = proven;
    attempt.unsent = proven;
    attempt.staleConnection = event.cause == Cause::StaleConnection;
    request.bodySpent = request.bodySpent || (!request.replayable && !proven);
    if (event.cause == Cause::Refused || event.cause == Cause::ConnectTimeout) {
        this->serviceOf(request).pool.noteUnreachable(attempt.upstream, this->now, this->random);
    }
    this->end(slot, attempt, event.cause);
    if (request.forwarded == event.attempt) {
        this->conclude(slot, Refusal::AllAttemptsFailed);
    } else {
        this->retryOrConclude(slot, proven);
    }
}

bool Engine::takeAttempt(ServiceState &service, std::size_t kept)
{
    if (service.retries.take(this->now)) {
        return true;
    }
    if (!service.reserve.take(kept, this->now)) {
        return false;
    }
    this->effects.emplace_back(ReportReserveUse{.bundle = service.bundle, .service = service.service.name});
    return true;
}

bool Engine::mayRetry(const Request &request, bool proven) const
{
    const auto limit = proven && !request.mayHaveRun() ? AttemptsWithoutWork : AttemptsAfterWork;
    return request.mayReachAnother() && (request.idempotent || !request.mayHaveRun()) && !request.bodySpent
           && !request.callerGone && request.attempts.size() < limit && this->now < request.deadline;
}

bool Engine::retryInsteadOfAnswer(std::uint32_t slot)
{
    const auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    if (request.activeAttempts() > 0) {
        return true;
    }
    if (!this->mayRetry(request, false) || !service.queue.empty()) {
        return false;
    }
    // The upstream's answer is given up only for an attempt that starts now.
    const auto upstream = service.pool.pick(request, this->now, this->random);
    if (!upstream || !this->takeAttempt(service)) {
        return false;
    }
    this->startAttempt(slot, *upstream, false);
    return true;
}

void Engine::retryOrConclude(std::uint32_t slot, bool proven)
{
    const auto &request = this->requests.at(slot);
    if (request.activeAttempts() > 0) {
        return;
    }
    // A retry that follows a proof adds no work to the service, so that it needs no budget. Otherwise the budget would
    // be used up as soon as more than a tenth of the upstreams stop at once.
    auto &service = this->serviceOf(request);
    const bool wasShed = !request.attempts.empty() && request.attempts.back().shed;
    const bool isFree = proven && !(wasShed && service.service.budgets.coversAllAttempts);
    const bool allowed = this->mayRetry(request, proven) && (isFree || this->takeAttempt(service));
    if (allowed) {
        this->schedule(slot);
    } else {
        this->conclude(slot, Refusal::AllAttemptsFailed);
    }
}

} // namespace Verbenadock::Core::Internal
