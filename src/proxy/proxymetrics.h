#ifndef VERBENADOCK_PROXY_PROXYMETRICS_H
#define VERBENADOCK_PROXY_PROXYMETRICS_H

#include "announcement.h"
#include "heldbytes.h"
#include "keyanswer.h"
#include "requestcheck.h"
#include "verbenadock/core/effect.h"
#include "verbenadock/health/sample.h"
#include "verbenadock/telemetry/metrics.h"

#include <array>

namespace Verbenadock::Proxy::internal {

/// The reason for closing an upstream connection.
enum class CloseReason {
    /// The pool already holds enough idle connections.
    Surplus,
    /// The upstream closed the idle connection or sent bytes on it.
    IdleReadable,
    /// The connection was idle for too long.
    Expired,
    /// No answer arrived since another connection stopped responding, so this one may be dead as well.
    Unproven,
    /// The request or the answer was not finished, or the upstream asked to close the connection.
    NotReusable,
};

/// What became of a request by its customer's key.
enum class KeyResult {
    Accepted,
    /// No customer holds the key, or holds it any more.
    Unknown,
    /// The request has no well-formed key.
    Missing,
    /// The configuration may be older than the newest one.
    ConfigurationOutdated,
};

/// The metrics of the proxy. Most series are looked up once, so that counting is a plain addition.
class ProxyMetrics
{
public:
    explicit ProxyMetrics(Telemetry::MetricsRegistry &metrics);

    void countAnswered();
    void countLocalAnswer(Core::Outcome outcome, Core::RejectionReason refusal);
    void countKeyAnswer(const KeyAnswer &answer);
    void countBadRequest(BadRequest reason);
    void countAttempt(Health::Cause cause);
    void countChoice(const Core::UpstreamView &seen);
    void countClosed(CloseReason reason);
    void countKey(KeyResult result);
    void showHeldBytes(const HeldBytes &held);
    void countAnnouncement(const AnnouncementReading &reading);
    /// Records the share of a request of a service with fair sharing.
    void recordShare(const std::string &service, const Core::ShareView &share);

    Telemetry::Counter &aborted;
    Telemetry::Counter &callerDisconnected;
    Telemetry::Counter &notRead;
    Telemetry::Counter &pipelinedRequests;
    Telemetry::Counter &refusedForMemory;
    Telemetry::Counter &callerConnections;
    Telemetry::Counter &callerConnectionsRefused;
    Telemetry::Gauge &openCallerConnections;
    Telemetry::Counter &upstreamConnectionsOpened;
    Telemetry::Counter &upstreamConnectionsReused;
    Telemetry::Histogram &totalLatency;
    Telemetry::Histogram &addedLatency;

private:
    static constexpr std::size_t RefusalCount = static_cast<std::size_t>(Core::RejectionReason::OverFairShare) + 1;
    static constexpr std::size_t OutcomeCount = static_cast<std::size_t>(Core::Outcome::Unknown) + 1;
    static constexpr std::size_t CauseCount = static_cast<std::size_t>(Health::Cause::Cancelled) + 1;
    static constexpr std::size_t KeyResultCount = static_cast<std::size_t>(KeyResult::ConfigurationOutdated) + 1;
    static constexpr std::size_t CloseReasonCount = static_cast<std::size_t>(CloseReason::NotReusable) + 1;

    Telemetry::MetricsRegistry &registry;
    Telemetry::Histogram &queueWait;
    Telemetry::Counter &answered;
    Telemetry::Counter &replayed;
    Telemetry::Counter &remoteChoices;
    Telemetry::Histogram &relativeLoad;
    std::array<Telemetry::Gauge *, HeldKindCount> heldBytes{};
    Telemetry::Gauge &heldBytesLimit;
    Telemetry::Counter &leavingAnnouncements;
    Telemetry::Counter &pauseAnnouncements;
    std::array<Telemetry::Counter *, AnnouncementErrorCount> announcementErrors{};
    std::array<std::array<Telemetry::Counter *, RefusalCount>, OutcomeCount> localAnswers{};
    std::array<Telemetry::Counter *, BadRequestCount> badRequests{};
    std::array<Telemetry::Counter *, CauseCount> attempts{};
    std::array<Telemetry::Counter *, CloseReasonCount> closedConnections{};
    std::array<Telemetry::Counter *, KeyResultCount> keyResults{};
};

} // namespace Verbenadock::Proxy::internal

#endif
