// The part of Host that feeds events to the reducer.
#include "host.h"

#include "attempt.h"

#include <algorithm>
#include <charconv>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr Duration SweepInterval = std::chrono::seconds(1);
constexpr std::size_t MaxRequestIdBytes = 128;
// Longer deadlines than a service can have are as good as none.
constexpr auto LongestCallerDeadline = std::chrono::hours(1);

/// The caller's own id when it is usable; it ties the logs of both sides together.
std::string requestIdText(const Exchange &exchange, const EntryOptions &options)
{
    const auto given = singleField(exchange.parser->fields, options.dialect.requestId);
    if (given && !given->empty() && given->size() <= MaxRequestIdBytes) {
        return std::string(*given);
    }
    if (!options.dialect.assignsRequestIds) {
        return {};
    }
    return options.instance + "-r" + std::to_string(exchange.id);
}

/// The caller's own deadline; a value that is no number of milliseconds counts as none.
std::optional<Duration> timeLeftOf(const Exchange &exchange, const Dialect &dialect)
{
    const auto given = singleField(exchange.parser->fields, dialect.callerDeadline);
    std::int64_t milliseconds = 0;
    if (!given) {
        return std::nullopt;
    }
    const auto *end = given->data() + given->size();
    const auto [rest, error] = std::from_chars(given->data(), end, milliseconds);
    const bool valid = error == std::errc() && rest == end && milliseconds >= 0
                       && milliseconds <= std::chrono::milliseconds(LongestCallerDeadline).count();
    return valid ? std::optional<Duration>(std::chrono::milliseconds(milliseconds)) : std::nullopt;
}

/// Fills in what a decision means for the caller.
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
    }

    void operator()(const ResetCaller & /*abort*/) const
    {
        this->report.outcome = "aborted";
    }

    void operator()(const RejectBody &refusal) const
    {
        this->report.outcome = "bad-request";
        this->report.reason = toString(refusal.reason);
        this->report.status = statusOf(refusal.reason);
    }

    void operator()(const CallerGone & /*gone*/) const
    {
        this->report.outcome = "caller-gone";
    }

    void operator()(const KeyAnswer &answer) const
    {
        this->report.outcome = "answered-by-key";
        this->report.status = answer.answer.status;
    }
};

BadRequest reasonOf(BodyState state)
{
    switch (state) {
    case BodyState::TooLarge:
        return BadRequest::BodyTooLarge;
    case BodyState::TimedOut:
        return BadRequest::BodyTimeout;
    case BodyState::Progress:
    case BodyState::Broken:
    case BodyState::Stopped:
        break;
    }
    return BadRequest::BadBody;
}

} // namespace

Core::RequestArrived arrivalOf(const Exchange &exchange, const std::string &peerAddress, const Dialect &dialect)
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
                               .timeLeft = timeLeftOf(exchange, dialect)};
    if (request.idempotencyKey) {
        event.idempotencyKey = std::string(*request.idempotencyKey);
    }
    return event;
}

Host::Host(asio::io_context &loop, EntryOptions given, Telemetry::MetricsRegistry &registry, EntryHandlers toProcess)
    : context(loop)
    , options(std::move(given))
    , handlers(std::move(toProcess))
    , reducer(this->options.reducer)
    , proxyMetrics(registry)
    , wheel(loop)
    , upstreams(this->options.limits, this->proxyMetrics)
    , acceptor(loop.get_executor())
    , sweepTimer(this->wheel,
                 [this] {
                     this->upstreams.sweep(monotonicNow());
                     this->sweepTimer.setAfter(SweepInterval);
                 })
    , acceptPause(this->wheel,
                  [this] {
                      this->acceptResumed.notify();
                  })
    , deadlineTimer(loop.get_executor())
{
    this->sweepTimer.setAfter(SweepInterval);
}

void Host::apply(Core::Event event)
{
    this->events.push_back(std::move(event));
    if (this->applying || this->stopped) {
        return;
    }
    this->applying = true;
    while (!this->events.empty()) {
        const auto next = std::move(this->events.front());
        this->events.pop_front();
        this->shutdownRequested = this->shutdownRequested || std::holds_alternative<Core::ShutdownRequested>(next);
        for (const auto &effect : this->reducer.apply(next)) {
            this->carryOut(effect);
        }
    }
    this->applying = false;
    this->scheduleDeadline();
    this->terminateWhenDone();
}

