// Member functions of Host that feed events to the reducer.
#include "host.h"

#include "attempt.h"
#include "credentials.h"

#include <algorithm>
#include <charconv>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr Duration SweepInterval = std::chrono::seconds(1);
constexpr std::size_t MaxRequestIdBytes = 128;
// A longer deadline exceeds the timeout of any service and is ignored.
constexpr auto MaxCallerDeadline = std::chrono::hours(1);

/// The caller's request id if it is usable, to correlate the logs of both sides; otherwise a generated one, if allowed.
std::string requestIdText(const Exchange &exchange, const EntryOptions &options)
{
    const auto value = singleField(exchange.parser->fields, options.dialect.requestId);
    if (value && !value->empty() && value->size() <= MaxRequestIdBytes) {
        return std::string(*value);
    }
    if (!options.dialect.assignsRequestIds) {
        return {};
    }
    return options.instance + "-r" + std::to_string(exchange.id);
}

/// The caller's deadline; nothing when the field is missing or is not a valid number of milliseconds.
std::optional<Duration> parseCallerDeadline(const Exchange &exchange, const Dialect &dialect)
{
    const auto value = singleField(exchange.parser->fields, dialect.callerDeadline);
    std::int64_t milliseconds = 0;
    if (!value) {
        return std::nullopt;
    }
    const auto *end = value->data() + value->size();
    const auto [rest, error] = std::from_chars(value->data(), end, milliseconds);
    const bool valid = error == std::errc() && rest == end && milliseconds >= 0
                       && milliseconds <= std::chrono::milliseconds(MaxCallerDeadline).count();
    return valid ? std::optional<Duration>(std::chrono::milliseconds(milliseconds)) : std::nullopt;
}

/// Sets the outcome of the report from the decision about the request.
struct ReportOutcome
{
    RequestReport &report;

    void operator()(const ForwardBuffered &held) const
    {
        this->report.outcome = "answered";
        this->report.status = held.attempt->answerStatus();
    }

    void operator()(const AnswerStreamed & /*streamed*/) const
    {
        this->report.outcome = "answered";
        this->report.reason = "streamed";
    }

    void operator()(const Core::RespondLocally &local) const
    {
        this->report.outcome = Core::toString(local.outcome);
        this->report.reason = Core::toString(local.refusal);
        this->report.status = local.status;
        this->report.refusal = local.seen;
        if (this->report.service.empty()) {
            this->report.service = local.seen.service;
        }
        if (this->report.customer.empty()) {
            this->report.customer = local.seen.customer;
        }
    }

    void operator()(const ResetCaller & /*abort*/) const
    {
        this->report.outcome = "aborted";
    }

    void operator()(const RejectBody &refusal) const
    {
        this->report.outcome = "bad-request";
        this->report.reason = toString(refusal.reason);
        this->report.status = statusOf(refusal);
    }

    void operator()(const CallerGone &gone) const
    {
        this->report.outcome = gone.countsAsNotRead ? "not-read" : "caller-gone";
    }

    void operator()(const RefuseForMemory & /*refusal*/) const
    {
        this->report.outcome = Core::toString(Core::Outcome::NotRun);
        this->report.reason = MemoryLimitReason;
        this->report.status = MemoryLimitStatus;
    }

    void operator()(const KeyAnswer &answer) const
    {
        this->report.outcome = "answered-by-key";
        this->report.status = answer.answer.status;
    }
};

BadRequest badRequestFor(BodyState state)
{
    switch (state) {
    case BodyState::TooLarge:
        return BadRequest::BodyTooLarge;
    case BodyState::TimedOut:
        return BadRequest::BodyTimeout;
    case BodyState::Progress:
    case BodyState::Malformed:
    case BodyState::Stopped:
        break;
    }
    return BadRequest::BadBody;
}

} // namespace

