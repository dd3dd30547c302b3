// CallerConnection: reading requests.
#include "callerconnection.h"
#include "headwriter.h"
#include "host.h"

#include <algorithm>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr std::size_t SmallReadBytes = 4096;
constexpr std::size_t LargeReadBytes = 65536;
// Bounds the bytes that are kept of requests that may not start yet. More would only be needed to detect a caller that
// closes its side behind them; a reset is detected without reading.
constexpr std::size_t MaxWaitingInputBytes = 16384;

} // namespace

Task<CallerConnection::NextStep> CallerConnection::readHead()
{
    for (;;) {
        const auto state = this->parseNextHead();
        if (state == HeadState::Complete) {
            break;
        }
        if (state != HeadState::Incomplete) {
            const auto reason = state == HeadState::Malformed ? reasonOf(this->message->headError, *this->message)
                                                              : reasonOf(state, asView(this->buffer));
            co_return co_await this->rejectHead(reason);
        }
        const auto next = co_await this->waitForHead(this->hasHeadBytes());
        if (next != NextStep::Request) {
            co_return next;
        }
    }
    if (const auto *bad = std::get_if<BadRequest>(&this->checkedHead)) {
        co_return co_await this->rejectHead(*bad);
    }
    if (this->message->bodyOverLimit) {
        co_return co_await this->rejectHead(BadRequest::BodyTooLarge);
    }
    co_return NextStep::Request;
}

HeadState CallerConnection::parseNextHead()
{
    if (this->headState != HeadState::Incomplete || this->bufferInUse) {
        return this->headState;
    }
    // The limit may have been raised since the buffer was made. An incomplete head that fills the buffer could not be
    // read on, and readHead() would loop without suspending.
    this->buffer.max_size(std::max(this->buffer.max_size(), this->host->limits().maxHeaderBytes + HeadReserveBytes));
    // An empty line before a request is allowed, and some callers send one after a body.
    while (asView(this->buffer).starts_with("\r\n")) {
        this->buffer.consume(2);
    }
    if (!this->message) {
        this->message = std::make_unique<RequestMessage>();
    }
    // A request is bound by the limits in force when its head is complete, not by those of its first byte.
    this->message->parser.body_limit(this->host->limits().maxBodyBytes);
    this->headState = this->message->parseHead(this->buffer, this->host->limits().maxHeaderBytes);
    if (this->headState == HeadState::Complete) {
        this->checkedHead = checkRequest(this->message->parser);
    }
    return this->headState;
}

bool CallerConnection::hasHeadBytes() const
{
    auto bytes = asView(this->buffer);
    while (bytes.starts_with("\r\n")) {
        bytes.remove_prefix(2);
    }
    return !bytes.empty();
}

PipelineTraits CallerConnection::traitsOfNext() const
{
    const auto &request = std::get<CheckedRequest>(this->checkedHead);
    const auto &parser = this->message->parser;
    return {.idempotent = this->host->isIdempotent(request, parser.methodText),
            .hasBody = !parser.is_done(),
            .hasIdempotencyKey = request.idempotencyKey.has_value(),
            .keepAlive = request.keepAlive};
}

void CallerConnection::readAhead()
{
    const auto depth = this->host->limits().pipelineDepth;
    while (!this->bufferInUse && !this->host->stopping() && this->pipeline.mayStartAnother(depth)) {
        const bool hasInput = this->hasHeadBytes() || this->headState != HeadState::Incomplete;
        if (!hasInput || this->parseNextHead() != HeadState::Complete) {
            break;
        }
        // A malformed request is rejected in its turn, when all earlier answers are written.
        if (std::holds_alternative<BadRequest>(this->checkedHead) || this->message->bodyOverLimit) {
            break;
        }
        const auto traits = this->traitsOfNext();
        if (!this->pipeline.mayStart(traits, depth)) {
            break;
        }
        this->beginRequest(traits);
    }
    this->startRead();
}

