#ifndef VERBENADOCK_PROXY_PROXYMETRICS_H
#define VERBENADOCK_PROXY_PROXYMETRICS_H

#include "keyanswer.h"
#include "requestcheck.h"
#include "verbenadock/core/effect.h"
#include "verbenadock/health/sample.h"
#include "verbenadock/telemetry/metrics.h"

#include <array>

namespace Verbenadock::Proxy::internal {

/// Why an upstream connection was closed.
enum class CloseReason {
    /// The pool already holds enough idle connections.
    Surplus,
    /// The upstream closed it or sent bytes while it was idle.
    IdleReadable,
    /// It was idle for too long.
    Expired,
    /// It may have gone silent together with another one.
    InDoubt,
    /// The answer or the request on it was not finished, or the upstream asked for it.
    NotReusable,
};

/// The metrics of the proxy, looked up once so that counting is an addition.
class ProxyMetrics
{
public:
    explicit ProxyMetrics(Telemetry::MetricsRegistry &metrics);

    void countAnswered();
    void countLocal(Core::Outcome outcome, Core::RejectionReason refusal);
    void countKeyAnswer(const KeyAnswer &answer);
    void countBadRequest(BadRequest reason);
    void countAttempt(Health::Cause cause);
    void countClosed(CloseReason reason);

    Telemetry::Counter &aborted;
    Telemetry::Counter &callerDisconnected;
    Telemetry::Counter &callerConnections;
    Telemetry::Counter &callerConnectionsRefused;
    Telemetry::Gauge &openCallerConnections;
    Telemetry::Counter &upstreamConnectionsOpened;
    Telemetry::Counter &upstreamConnectionsReused;
    Telemetry::Histogram &totalLatency;
    Telemetry::Histogram &addedLatency;

private:
    static constexpr std::size_t RefusalCount = static_cast<std::size_t>(Core::RejectionReason::OutcomeUnknown) + 1;
    static constexpr std::size_t OutcomeCount = static_cast<std::size_t>(Core::Outcome::Unknown) + 1;
    static constexpr std::size_t CauseCount = static_cast<std::size_t>(Health::Cause::Cancelled) + 1;
    static constexpr std::size_t CloseReasonCount = static_cast<std::size_t>(CloseReason::NotReusable) + 1;

    Telemetry::MetricsRegistry &registry;
    Telemetry::Counter &answered;
    Telemetry::Counter &replayed;
    std::array<std::array<Telemetry::Counter *, RefusalCount>, OutcomeCount> local{};
    std::array<Telemetry::Counter *, BadRequestCount> badRequests{};
    std::array<Telemetry::Counter *, CauseCount> attempts{};
    std::array<Telemetry::Counter *, CloseReasonCount> closed{};
};

} // namespace Verbenadock::Proxy::internal

#endif