Core::RequestArrived makeArrivalEvent(const Exchange &exchange, const std::string &peerAddress, const Dialect &dialect)
{
    const auto &request = exchange.request;
    Core::RequestArrived event{.at = exchange.arrivedAt,
                               .request = exchange.id,
                               .host = request.host,
                               .method = std::string(exchange.parser->methodText),
                               .target = std::string(request.target),
                               .caller = request.caller.empty() ? peerAddress : std::string(request.caller),
                               .idempotencyKey = std::nullopt,
                               .bodyBytes = request.bodyBytes,
                               .timeLeft = parseCallerDeadline(exchange, dialect),
                               .key = keyDigest(exchange.parser->fields, dialect)};
    if (request.idempotencyKey) {
        event.idempotencyKey = std::string(*request.idempotencyKey);
    }
    return event;
}

Host::Host(asio::io_context &io, EntryOptions initial, Telemetry::MetricsRegistry &registry, EntryHandlers callbacks)
    : context(io)
    , options(std::move(initial))
    , handlers(std::move(callbacks))
    , reducer(this->options.reducer)
    , proxyMetrics(registry)
    , timerWheel(io)
    , upstreamPool(this->options.limits, this->proxyMetrics)
    , acceptor(io.get_executor())
    , sweepTimer(this->timerWheel,
                 [this] {
                     this->upstreamPool.sweep(monotonicNow());
                     this->proxyMetrics.showHeldBytes(*this->held);
                     this->sweepTimer.setAfter(SweepInterval);
                 })
    , acceptRetryTimer(this->timerWheel,
                       [this] {
                           this->acceptRetrySignal.notify();
                       })
    , configurationTimer(this->timerWheel,
                         [this] {
                             this->configurationOverdue = true;
                             this->configurationSignal.notify();
                         })
    , finalAnswersTimer(this->timerWheel,
                        [this] {
                            this->finalAnswersOverdue = true;
                            this->terminateWhenDone();
                        })
    , deadlineTimer(io.get_executor())
{
    this->held->setLimit(this->options.limits.heldBytes);
    this->proxyMetrics.showHeldBytes(*this->held);
    this->sweepTimer.setAfter(SweepInterval);
}

void Host::apply(Core::Event event)
{
    this->pendingEvents.push_back(std::move(event));
    if (this->applying || this->stopped) {
        return;
    }
    this->applying = true;
    while (!this->pendingEvents.empty()) {
        const auto next = std::move(this->pendingEvents.front());
        this->pendingEvents.pop_front();
        if (const auto *shutdown = std::get_if<Core::ShutdownRequested>(&next)) {
            this->shutdownLimitAt = this->shutdownLimitAt.value_or(shutdown->at + shutdown->limit);
        }
        for (const auto &effect : this->reducer.apply(next)) {
            this->carryOut(effect);
        }
    }
    this->applying = false;
    if (this->reducer.ready()) {
        this->configurationSignal.notify();
    }
    this->scheduleDeadline();
    this->terminateWhenDone();
}

void Host::scheduleDeadline()
{
    const auto next = this->reducer.nextDeadline();
    // A timer that fires too early costs one wake-up, which is cheaper than rearming the timer for each request. A
    // timer that is overdue did not advance while the VM was suspended and has to be rearmed.
    const bool isArmed = this->armedDeadline && *this->armedDeadline > monotonicNow();
    if (!next || (isArmed && *this->armedDeadline <= *next)) {
        return;
    }
    this->waitForDeadline(*next);
}

void Host::waitForDeadline(TimePoint at)
{
    this->armedDeadline = at;
    this->deadlineTimer.expires_after(timeUntil(at));
    this->deadlineTimer.async_wait([self = this->shared_from_this()](ErrorCode error) {
        if (error || self->stopped) {
            return;
        }
        self->armedDeadline.reset();
        const auto now = monotonicNow();
        const auto next = self->reducer.nextDeadline();
        if (next && *next <= now) {
            self->apply(Core::TimerExpired{.at = now});
        } else {
            self->scheduleDeadline();
        }
    });
}