Task<CallerConnection::NextStep> CallerConnection::waitForHead(bool headStarted)
{
    if (!headStarted && this->host->stopsAccepting() && !this->hasUnreadInput()) {
        // A request that crosses the close must not reset the connection before the caller has read the last answer.
        co_return NextStep::Linger;
    }
    // The header timeout counts from the first byte of the head; later bytes do not extend it.
    if (headStarted && !this->message->firstByteAt) {
        this->message->firstByteAt = monotonicNow();
    }
    const auto wait = headStarted ? LimitedWait{*this->message->firstByteAt, &Settings::EntryLimits::headerTimeout}
                                  : LimitedWait{monotonicNow(), &Settings::EntryLimits::callerIdleTimeout};
    if (co_await this->waitForInput(wait)) {
        co_return NextStep::Request;
    }
    if (this->inputTimedOut && headStarted) {
        co_return co_await this->rejectHead(BadRequest::HeaderTimeout);
    }
    co_return NextStep::Close;
}

Task<CallerConnection::NextStep> CallerConnection::rejectHead(BadRequest reason)
{
    this->host->metrics().countBadRequest(reason);
    const bool headMethod = this->message->parser.methodText == "HEAD";
    const auto text = localAnswerText(
        LocalAnswer{.status = statusOf(reason), .reason = toString(reason), .close = true, .headMethod = headMethod});
    const bool written = co_await this->write(text);
    co_return written ? NextStep::Linger : NextStep::Close;
}

Task<void> CallerConnection::bufferBody(Exchange &current)
{
    std::size_t limit = current.keyed ? current.keyed->bodyLimit : 0;
    for (const auto &attempt : current.pendingAttempts) {
        limit = std::max(limit, attempt.replayBytes);
    }
    const bool hasLength = current.request.bodyBytes.has_value();
    current.bodyCharge.emplace(this->host->heldBytes(), HeldKind::Upstreams);
    current.bodyStreams = hasLength && *current.request.bodyBytes > limit;
    while (!current.parser->is_done() && !current.bodyStreams) {
        const auto state = co_await this->readBody(current, current.body);
        if (state != BodyState::Progress) {
            this->host->bodyFailed(current, state);
            co_return;
        }
        current.bodyStreams = !current.parser->is_done() && current.body.size() > limit;
        current.bodyCharge->set(current.body.size());
        // Many small bodies may have been admitted before any of their bytes arrived. No attempt was started yet.
        if (!this->host->heldBytes()->admitsBody(std::nullopt)) {
            this->host->refuseForMemory(current);
            co_return;
        }
    }
    if (current.bodyStreams && !hasLength && this->host->heldBytes()->exhausted()) {
        this->host->refuseForMemory(current);
        co_return;
    }
    if (!this->bufferInUse && this->buffer.capacity() > MaxWaitingInputBytes) {
        // The buffer keeps the size of the longest read, which is not counted and is not needed while an upstream
        // works.
        this->buffer.shrink_to_fit();
    }
    current.bodyReady = true;
    current.bodyReadyAt = monotonicNow();
    if (current.parser->is_done()) {
        this->watchForDisconnect();
    }
    this->host->startPending(current);
}

Task<BodyState> CallerConnection::readBody(const Exchange &exchange, std::string &output)
{
    if (!this->isFirst(exchange)) {
        co_return BodyState::Stopped;
    }
    auto &requestMessage = *exchange.message;
    requestMessage.parser.bodySink = &output;
    const auto initialSize = output.size();
    for (;;) {
        if (!this->bufferInUse && this->buffer.size() > 0) {
            const auto error = requestMessage.parseBody(this->buffer);
            if (error) {
                co_return error == http::error::body_limit ? BodyState::TooLarge : BodyState::Malformed;
            }
        }
        if (output.size() > initialSize || requestMessage.parser.is_done()) {
            co_return BodyState::Progress;
        }
        if (!(co_await this->sendContinue())) {
            co_return BodyState::Stopped;
        }
        const bool arrived = co_await this->waitForInput({monotonicNow(), &Settings::EntryLimits::callerStallTimeout});
        if (!this->isFirst(exchange) || exchange.decision || (!arrived && !this->inputTimedOut)) {
            co_return BodyState::Stopped;
        }
        if (!arrived) {
            co_return BodyState::TimedOut;
        }
    }
}

