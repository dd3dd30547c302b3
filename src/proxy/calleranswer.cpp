// The part of CallerConnection that writes answers.
#include "attempt.h"
#include "callerconnection.h"
#include "headwriter.h"
#include "host.h"

namespace Verbenadock::Proxy::internal {

namespace {

constexpr Duration LingerLimit = std::chrono::seconds(2);

} // namespace

Task<CallerConnection::NextStep> CallerConnection::writeDecision(Exchange &current)
{
    if (const auto *held = std::get_if<ForwardHeld>(&*current.decision)) {
        co_return co_await this->writeHeldAnswer(current, held->attempt);
    }
    if (const auto *local = std::get_if<Core::RespondLocally>(&*current.decision)) {
        co_return co_await this->writeLocalAnswer(current, *local);
    }
    if (const auto *refusal = std::get_if<RefuseBody>(&*current.decision)) {
        co_return co_await this->writeBodyRejection(current, *refusal);
    }
    if (const auto *answer = std::get_if<KeyAnswer>(&*current.decision)) {
        co_return co_await this->writeKeyAnswer(current, *answer);
    }
    if (std::holds_alternative<Streamed>(*current.decision)) {
        this->host->metrics().countAnswered();
        co_return this->nextStepAfterAnswer(true);
    }
    if (std::holds_alternative<Abort>(*current.decision)) {
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
    const bool close = this->closesAfterAnswer();
    attempt->appendHeldAnswer(text, close);
    const bool written = co_await this->write(text);
    if (written) {
        this->host->metrics().countAnswered();
        this->host->recordLatency(current, *attempt);
    } else {
        this->host->metrics().callerDisconnected.add();
    }
    co_return close ? (written ? NextStep::Linger : NextStep::Close) : this->nextStepAfterAnswer(written);
}

Task<CallerConnection::NextStep> CallerConnection::writeLocalAnswer(Exchange &current,
                                                                    const Core::RespondLocally &answer)
{
    this->host->metrics().countLocalAnswer(answer.outcome, answer.refusal);
    const bool close = this->closesAfterAnswer();
    const auto text = localAnswerText(LocalAnswer{.status = answer.status,
                                                  .outcome = answer.outcome,
                                                  .reason = Core::toString(answer.refusal),
                                                  .retryAfter = answer.retryAfter,
                                                  .fractionalRetryAfter = this->host->dialect().fractionalRetryAfter,
                                                  .close = close,
                                                  .headMethod = current.request.headMethod});
    const bool written = co_await this->write(text);
    co_return close ? (written ? NextStep::Linger : NextStep::Close) : this->nextStepAfterAnswer(written);
}

Task<CallerConnection::NextStep> CallerConnection::writeKeyAnswer(Exchange &current, const KeyAnswer &answer)
{
    this->host->metrics().countKeyAnswer(answer);
    const bool close = this->closesAfterAnswer();
    const auto text = keyAnswerText(answer, close, current.request.headMethod);
    const bool written = co_await this->write(text);
    co_return close ? (written ? NextStep::Linger : NextStep::Close) : this->nextStepAfterAnswer(written);
}

Task<CallerConnection::NextStep> CallerConnection::writeBodyRejection(Exchange &current, const RefuseBody &refusal)
{
    this->host->metrics().countBadRequest(refusal.reason);
    const auto text
        = localAnswerText(LocalAnswer{.status = statusOf(refusal.reason),
                                      .outcome = refusal.mayHaveRun ? Core::Outcome::Unknown : Core::Outcome::NotRun,
                                      .reason = toString(refusal.reason),
                                      .close = true,
                                      .headMethod = current.request.headMethod});
    const bool written = co_await this->write(text);
    co_return written ? NextStep::Linger : NextStep::Close;
}

CallerConnection::NextStep CallerConnection::nextStepAfterAnswer(bool written) const
{
    if (!written) {
        return NextStep::Close;
    }
    return this->closesAfterAnswer() ? NextStep::Linger : NextStep::Request;
}

Task<void> CallerConnection::linger()
{
    // Closing a socket with unread input resets the connection, and the reset can overtake the answer. So the rest of
    // the input is dropped until the caller closes its side, for a limited time.
    ErrorCode ignored;
    this->socket.shutdown(asio::socket_base::shutdown_send, ignored);
    const auto end = monotonicNow() + LingerLimit;
    for (auto now = monotonicNow(); now < end && !this->inputEnded; now = monotonicNow()) {
        if (!this->reading) {
            this->buffer.clear();
        }
        if (!(co_await this->waitForInput(end - now))) {
            co_return;
        }
    }
}

} // namespace Verbenadock::Proxy::internal