void Host::beginExchange(const std::shared_ptr<Exchange> &exchange)
{
    exchange->arrivedAt = monotonicNow();
    exchange->bodyReadyAt = exchange->arrivedAt;
    exchange->bodyReady = exchange->parser->is_done();
    exchange->requestIdText = requestIdText(*exchange, this->options);
    this->exchanges.emplace(exchange->id, exchange);
    if (exchange->request.announcesBody && !this->held->admitsBody(exchange->request.bodyBytes)) {
        exchange->memoryLimited = true;
        this->decide(*exchange, RefuseForMemory{});
        return;
    }
    if (!this->beginKeyedRequest(*exchange)) {
        auto event = makeArrivalEvent(*exchange, exchange->caller->peerAddress(), this->options.dialect);
        exchange->hasKey = event.key.has_value();
        this->apply(std::move(event));
    }
}

void Host::endExchange(Exchange &exchange)
{
    exchange.ended = true;
    this->reportRequestEnd(exchange);
    // The reducer lets attempts that must not be interrupted continue after the caller has disconnected.
    if (!std::holds_alternative<CallerGone>(*exchange.decision) || exchange.attempts.empty()) {
        this->removeExchange(exchange);
    }
}

void Host::reportRequestEnd(const Exchange &exchange) const
{
    if (!this->handlers.requestEnded) {
        return;
    }
    RequestReport report{.id = exchange.requestIdText,
                         .host = exchange.request.host,
                         .target = std::string(exchange.request.target),
                         .service = exchange.service,
                         .customer = exchange.customer,
                         .attempts = exchange.attemptReports,
                         .duration = monotonicNow() - exchange.arrivedAt,
                         .callerDeadline = parseCallerDeadline(exchange, this->options.dialect),
                         .memoryLimited = exchange.memoryLimited};
    std::visit(ReportOutcome{.report = report}, *exchange.decision);
    this->handlers.requestEnded(report);
}

void Host::removeExchange(Exchange &exchange)
{
    const auto callerReference = exchange.caller;
    for (const auto &attempt : exchange.attempts) {
        attempt->cancel();
    }
    exchange.attempts.clear();
    exchange.decision = CallerGone{};
    this->exchanges.erase(exchange.id);
    this->terminateWhenDone();
}

void Host::startPending(Exchange &exchange)
{
    if (exchange.keyed) {
        this->submitKeyedRequest(exchange);
    }
    const auto pendingAttempts = std::exchange(exchange.pendingAttempts, {});
    for (const auto &order : pendingAttempts) {
        this->startAttempt(this->exchanges.at(exchange.id), order);
    }
}

void Host::callerGone(Exchange &exchange)
{
    if (!exchange.decision) {
        this->decide(exchange, CallerGone{});
        this->abandonRequest(exchange);
    }
}

void Host::dropUnread(Exchange &exchange, bool countsAsNotRead)
{
    const bool decided = exchange.decision.has_value();
    const bool alreadyGone = decided && std::holds_alternative<CallerGone>(*exchange.decision);
    exchange.decision = CallerGone{.countsAsNotRead = countsAsNotRead && !alreadyGone};
    auto &counter
        = countsAsNotRead && !alreadyGone ? this->proxyMetrics.notRead : this->proxyMetrics.callerDisconnected;
    counter.add();
    if (!decided) {
        this->abandonRequest(exchange);
    }
    this->endExchange(exchange);
}

bool Host::isIdempotent(const CheckedRequest &request, std::string_view method) const
{
    return this->reducer.isIdempotent(request.host, method, request.target);
}

void Host::abandonRequest(Exchange &exchange)
{
    const auto id = exchange.id;
    if (exchange.keyed) {
        this->keyHost->abandon(id);
    }
    this->apply(Core::CallerDisconnected{.at = monotonicNow(), .request = id});
    // Attempts that were not cancelled can continue only with the whole body, so those that still wait for it fail.
    this->failPendingAttempts(exchange);
    const auto attempts = exchange.attempts;
    for (const auto &attempt : attempts) {
        attempt->callerGone();
    }
}

