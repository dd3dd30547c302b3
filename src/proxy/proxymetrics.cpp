#include "proxymetrics.h"

#include <algorithm>

#include "exchange.h"

#include <string>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr auto RequestsName = "verbenadock_requests_total";
constexpr auto RequestsHelp = "Requests by outcome and refusal.";
constexpr auto AnnouncementsName = "verbenadock_upstream_announcements_total";
constexpr auto AnnouncementsHelp = "Answers in which an upstream announced its leaving or a pause.";
constexpr auto UpstreamConnectionsName = "verbenadock_upstream_connections_total";
constexpr auto UpstreamConnectionsHelp = "Connections taken for attempts, opened or reused.";

constexpr auto HeldBytesName = "verbenadock_held_bytes";
constexpr auto HeldBytesHelp = "Bytes of answers held for callers and of request bodies held for upstreams.";

std::string_view toString(CloseReason reason)
{
    switch (reason) {
    case CloseReason::Surplus:
        return "surplus";
    case CloseReason::IdleReadable:
        return "idle-readable";
    case CloseReason::Expired:
        return "expired";
    case CloseReason::Unproven:
        return "in-doubt";
    case CloseReason::NotReusable:
        return "not-reusable";
    }
    return "unknown";
}

std::string_view toString(KeyResult result)
{
    switch (result) {
    case KeyResult::Accepted:
        return "accepted";
    case KeyResult::Unknown:
        return "unknown";
    case KeyResult::Missing:
        return "missing";
    case KeyResult::ConfigurationOutdated:
        return "configuration-outdated";
    }
    return "unknown";
}

} // namespace

ProxyMetrics::ProxyMetrics(Telemetry::MetricsRegistry &metrics)
    : aborted(metrics.counter(RequestsName, RequestsHelp, {{"outcome", "aborted"}, {"refusal", ""}}))
    , callerDisconnected(
          metrics.counter(RequestsName, RequestsHelp, {{"outcome", "caller-disconnected"}, {"refusal", ""}}))
    , notRead(metrics.counter(RequestsName, RequestsHelp, {{"outcome", "not-read"}, {"refusal", ""}}))
    , pipelinedRequests(metrics.counter("verbenadock_pipelined_requests_total",
                                        "Requests that were started before an earlier one was answered."))
    , refusedForMemory(metrics.counter(RequestsName,
                                       RequestsHelp,
                                       {{"outcome", "not-run"}, {"refusal", std::string(MemoryLimitReason)}}))
    , callerConnections(metrics.counter("verbenadock_caller_connections_total", "Accepted connections of callers."))
    , callerConnectionsRefused(
          metrics.counter("verbenadock_caller_connections_refused_total", "Connections of callers over the limit."))
    , openCallerConnections(metrics.gauge("verbenadock_caller_connections", "Open connections of callers."))
    , upstreamConnectionsOpened(metrics.counter(UpstreamConnectionsName, UpstreamConnectionsHelp, {{"kind", "opened"}}))
    , upstreamConnectionsReused(metrics.counter(UpstreamConnectionsName, UpstreamConnectionsHelp, {{"kind", "reused"}}))
    , totalLatency(metrics.histogram("verbenadock_request_seconds", "From the caller's request to the written answer."))
    , addedLatency(metrics.histogram("verbenadock_added_seconds",
                                     "Part of the latency that the entry adds, for requests with one attempt."))
    , registry(metrics)
    , queueWait(metrics.histogram("verbenadock_queue_wait_seconds",
                                  "Wait in the entry's queue before the first attempt or the rejection, for services "
                                  "with fair sharing."))
    , answered(metrics.counter(RequestsName, RequestsHelp, {{"outcome", "answered"}, {"refusal", ""}}))
    , replayed(metrics.counter("verbenadock_replayed_answers_total", "Answers to repeated idempotency keys."))
    , remoteChoices(metrics.counter("verbenadock_remote_attempts_total",
                                    "Attempts at upstreams outside the entry's data centre."))
    , relativeLoad(metrics.histogram("verbenadock_relative_upstream_load",
                                     "Known load of the chosen upstream over the mean of its service, not in seconds."))
    , heldBytes{&metrics.gauge(HeldBytesName, HeldBytesHelp, {{"kind", "callers"}}),
                &metrics.gauge(HeldBytesName, HeldBytesHelp, {{"kind", "upstreams"}})}
    , heldBytesLimit(metrics.gauge("verbenadock_held_bytes_limit",
                                   "Bytes that may be held for callers and upstreams; 0 for no limit."))
    , leavingAnnouncements(metrics.counter(AnnouncementsName, AnnouncementsHelp, {{"kind", "leaving"}}))
    , pauseAnnouncements(metrics.counter(AnnouncementsName, AnnouncementsHelp, {{"kind", "pause"}}))
{
    for (std::size_t index = 0; index < AnnouncementErrorCount; ++index) {
        const std::string reason(internal::toString(static_cast<AnnouncementError>(index)));
        this->announcementErrors[index] = &metrics.counter("verbenadock_upstream_announcement_errors_total",
                                                           "Announcements that were not taken as they stand.",
                                                           {{"reason", reason}});
    }
    for (std::size_t index = 0; index < BadRequestCount; ++index) {
        const std::string reason(internal::toString(static_cast<BadRequest>(index)));
        this->badRequests[index] = &metrics.counter(
            "verbenadock_bad_requests_total", "Requests refused before they were routed.", {{"reason", reason}});
    }
    for (std::size_t index = 0; index < CauseCount; ++index) {
        const std::string cause(Health::toString(static_cast<Health::Cause>(index)));
        this->attempts[index]
            = &metrics.counter("verbenadock_attempts_total", "Attempts by how they ended.", {{"cause", cause}});
    }
    for (std::size_t index = 0; index < KeyResultCount; ++index) {
        this->keyResults[index] = &metrics.counter("verbenadock_customer_keys_total",
                                                   "Requests by the result of the check of their customer's key.",
                                                   {{"result", std::string(toString(static_cast<KeyResult>(index)))}});
    }
    for (std::size_t index = 0; index < CloseReasonCount; ++index) {
        const std::string reason(toString(static_cast<CloseReason>(index)));
        this->closedConnections[index] = &metrics.counter(
            "verbenadock_upstream_connections_closed_total", "Closed upstream connections.", {{"reason", reason}});
    }
}