void Host::scheduleDeadline()
{
    const auto next = this->reducer.nextDeadline();
    // An armed timer that is too early only costs one wake-up, which is cheaper than moving it with each request. One
    // that should be over stood still while the VM was suspended.
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

void Host::begin(const std::shared_ptr<Exchange> &exchange)
{
    exchange->id = ++this->lastRequest;
    exchange->arrivedAt = monotonicNow();
    exchange->bodyReadyAt = exchange->arrivedAt;
    exchange->bodyReady = exchange->caller->bodyDone();
    exchange->requestIdText = requestIdText(*exchange, this->options);
    this->exchanges.emplace(exchange->id, exchange);
    if (!this->beginKeyed(*exchange)) {
        this->apply(arrivalOf(*exchange, exchange->caller->peerAddress(), this->options.dialect));
    }
}

void Host::end(Exchange &exchange)
{
    exchange.ended = true;
    this->report(exchange);
    // The reducer lets work that must not be cut off go on after its caller is gone.
    if (!std::holds_alternative<CallerGone>(*exchange.decision) || exchange.attempts.empty()) {
        this->release(exchange);
    }
}

void Host::report(const Exchange &exchange) const
{
    if (!this->handlers.requestEnded) {
        return;
    }
    RequestReport report{.id = exchange.requestIdText,
                         .host = exchange.request.host,
                         .target = std::string(exchange.request.target),
                         .service = exchange.service,
                         .attempts = exchange.attemptReports,
                         .duration = monotonicNow() - exchange.arrivedAt,
                         .callerDeadline = timeLeftOf(exchange, this->options.dialect)};
    std::visit(ReportOutcome{.report = report}, *exchange.decision);
    this->handlers.requestEnded(report);
}

void Host::release(Exchange &exchange)
{
    const auto kept = exchange.caller;
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
        this->submitKeyed(exchange);
    }
    const auto pendingAttempts = std::exchange(exchange.pendingAttempts, {});
    for (const auto &order : pendingAttempts) {
        this->spawn(this->exchanges.at(exchange.id), order);
    }
}

void Host::callerGone(Exchange &exchange)
{
    if (!exchange.decision) {
        this->decide(exchange, CallerGone{});
        this->giveUp(exchange);
    }
}

void Host::giveUp(Exchange &exchange)
{
    const auto id = exchange.id;
    if (exchange.keyed) {
        this->keyHost->abandon(id);
    }
    this->apply(Core::CallerDisconnected{.at = monotonicNow(), .request = id});
    // Attempts that were not cancelled can only go on when they have the whole body.
    const auto pendingAttempts = std::exchange(exchange.pendingAttempts, {});
    for (const auto &order : pendingAttempts) {
        this->proxyMetrics.countAttempt(Health::Cause::Cancelled);
        this->apply(Core::AttemptFailed{.at = monotonicNow(),
                                        .request = id,
                                        .attempt = order.attempt,
                                        .cause = Health::Cause::Cancelled,
                                        .nothingWritten = true});
    }
    const auto attempts = exchange.attempts;
    for (const auto &attempt : attempts) {
        attempt->callerGone();
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
    const auto reason = reasonOf(state);
    if (exchange.headForwarded) {
        this->decide(exchange, ResetCaller{});
    } else {
        this->decide(exchange, RejectBody{.reason = reason, .mayHaveRun = mayHaveRun});
    }
    // To the reducer this is a caller that gave up: the attempts are cancelled and count for nothing.
    this->giveUp(exchange);
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

void Host::answerBegins(const Attempt &attempt, unsigned status, bool draining)
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
    this->noteResult(request, id, cause);
    auto *exchange = this->find(request);
    const bool streamed = exchange && exchange->headForwarded;
    this->apply(Core::AttemptCompleted{.at = monotonicNow(),
                                       .request = request,
                                       .attempt = id,
                                       .status = status,
                                       .notRun = notRun,
                                       .draining = draining,
                                       .misdirected = misdirected});
    exchange = this->find(request);
    if (exchange) {
        if (streamed) {
            this->decide(*exchange, AnswerStreamed{});
        }
        this->forget(*exchange, id);
    }
}

void Host::attemptFailed(const Attempt &attempt, Health::Cause cause, bool nothingWritten)
{
    const auto request = attempt.startParameters().request;
    const auto id = attempt.id();
    this->noteResult(request, id, cause);
    this->apply(Core::AttemptFailed{
        .at = monotonicNow(), .request = request, .attempt = id, .cause = cause, .nothingWritten = nothingWritten});
    if (auto *exchange = this->find(request)) {
        this->forget(*exchange, id);
    }
}

void Host::noteResult(RequestId request, AttemptId attempt, Health::Cause cause)
{
    this->proxyMetrics.countAttempt(cause);
    auto *exchange = this->find(request);
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

void Host::forget(Exchange &exchange, AttemptId id)
{
    std::erase_if(exchange.attempts, [id](const auto &attempt) {
        return attempt->id() == id;
    });
    if (exchange.ended && exchange.attempts.empty()) {
        this->release(exchange);
    }
}

Exchange *Host::find(RequestId id) const
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
    return this->wheel;
}

UpstreamPool &Host::pool()
{
    return this->upstreams;
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
    return this->shutdownRequested;
}

bool Host::stopsAccepting() const
{
    return this->acceptStopped;
}

} // namespace Verbenadock::Proxy::internal
