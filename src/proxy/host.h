#ifndef VERBENADOCK_PROXY_HOST_H
#define VERBENADOCK_PROXY_HOST_H

#include "announcement.h"
#include "callerconnection.h"
#include "drainlog.h"
#include "evidencepool.h"
#include "exchange.h"
#include "heldbytes.h"
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

Core::RequestArrived makeArrivalEvent(const Exchange &exchange, const std::string &peerAddress, const Dialect &dialect);

/// Feeds events from the sockets to the reducer and carries out its effects in order.
class Host : public std::enable_shared_from_this<Host>
{
public:
    Host(asio::io_context &io, EntryOptions initial, Telemetry::MetricsRegistry &registry, EntryHandlers callbacks);

    /// Listens for callers. Throws ProxyError when the port cannot be bound.
    void start();

    /// Closes all sockets; events are not applied any more.
    void stop();

    /// Applies an event to the reducer. Events that are raised while effects are carried out are queued.
    void apply(Core::Event event);

    // Called by CallerConnection.
    void connectionOpened(CallerConnection &connection);
    void connectionClosed(CallerConnection &connection);
    void beginExchange(const std::shared_ptr<Exchange> &exchange);
    void endExchange(Exchange &exchange);
    void startPending(Exchange &exchange);
    void callerGone(Exchange &exchange);
    /// Cancels a request behind an answer that closed the connection, and ends its exchange.
    void dropUnread(Exchange &exchange, bool countsAsNotRead);
    bool isIdempotent(const CheckedRequest &request, std::string_view method) const;
    void bodyFailed(Exchange &exchange, BodyState state);
    /// Rejects a request of which nothing was sent, because its body is long and memory runs short.
    void refuseForMemory(Exchange &exchange);
    void recordLatency(const Exchange &exchange, const Attempt &attempt);

    // Called by Attempt.
    /// The upstream announced something about itself in an answer to the attempt.
    void announcementReceived(const Attempt &attempt, const AnnouncementReading &reading);
    void answerHeadReceived(const Attempt &attempt, unsigned status);
    void attemptCompleted(const Attempt &attempt, unsigned status, bool notRun);
    void attemptFailed(const Attempt &attempt, Health::Cause cause, bool nothingWritten);
    /// Counts the result of an attempt and records it for the log line of the request.
    void recordAttemptResult(RequestId request, AttemptId attempt, Health::Cause cause);
    std::string attemptIdText(AttemptId id) const;
    /// Whether the upstream of the attempt may still get the request.
    bool maySend(const Core::StartAttempt &order) const;

    // Called by KeyHost.
    void runCaptured(const KeyedWork &work, std::function<void(CapturedAnswer)> done);
    void answerKeyedRequest(RequestId id, KeyAnswer answer);
    RequestId nextRequestId();
    void keyHandlingStopped();

    /// Null when the handling of idempotency keys is disabled.
    KeyHost *keys();

    const Settings::EntryLimits &limits() const;
    /// Sets the limits of requests that begin from now on.
    void setLimits(const Settings::EntryLimits &changed);
    const Dialect &dialect() const;
    ProxyMetrics &metrics();
    TimerWheel &timers();
    const std::shared_ptr<HeldBytes> &heldBytes() const;
    UpstreamPool &pool();
    EvidencePool &evidence();
    DrainLog &drains();
    Executor executor() const;
    const Core::Reducer &core() const;
    Endpoint localEndpoint() const;

    /// Whether a shutdown was requested; connections then end after their current answer.
    bool stopping() const;
    /// Whether the shutdown has reached the point where new connections are refused and idle connections closed.
    bool stopsAccepting() const;

private:
    Task<void> acceptConnections();
    /// Waits until the first configuration is in force, or until the configured time after the start has passed.
    Task<void> waitForConfiguration();
    void startConnection(Socket socket);
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
    void carryOut(const Core::ReserveAllowance &effect);
    void carryOut(const Core::ReturnAllowance &effect);
    void carryOut(const Core::ReportStateChange &effect);
    void carryOut(const Core::WithdrawUnsentAttempts &effect);
    void carryOut(const Core::StopAccepting &effect);
    void carryOut(const Core::Terminate &effect);

    // Defined in hostkeys.cpp.
    bool beginKeyedRequest(Exchange &exchange);
    void submitKeyedRequest(Exchange &exchange);
    void finishCapture(RequestId id);

    Exchange *findExchange(RequestId id) const;
    void startAttempt(const std::shared_ptr<Exchange> &exchange, const Core::StartAttempt &order);
    void abandonRequest(Exchange &exchange);
    /// Reports the attempts that wait for the body as failed with nothing written.
    void failPendingAttempts(Exchange &exchange);
    void reportRequestEnd(const Exchange &exchange) const;
    void removeExchange(Exchange &exchange);
    void decide(Exchange &exchange, Decision decision);
    void removeAttempt(Exchange &exchange, AttemptId id);
    void terminateWhenDone();
    void scheduleDeadline();
    void waitForDeadline(TimePoint at);

    asio::io_context &context;
    EntryOptions options;
    EntryHandlers handlers;
    Core::Reducer reducer;
    ProxyMetrics proxyMetrics;
    TimerWheel timerWheel;
    UpstreamPool upstreamPool;
    EvidencePool evidencePool;
    std::shared_ptr<HeldBytes> held = std::make_shared<HeldBytes>();
    DrainLog drainLog;
    Acceptor acceptor;
    Timer sweepTimer;
    Timer acceptRetryTimer;
    Timer configurationTimer;
    Timer finalAnswersTimer;
    Signal acceptRetrySignal;
    Signal configurationSignal;
    bool configurationOverdue = false;
    asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>, Executor>
        deadlineTimer;
    std::optional<TimePoint> armedDeadline;
    std::unordered_map<RequestId, std::shared_ptr<Exchange>> exchanges;
    std::unordered_set<CallerConnection *> connections;
    std::deque<Core::Event> pendingEvents;
    std::shared_ptr<KeyHost> keyHost;
    std::optional<bool> cleanTermination;
    /// Limit of the shutdown that was requested.
    std::optional<TimePoint> shutdownLimitAt;
    RequestId lastRequest = 0;
    bool applying = false;
    bool finalAnswersOverdue = false;
    bool acceptStopped = false;
    bool stopped = false;
};

} // namespace Verbenadock::Proxy::internal

#endif
