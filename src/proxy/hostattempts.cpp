// Member functions of Host that Attempt calls.
#include "attempt.h"
#include "host.h"

#include <algorithm>

namespace Verbenadock::Proxy::internal {

namespace {

void addToReport(Exchange &exchange, AttemptId attempt, const AnnouncementReading &reading)
{
    for (auto &entry : exchange.attemptReports) {
        if (entry.id == attempt) {
            entry.announcedLeaving = entry.announcedLeaving || reading.announcement.leaving;
            entry.announcedPause = std::max(entry.announcedPause, reading.announcement.pause);
            for (const auto error : reading.errors) {
                entry.announcementErrors.push_back(toString(error));
            }
        }
    }
}

} // namespace

void Host::announcementReceived(const Attempt &attempt, const AnnouncementReading &reading)
{
    this->proxyMetrics.countAnnouncement(reading);
    const auto now = monotonicNow();
    const auto &order = attempt.startParameters();
    if (auto *exchange = this->findExchange(order.request)) {
        addToReport(*exchange, attempt.id(), reading);
    }
    const auto &announcement = reading.announcement;
    if (announcement.leaving) {
        this->drainLog.record(order.endpoint, now);
    }
    if (announcement != Announcement{}) {
        this->apply(Core::UpstreamAnnounced{
            .at = now, .upstream = order.upstream, .leaving = announcement.leaving, .pause = announcement.pause});
    }
}

void Host::answerHeadReceived(const Attempt &attempt, unsigned status)
{
    const auto &order = attempt.startParameters();
    this->apply(Core::ResponseHeadReceived{
        .at = monotonicNow(), .request = order.request, .attempt = order.attempt, .status = status});
}

void Host::attemptCompleted(const Attempt &attempt, unsigned status, bool notRun)
{
    const auto request = attempt.startParameters().request;
    const auto id = attempt.id();
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
