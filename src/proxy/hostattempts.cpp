// Member functions of Host that Attempt calls.
#include "attempt.h"
#include "host.h"

#include <algorithm>

namespace Verbenadock::Proxy::internal {

void Host::announcementReceived(const Attempt &attempt, const AnnouncementReading &reading)
{
    this->proxyMetrics.countAnnouncement(reading);
    auto *exchange = this->findExchange(attempt.startParameters().request);
    const auto id = attempt.id();
    if (!exchange) {
        return;
    }
    for (auto &entry : exchange->attemptReports) {
        if (entry.id == id) {
            entry.announcedLeaving = entry.announcedLeaving || reading.announcement.leaving;
            entry.announcedPause = std::max(entry.announcedPause, reading.announcement.pause);
            for (const auto error : reading.errors) {
                entry.announcementErrors.push_back(toString(error));
            }
        }
    }
}

void Host::answerHeadReceived(const Attempt &attempt, unsigned status, bool draining)
{
    const auto &order = attempt.startParameters();
    if (draining) {
        this->drainLog.record(order.endpoint, monotonicNow());
    }
    this->apply(Core::ResponseHeadReceived{.at = monotonicNow(),
                                           .request = order.request,
                                           .attempt = order.attempt,
                                           .status = status,
                                           .draining = draining});
}

void Host::attemptCompleted(const Attempt &attempt, unsigned status, bool notRun, bool draining)
{
    const auto request = attempt.startParameters().request;
    const auto id = attempt.id();
    if (draining) {
        this->drainLog.record(attempt.startParameters().endpoint, monotonicNow());
    }
    const bool misdirected = status == MisdirectedStatus;
    const auto cause
        = notRun ? Health::Cause::Shed : (status >= 500 ? Health::Cause::ServerError : Health::Cause::Success);
    this->recordAttemptResult(request, id, cause);
    auto *exchange = this->findExchange(request);
    const bool streamed = exchange && exchange->headForwarded;
    this->apply(Core::AttemptCompleted{.at = monotonicNow(),
                                       .request = request,
                                       .attempt = id,
                                       .status = status,
                                       .notRun = notRun,
                                       .draining = draining,
                                       .misdirected = misdirected});
    exchange = this->findExchange(request);
    if (exchange) {
        if (streamed) {
            this->decide(*exchange, AnswerStreamed{});
        }
        this->removeAttempt(*exchange, id);
    }
}

void Host::attemptFailed(const Attempt &attempt, Health::Cause cause, bool nothingWritten)
{
    const auto request = attempt.startParameters().request;
    const auto id = attempt.id();
    this->recordAttemptResult(request, id, cause);
    this->apply(Core::AttemptFailed{
        .at = monotonicNow(), .request = request, .attempt = id, .cause = cause, .nothingWritten = nothingWritten});
    if (auto *exchange = this->findExchange(request)) {
        this->removeAttempt(*exchange, id);
    }
}

void Host::recordAttemptResult(RequestId request, AttemptId attempt, Health::Cause cause)
{
    this->proxyMetrics.countAttempt(cause);
    auto *exchange = this->findExchange(request);
    if (!exchange) {
        return;
    }
    for (auto &entry : exchange->attemptReports) {
        if (entry.id == attempt) {
            entry.result = cause;
            entry.duration = monotonicNow() - exchange->arrivedAt - entry.startDelay;
        }
    }
}

std::string Host::attemptIdText(AttemptId id) const
{
    return this->options.instance + "-" + std::to_string(id);
}

void Host::removeAttempt(Exchange &exchange, AttemptId id)
{
    std::erase_if(exchange.attempts, [id](const auto &attempt) {
        return attempt->id() == id;
    });
    if (exchange.ended && exchange.attempts.empty()) {
        this->removeExchange(exchange);
    }
}

} // namespace Verbenadock::Proxy::internal
