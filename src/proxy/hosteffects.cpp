// Member functions of Host that carry out effects.
#include "attempt.h"
#include "host.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Verbenadock::Proxy::internal {

namespace {

/// Longest time for writing the answers to abandoned requests. SIGKILL follows soon after.
constexpr Duration FinalAnswersTime = std::chrono::milliseconds(200);
constexpr unsigned GatewayTimeoutStatus = 504;

} // namespace

void Host::carryOut(const Core::Effect &effect)
{
    std::visit(
        [this](const auto &specific) {
            this->carryOut(specific);
        },
        effect);
}

void Host::carryOut(const Core::StartAttempt &effect)
{
    if (effect.share) {
        this->proxyMetrics.recordShare(effect.upstream.service, *effect.share);
    }
    const auto found = this->exchanges.find(effect.request);
    if (found == this->exchanges.end() || found->second->decision) {
        return;
    }
    if (found->second->attemptReports.empty() && !effect.customer.empty()) {
        this->proxyMetrics.countKey(KeyResult::Accepted);
    }
    found->second->service = effect.upstream.service;
    found->second->customer = effect.customer;
    this->proxyMetrics.countChoice(effect.seen);
    found->second->attemptReports.push_back({.id = effect.attempt,
                                             .upstream = effect.upstream.upstream,
                                             .seen = effect.seen,
                                             .startDelay = monotonicNow() - found->second->arrivedAt});
    if (found->second->bodyReady) {
        this->startAttempt(found->second, effect);
        return;
    }
    found->second->pendingAttempts.push_back(effect);
    found->second->caller->wake();
}

void Host::startAttempt(const std::shared_ptr<Exchange> &exchange, const Core::StartAttempt &order)
{
    auto attempt = std::make_shared<Attempt>(this->shared_from_this(), exchange, order);
    exchange->attempts.push_back(attempt);
    asio::co_spawn(this->executor(), attempt->run(), asio::detached);
}

bool Host::maySend(const Core::StartAttempt &order) const
{
    return this->reducer.maySend(order.request, order.attempt, monotonicNow());
}

void Host::carryOut(const Core::CancelAttempt &effect)
{
    auto *exchange = this->findExchange(effect.request);
    if (!exchange) {
        return;
    }
    std::erase_if(exchange->pendingAttempts, [&effect](const auto &order) {
        return order.attempt == effect.attempt;
    });
    for (const auto &attempt : exchange->attempts) {
        if (attempt->id() == effect.attempt) {
            attempt->cancel();
            this->recordAttemptResult(effect.request, effect.attempt, Health::Cause::Cancelled);
        }
    }
    this->removeAttempt(*exchange, effect.attempt);
}

void Host::carryOut(const Core::ForwardAnswer &effect)
{
    auto *exchange = this->findExchange(effect.request);
    if (!exchange) {
        return;
    }
    const auto found
        = std::find_if(exchange->attempts.begin(), exchange->attempts.end(), [&effect](const auto &attempt) {
              return attempt->id() == effect.attempt;
          });
    if (found == exchange->attempts.end()) {
        return;
    }
    if ((*found)->completed()) {
        this->decide(*exchange, ForwardBuffered{.attempt = *found});
    } else {
        (*found)->startForwarding();
    }
}

void Host::carryOut(const Core::RespondLocally &effect)
{
    if (effect.seen.share && effect.outcome == Core::Outcome::NotRun) {
        this->proxyMetrics.recordShare(effect.seen.service, *effect.seen.share);
    }
    if (auto *exchange = this->findExchange(effect.request)) {
        if (effect.refusal == Core::RejectionReason::UnknownKey) {
            this->proxyMetrics.countKey(exchange->hasKey ? KeyResult::Unknown : KeyResult::Missing);
        } else if (effect.refusal == Core::RejectionReason::ConfigurationOutdated) {
            this->proxyMetrics.countKey(KeyResult::ConfigurationOutdated);
        }
        // Once the head of an answer was forwarded, the failure can be signalled only by a reset.
        this->decide(*exchange, exchange->headForwarded ? Decision(ResetCaller{}) : Decision(effect));
    }
}

