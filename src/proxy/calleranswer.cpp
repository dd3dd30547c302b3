// CallerConnection: writing answers.
#include "attempt.h"
#include "callerconnection.h"
#include "headwriter.h"
#include "host.h"

namespace Verbenadock::Proxy::internal {

namespace {

constexpr Duration MaxLingerTime = std::chrono::seconds(2);
constexpr unsigned GatewayTimeoutStatus = 504;
constexpr Duration MemoryRetryDelay = std::chrono::seconds(1);

} // namespace

unsigned statusOf(const RejectBody &rejection)
{
    const auto status = statusOf(rejection.reason);
    return rejection.mayHaveRun && impliesNotRun(status) ? GatewayTimeoutStatus : status;
}

Task<CallerConnection::NextStep> CallerConnection::writeDecision(Exchange &current)
{
    if (const auto *buffered = std::get_if<ForwardBuffered>(&*current.decision)) {
        co_return co_await this->writeHeldAnswer(current, buffered->attempt);
    }
    if (const auto *local = std::get_if<Core::RespondLocally>(&*current.decision)) {
        co_return co_await this->writeLocalAnswer(current, *local);
    }
    if (const auto *rejection = std::get_if<RejectBody>(&*current.decision)) {
        co_return co_await this->writeBodyRejection(current, *rejection);
    }
    if (const auto *answer = std::get_if<KeyAnswer>(&*current.decision)) {
        co_return co_await this->writeKeyAnswer(current, *answer);
    }
    if (std::holds_alternative<RefuseForMemory>(*current.decision)) {
        co_return co_await this->writeMemoryRefusal(current);
    }
    if (std::holds_alternative<AnswerStreamed>(*current.decision)) {
        this->host->metrics().countAnswered();
        co_return this->nextStepAfterAnswer(true);
    }
    if (std::holds_alternative<ResetCaller>(*current.decision)) {
        this->host->metrics().aborted.add();
        this->reset();
        co_return NextStep::Close;
    }
    this->host->metrics().callerDisconnected.add();
    this->reset();
    co_return NextStep::Close;
}

Task<CallerConnection::NextStep> CallerConnection::writeHeldAnswer(Exchange &current, std::shared_ptr<Attempt> attempt)
{
    std::string text;
    const bool close = this->decideClose(current);
    attempt->takeBufferedAnswer(text, close);
    HeldCharge charge(this->host->heldBytes(), HeldKind::Callers);
    charge.set(text.size());
    const bool written = co_await this->write(text);
    if (written) {
        this->host->metrics().countAnswered();
        this->host->recordLatency(current, *attempt);
    } else {
        this->host->metrics().callerDisconnected.add();
    }
    co_return this->nextStepAfterAnswer(written);
}

Task<CallerConnection::NextStep> CallerConnection::writeLocalAnswer(Exchange &current,
                                                                    const Core::RespondLocally &answer)
{
    this->host->metrics().countLocalAnswer(answer.outcome, answer.refusal);
    const bool close = this->decideClose(current);
    const auto text = localAnswerText(LocalAnswer{.status = answer.status,
                                                  .outcome = answer.outcome,
                                                  .reason = Core::toString(answer.refusal),
                                                  .retryAfter = answer.retryAfter,
                                                  .fractionalRetryAfter = this->host->dialect().fractionalRetryAfter,
                                                  .close = close,
                                                  .headMethod = current.request.headMethod});
    const bool written = co_await this->write(text);
    co_return this->nextStepAfterAnswer(written);
}

Task<CallerConnection::NextStep> CallerConnection::writeKeyAnswer(Exchange &current, const KeyAnswer &answer)
{
    this->host->metrics().countKeyAnswer(answer);
    const bool close = this->decideClose(current);
    const auto text = keyAnswerText(answer, close, current.request.headMethod);
    const bool written = co_await this->write(text);
    co_return this->nextStepAfterAnswer(written);
}

Task<CallerConnection::NextStep> CallerConnection::writeBodyRejection(Exchange &current, const RejectBody &rejection)
{
    this->host->metrics().countBadRequest(rejection.reason);
    this->pipeline.close();
    const auto text
        = localAnswerText(LocalAnswer{.status = statusOf(rejection),
                                      .outcome = rejection.mayHaveRun ? Core::Outcome::Unknown : Core::Outcome::NotRun,
                                      .reason = toString(rejection.reason),
                                      .close = true,
                                      .headMethod = current.request.headMethod});
    const bool written = co_await this->write(text);
    co_return written ? NextStep::Linger : NextStep::Close;
}

Task<CallerConnection::NextStep> CallerConnection::writeMemoryRefusal(Exchange &current)
{
    this->host->metrics().refusedForMemory.add();
    const bool close = this->decideClose(current);
    const auto text = localAnswerText(LocalAnswer{.status = MemoryLimitStatus,
                                                  .outcome = Core::Outcome::NotRun,
                                                  .reason = MemoryLimitReason,
                                                  .retryAfter = MemoryRetryDelay,
                                                  .fractionalRetryAfter = this->host->dialect().fractionalRetryAfter,
                                                  .close = close,
                                                  .headMethod = current.request.headMethod});
    const bool written = co_await this->write(text);
    co_return this->nextStepAfterAnswer(written);
}

CallerConnection::NextStep CallerConnection::nextStepAfterAnswer(bool written)
{
    if (!written) {
        return NextStep::Close;
    }
    // The answer said whether the connection stays open. A stop that began since then does not change that, so that a
    // request that was already read behind it is answered too.
    if (this->inputEnded) {
        this->pipeline.close();
    }
    return this->pipeline.closed() ? NextStep::Linger : NextStep::Request;
}

Task<void> CallerConnection::linger()
{
    // Closing a socket with unread input resets the connection, and the reset can make the caller lose the answer.
    // Further input is therefore read and dropped until the caller closes its side, for a limited time.
    ErrorCode ignored;
    this->socket.shutdown(asio::socket_base::shutdown_send, ignored);
    const auto end = monotonicNow() + MaxLingerTime;
    while (monotonicNow() < end && !this->inputEnded) {
        if (!this->bufferInUse) {
            this->buffer.clear();
        }
        if (!(co_await this->waitForInput({.since = monotonicNow(), .end = end}))) {
            co_return;
        }
    }
}

} // namespace Verbenadock::Proxy::internal
