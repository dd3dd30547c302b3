#ifndef VERBENADOCK_PROXY_HOST_H
#define VERBENADOCK_PROXY_HOST_H

#include "callerconnection.h"
#include "drainlog.h"
#include "evidencepool.h"
#include "exchange.h"
#include "io.h"
#include "keyhost.h"
#include "proxymetrics.h"
#include "timerwheel.h"
#include "upstreampool.h"
#include "verbenadock/core/reducer.h"
#include "verbenadock/proxy/entryserver.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace Verbenadock::Proxy::internal {

class Attempt;

Core::RequestArrived arrivalOf(const Exchange &exchange, const std::string &peerAddress, const Dialect &dialect);

/// Connects the reducer with the sockets: events go in, effects are carried out in order.
class Host : public std::enable_shared_from_this<Host>
{
public:
    Host(asio::io_context &loop, EntryOptions given, Telemetry::MetricsRegistry &registry, EntryHandlers toProcess);

    /// Binds the port and throws ProxyError when it cannot.
    void start();

    /// Closes all sockets; nothing is reported any more.
    void stop();

    /// An event that arises while effects are carried out is applied after them.
    void apply(Core::Event event);

    // Called by connections of callers.
    void connectionOpened(CallerConnection &connection);
    void connectionClosed(CallerConnection &connection);
    void begin(const std::shared_ptr<Exchange> &exchange);
    void end(Exchange &exchange);
    void startPending(Exchange &exchange);
    void callerGone(Exchange &exchange);
    void bodyFailed(Exchange &exchange, BodyState state);
    void recordLatency(const Exchange &exchange, const Attempt &attempt);

    // Called by attempts.
    void answerBegins(const Attempt &attempt, unsigned status, bool draining);
    void attemptCompleted(const Attempt &attempt, unsigned status, bool notRun, bool draining);
    void attemptFailed(const Attempt &attempt, Health::Cause cause, bool nothingWritten);
    /// Counts the end of an attempt and keeps it for the log.
    void noteResult(RequestId request, AttemptId attempt, Health::Cause cause);
    std::string attemptIdText(AttemptId id) const;

    // Called by the host of the idempotency keys.
    void runCaptured(const KeyedWork &work, std::function<void(CapturedAnswer)> done);
    void answerKeyed(RequestId id, KeyAnswer answer);
    RequestId takeRequestId();
    void keysStopped();

    /// Null when idempotency keys are not handled.
    KeyHost *keys();

    const Settings::EntryLimits &limits() const;
    /// Limits of requests that begin from now on.
    void setLimits(const Settings::EntryLimits &changed);
    const Dialect &dialect() const;
    ProxyMetrics &metrics();
    TimerWheel &timers();
    UpstreamPool &pool();
    EvidencePool &evidence();
    DrainLog &drains();
    Executor executor() const;
    const Core::Reducer &core() const;
    Endpoint localEndpoint() const;

    /// A shutdown was requested, so connections end after their present answer.
    bool stopping() const;
    /// New connections are refused and idle ones closed.
    bool stopsAccepting() const;

private:
    Task<void> acceptConnections();
    void takeConnection(Socket socket);
    void acceptBacklog();
    void closeIdleCallers();
    void refuseConnection(Socket &socket);

    void carryOut(const Core::Effect &effect);
    void carryOut(const Core::StartAttempt &effect);
    void carryOut(const Core::CancelAttempt &effect);
    void carryOut(const Core::ForwardAnswer &effect);
    void carryOut(const Core::RespondLocally &effect);
    void carryOut(const Core::AbortCaller &effect);
    void carryOut(const Core::ReportEvidence &effect);
    void carryOut(const Core::ReportLoad &effect);
    void carryOut(const Core::ReportReserveUse &effect);
    void carryOut(const Core::ReportStateChange &effect);
    void carryOut(const Core::StopAccepting &effect);
    void carryOut(const Core::Terminate &effect);

    // hostkeys.cpp
    bool beginKeyed(Exchange &exchange);
    void submitKeyed(Exchange &exchange);
    void finishCapture(RequestId id);

    Exchange *find(RequestId id) const;
    void spawn(const std::shared_ptr<Exchange> &exchange, const Core::StartAttempt &order);
    void giveUp(Exchange &exchange);
    void report(const Exchange &exchange) const;
    void release(Exchange &exchange);
    void decide(Exchange &exchange, Decision decision);
    void forget(Exchange &exchange, AttemptId id);
    void terminateWhenDone();
    void scheduleDeadline();
    void waitForDeadline(TimePoint at);

    asio::io_context &context;
    EntryOptions options;
    EntryHandlers handlers;
    Core::Reducer reducer;
    ProxyMetrics proxyMetrics;
    TimerWheel wheel;
    UpstreamPool upstreams;
    EvidencePool evidencePool;
    DrainLog drainLog;
    Acceptor acceptor;
    Timer sweepTimer;
    Timer acceptPause;
    Signal acceptResumed;
    asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>, Executor>
        deadlineTimer;
    std::optional<TimePoint> armedDeadline;
    std::unordered_map<RequestId, std::shared_ptr<Exchange>> exchanges;
    std::unordered_set<CallerConnection *> connections;
    std::deque<Core::Event> events;
    std::shared_ptr<KeyHost> keyHost;
    std::optional<bool> termination;
    RequestId lastRequest = 0;
    bool applying = false;
    bool shutdownRequested = false;
    bool acceptStopped = false;
    bool stopped = false;
};

} // namespace Verbenadock::Proxy::internal

#endif