void ProxyMetrics::countAnswered()
{
    this->answered.add();
}

void ProxyMetrics::countLocalAnswer(Core::Outcome outcome, Core::RejectionReason refusal)
{
    // Few combinations of outcome and refusal occur, so each series is created on first use.
    auto *&counter = this->localAnswers[static_cast<std::size_t>(outcome)][static_cast<std::size_t>(refusal)];
    if (!counter) {
        counter = &this->registry.counter(
            RequestsName,
            RequestsHelp,
            {{"outcome", std::string(Core::toString(outcome))}, {"refusal", std::string(Core::toString(refusal))}});
    }
    counter->add();
}

void ProxyMetrics::countKeyAnswer(const KeyAnswer &answer)
{
    using Kind = Control::KeyAnswerKind;
    if (answer.kind == Kind::Answered || answer.kind == Kind::Replayed) {
        this->answered.add();
        this->replayed.add(answer.kind == Kind::Replayed ? 1 : 0);
        return;
    }
    const auto outcome = answer.kind == Kind::NotRun ? Core::Outcome::NotRun : Core::Outcome::Unknown;
    this->registry
        .counter(
            RequestsName, RequestsHelp, {{"outcome", std::string(Core::toString(outcome))}, {"refusal", answer.reason}})
        .add();
}

void ProxyMetrics::countBadRequest(BadRequest reason)
{
    this->badRequests[static_cast<std::size_t>(reason)]->add();
}

void ProxyMetrics::countChoice(const Core::UpstreamView &seen)
{
    if (!seen.near) {
        this->remoteChoices.add();
    }
    if (seen.meanLoadPercent > 0) {
        // The histogram has logarithmic bins, so that an idle upstream counts in a low one.
        const auto load = std::max(1U, seen.loadPercent);
        this->relativeLoad.record(static_cast<double>(load) / seen.meanLoadPercent);
    }
}

void ProxyMetrics::countAttempt(Health::Cause cause)
{
    this->attempts[static_cast<std::size_t>(cause)]->add();
}

void ProxyMetrics::countAnnouncement(const AnnouncementReading &reading)
{
    this->leavingAnnouncements.add(reading.announcement.leaving ? 1 : 0);
    this->pauseAnnouncements.add(reading.announcement.pause > Duration(0) ? 1 : 0);
    for (const auto error : reading.errors) {
        this->announcementErrors[static_cast<std::size_t>(error)]->add();
    }
}

void ProxyMetrics::recordShare(const std::string &service, const Core::ShareView &share)
{
    this->queueWait.record(std::chrono::duration<double>(share.queueWait).count());
    this->registry
        .gauge("verbenadock_customers_above_share",
               "Customers, or routes without customers, that held more than the equal share at the last request.",
               {{"service", service}})
        .set(static_cast<double>(share.aboveShare));
}

void ProxyMetrics::showHeldBytes(const HeldBytes &held)
{
    for (std::size_t index = 0; index < HeldKindCount; ++index) {
        this->heldBytes[index]->set(static_cast<double>(held.held(static_cast<HeldKind>(index))));
    }
    this->heldBytesLimit.set(static_cast<double>(held.limit()));
}

void ProxyMetrics::countClosed(CloseReason reason)
{
    this->closedConnections[static_cast<std::size_t>(reason)]->add();
}

void ProxyMetrics::countKey(KeyResult result)
{
    this->keyResults[static_cast<std::size_t>(result)]->add();
}

} // namespace Verbenadock::Proxy::internal