Task<bool> CallerConnection::sendContinue()
{
    if (this->continueSent || this->exchanges.empty() || !this->exchanges.front()->request.expectContinue) {
        co_return true;
    }
    this->continueSent = true;
    co_return co_await this->write("HTTP/1.1 100 Continue\r\n\r\n");
}

Task<bool> CallerConnection::waitForInput(LimitedWait wait)
{
    this->inputTimedOut = false;
    this->startRead();
    if (!this->reading) {
        // Without a read no input can arrive, and a loop around this function would never suspend.
        co_return false;
    }
    this->inputWait = wait;
    this->setTimer(this->inputTimer, *this->inputWait);
    const bool hadDecision = this->firstIsDecided();
    while (this->reading && !this->inputTimedOut) {
        if (this->firstIsDecided() && !hadDecision) {
            break;
        }
        co_await this->inputSignal.wait();
    }
    this->inputTimer.clear();
    this->inputWait.reset();
    co_return !this->reading && !this->inputEnded;
}

bool CallerConnection::firstIsDecided() const
{
    return !this->exchanges.empty() && this->exchanges.front()->decision;
}

void CallerConnection::watchForDisconnect()
{
    this->watchingForDisconnect = true;
    this->readAhead();
}

void CallerConnection::startRead()
{
    const auto room = this->buffer.max_size() - this->buffer.size();
    if (this->reading || this->inputEnded || !this->socket.is_open() || room == 0) {
        return;
    }
    const bool waits = this->watchingForDisconnect
                       && (this->headState != HeadState::Incomplete
                           || !this->pipeline.mayStartAnother(this->host->limits().pipelineDepth));
    if (waits && this->buffer.size() >= MaxWaitingInputBytes) {
        this->watchForReset();
        return;
    }
    this->reading = true;
    const bool body = !this->exchanges.empty() && !this->watchingForDisconnect;
    const auto size = std::min(room, body ? LargeReadBytes : SmallReadBytes);
    if (this->buffer.size() > 0) {
        // The buffered bytes may be parsed before further bytes arrive, so the buffer must not be in use meanwhile.
        this->socket.async_wait(Socket::wait_read, [self = this->shared_from_this(), size](ErrorCode error) {
            self->readReady(error, size);
        });
        return;
    }
    this->bufferInUse = true;
    this->socket.async_read_some(this->buffer.prepare(size),
                                 [self = this->shared_from_this()](ErrorCode error, std::size_t bytes) {
                                     self->bufferInUse = false;
                                     self->readCompleted(error, bytes);
                                 });
}

void CallerConnection::readReady(ErrorCode error, std::size_t size)
{
    std::size_t bytes = 0;
    if (!error) {
        const auto room = this->buffer.max_size() - this->buffer.size();
        bytes = this->socket.read_some(this->buffer.prepare(std::min(room, size)), error);
    }
    if (error == asio::error::would_block) {
        this->reading = false;
        this->startRead();
        return;
    }
    this->readCompleted(error, bytes);
}

void CallerConnection::readCompleted(ErrorCode error, std::size_t size)
{
    this->reading = false;
    this->buffer.commit(size);
    this->inputEnded = this->inputEnded || error;
    this->inputSignal.notify();
    if (error) {
        this->reportCallerGone();
    } else if (this->watchingForDisconnect) {
        this->readAhead();
    }
}

void CallerConnection::watchForReset()
{
    if (this->watchingForReset) {
        return;
    }
    this->watchingForReset = true;
    this->socket.async_wait(Socket::wait_error, [self = this->shared_from_this()](ErrorCode error) {
        self->watchingForReset = false;
        if (!error && self->socket.is_open()) {
            self->inputEnded = true;
            self->inputSignal.notify();
            self->reportCallerGone();
        }
    });
}

void CallerConnection::reportCallerGone()
{
    const auto unanswered = this->exchanges;
    for (const auto &exchange : unanswered) {
        this->host->callerGone(*exchange);
    }
}

} // namespace Verbenadock::Proxy::internal