void Host::carryOut(const Core::AbortCaller &effect)
{
    if (auto *exchange = this->findExchange(effect.request)) {
        // An answer that still waited for its turn on the connection has not been forwarded.
        this->decide(*exchange,
                     exchange->headForwarded
                         ? Decision(ResetCaller{})
                         : Decision(Core::RespondLocally{.request = effect.request,
                                                         .status = GatewayTimeoutStatus,
                                                         .outcome = Core::Outcome::Unknown,
                                                         .refusal = Core::RejectionReason::AllAttemptsFailed}));
    }
}

void Host::carryOut(const Core::ReportEvidence &effect)
{
    if (this->handlers.evidence) {
        this->handlers.evidence(effect);
    } else {
        this->evidencePool.add(effect);
    }
}

void Host::carryOut(const Core::ReportLoad &effect)
{
    if (this->handlers.load) {
        this->handlers.load(effect);
    }
}

void Host::carryOut(const Core::ReportReserveUse &effect)
{
    if (this->handlers.reserveUsed) {
        this->handlers.reserveUsed(effect);
    }
}

void Host::carryOut(const Core::ReserveAllowance &effect)
{
    if (this->handlers.reserveAllowance) {
        this->handlers.reserveAllowance(effect);
        return;
    }
    this->apply(Core::AllowanceDecided{.at = monotonicNow(),
                                       .request = effect.request,
                                       .decision = Core::AllowanceDecided::Decision::Granted,
                                       .retryAfter = Duration(0)});
}

void Host::carryOut(const Core::ReturnAllowance &effect)
{
    if (this->handlers.returnAllowance) {
        this->handlers.returnAllowance(effect);
    }
}

void Host::carryOut(const Core::ReportStateChange &effect)
{
    if (this->handlers.stateChanged) {
        this->handlers.stateChanged(effect.change);
    }
}

void Host::carryOut(const Core::WithdrawUnsentAttempts &effect)
{
    // Attempts that wait for a connection ask again whether they may send.
    if (auto *exchange = this->findExchange(effect.request)) {
        this->failPendingAttempts(*exchange);
    }
}

void Host::carryOut(const Core::StopAccepting & /*effect*/)
{
    this->acceptStopped = true;
    if (this->keyHost) {
        this->keyHost->requestStop();
    }
    // Requests that were already read are started first, because their handlers are queued before this one.
    asio::post(this->executor(), [self = this->shared_from_this()] {
        self->closeIdleCallers();
    });
}

void Host::closeIdleCallers()
{
    const std::vector<CallerConnection *> open(this->connections.begin(), this->connections.end());
    for (auto *connection : open) {
        connection->closeIfIdle();
    }
    this->acceptBacklog();
    ErrorCode ignored;
    this->acceptor.close(ignored);
}

void Host::carryOut(const Core::Terminate &effect)
{
    this->cleanTermination = effect.clean;
    // All answers may be decided long before the limit, and a caller that reads slowly has until then.
    const auto now = monotonicNow();
    const auto limit = effect.clean ? std::max(now, this->shutdownLimitAt.value_or(now)) : now;
    this->finalAnswersTimer.set(limit + FinalAnswersTime);
}

void Host::terminateWhenDone()
{
    // The reducer finishes when all answers are decided; they still have to be written.
    const bool answersWritten = this->exchanges.empty() || this->finalAnswersOverdue;
    const bool keyHandlingDone = !this->keyHost || this->keyHost->stopCompleted();
    const bool due = this->cleanTermination && answersWritten && (keyHandlingDone || !*this->cleanTermination);
    if (due && this->handlers.terminated && !this->stopped) {
        const auto handler = std::exchange(this->handlers.terminated, nullptr);
        handler(*this->cleanTermination && this->exchanges.empty());
    }
}

} // namespace Verbenadock::Proxy::internal