void Host::failPendingAttempts(Exchange &exchange)
{
    const auto pendingAttempts = std::exchange(exchange.pendingAttempts, {});
    for (const auto &order : pendingAttempts) {
        this->recordAttemptResult(order.request, order.attempt, Health::Cause::Cancelled);
        this->apply(Core::AttemptFailed{.at = monotonicNow(),
                                        .request = order.request,
                                        .attempt = order.attempt,
                                        .cause = Health::Cause::Cancelled,
                                        .nothingWritten = true});
    }
}

void Host::bodyFailed(Exchange &exchange, BodyState state)
{
    if (exchange.decision) {
        return;
    }
    if (state == BodyState::Stopped) {
        this->callerGone(exchange);
        return;
    }
    const bool mayHaveRun = std::any_of(exchange.attempts.begin(), exchange.attempts.end(), [](const auto &attempt) {
        return attempt->mayHaveRun();
    });
    const auto reason = badRequestFor(state);
    if (exchange.headForwarded) {
        this->decide(exchange, ResetCaller{});
    } else {
        this->decide(exchange, RejectBody{.reason = reason, .mayHaveRun = mayHaveRun});
    }
    // The reducer treats this like a disconnected caller: the attempts are cancelled and give no evidence.
    this->abandonRequest(exchange);
}

void Host::refuseForMemory(Exchange &exchange)
{
    if (exchange.decision) {
        return;
    }
    exchange.memoryLimited = true;
    this->decide(exchange, RefuseForMemory{});
    this->abandonRequest(exchange);
}

void Host::recordLatency(const Exchange &exchange, const Attempt &attempt)
{
    const auto now = monotonicNow();
    using Seconds = std::chrono::duration<double>;
    this->proxyMetrics.totalLatency.record(Seconds(now - exchange.arrivedAt).count());
    if (exchange.attemptReports.size() == 1) {
        const auto added = now - exchange.bodyReadyAt - attempt.upstreamTime();
        this->proxyMetrics.addedLatency.record(std::max(0.0, Seconds(added).count()));
    }
}

Exchange *Host::findExchange(RequestId id) const
{
    const auto found = this->exchanges.find(id);
    return found == this->exchanges.end() ? nullptr : found->second.get();
}

void Host::decide(Exchange &exchange, Decision decision)
{
    if (exchange.decision) {
        return;
    }
    exchange.decision = std::move(decision);
    if (exchange.capture) {
        asio::post(this->executor(), [self = this->shared_from_this(), id = exchange.id] {
            self->finishCapture(id);
        });
    } else {
        exchange.caller->wake();
    }
}

const Settings::EntryLimits &Host::limits() const
{
    return this->options.limits;
}

void Host::setLimits(const Settings::EntryLimits &changed)
{
    this->options.limits = changed;
    this->held->setLimit(changed.heldBytes);
    this->upstreamPool.setLimits(changed);
    for (auto *connection : this->connections) {
        connection->limitsChanged();
    }
}

const Dialect &Host::dialect() const
{
    return this->options.dialect;
}

ProxyMetrics &Host::metrics()
{
    return this->proxyMetrics;
}

TimerWheel &Host::timers()
{
    return this->timerWheel;
}

UpstreamPool &Host::pool()
{
    return this->upstreamPool;
}

const std::shared_ptr<HeldBytes> &Host::heldBytes() const
{
    return this->held;
}

DrainLog &Host::drains()
{
    return this->drainLog;
}

EvidencePool &Host::evidence()
{
    return this->evidencePool;
}

Executor Host::executor() const
{
    return this->context.get_executor();
}

const Core::Reducer &Host::core() const
{
    return this->reducer;
}

bool Host::stopping() const
{
    return this->shutdownLimitAt.has_value();
}

bool Host::stopsAccepting() const
{
    return this->acceptStopped;
}

} // namespace Verbenadock::Proxy::internal
