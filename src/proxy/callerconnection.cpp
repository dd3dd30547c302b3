#include "callerconnection.h"

#include "headwriter.h"
#include "host.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr std::size_t SmallReadBytes = 4096;
constexpr std::size_t LargeReadBytes = 65536;

} // namespace

CallerConnection::CallerConnection(std::shared_ptr<Host> owner, Socket callerSocket)
    : host(std::move(owner))
    , socket(std::move(callerSocket))
    , buffer(std::max(this->host->limits().maxHeaderBytes + SmallReadBytes, LargeReadBytes))
    , inputTimer(this->host->timers(),
                 [this] {
                     this->inputTimedOut = true;
                     this->inputSignal.notify();
                 })
    , outputTimer(this->host->timers(), [this] {
        this->close();
    })
{
    ErrorCode ignored;
    this->peerAddressText = this->socket.remote_endpoint(ignored).address().to_string();
    this->host->connectionOpened(*this);
}

CallerConnection::~CallerConnection()
{
    this->host->connectionClosed(*this);
}

Task<void> CallerConnection::run()
{
    const auto self = this->shared_from_this();
    co_await this->serveRequests();
    this->close();
}

Task<void> CallerConnection::serveRequests()
{
    for (;;) {
        auto next = co_await this->readHead();
        if (next == NextStep::Request) {
            next = co_await this->serveRequest();
        }
        if (next == NextStep::Linger) {
            co_await this->linger();
        }
        if (next != NextStep::Request) {
            co_return;
        }
    }
}

Task<CallerConnection::NextStep> CallerConnection::readHead()
{
    this->message.emplace();
    this->message->parser.body_limit(this->host->limits().maxBodyBytes);
    this->request = CheckedRequest();
    this->continueSent = false;
    for (;;) {
        // An empty line before a request is allowed, and some callers send one after a body.
        while (!this->reading && asView(this->buffer).starts_with("\r\n")) {
            this->buffer.consume(2);
        }
        const auto state = this->reading ? HeadState::Incomplete
                                         : this->message->parseHead(this->buffer, this->host->limits().maxHeaderBytes);
        if (state == HeadState::Complete) {
            break;
        }
        if (state != HeadState::Incomplete) {
            const auto reason = state == HeadState::Malformed ? reasonOf(this->message->headError, *this->message)
                                                              : reasonOf(state, asView(this->buffer));
            co_return co_await this->rejectHead(reason);
        }
        const auto next = co_await this->waitForHead(!this->reading && this->buffer.size() > 0);
        if (next != NextStep::Request) {
            co_return next;
        }
    }
    auto checked = checkRequest(this->message->parser);
    if (const auto *bad = std::get_if<BadRequest>(&checked)) {
        co_return co_await this->rejectHead(*bad);
    }
    this->request = std::move(std::get<CheckedRequest>(checked));
    if (this->message->bodyOverLimit) {
        co_return co_await this->rejectHead(BadRequest::BodyTooLarge);
    }
    co_return NextStep::Request;
}

Task<CallerConnection::NextStep> CallerConnection::waitForHead(bool headStarted)
{
    if (!headStarted && this->host->stopsAccepting() && !this->hasUnreadInput()) {
        co_return NextStep::Close;
    }
    const auto &limits = this->host->limits();
    // The header timeout counts from the first byte of the head; later bytes do not extend it.
    if (headStarted && !this->message->firstByteAt) {
        this->message->firstByteAt = monotonicNow();
    }
    const auto limit
        = headStarted ? *this->message->firstByteAt + limits.headerTimeout - monotonicNow() : limits.callerIdleTimeout;
    if (co_await this->waitForInput(limit)) {
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

Task<CallerConnection::NextStep> CallerConnection::serveRequest()
{
    auto current = std::make_shared<Exchange>();
    current->caller = this->shared_from_this();
    current->parser = &this->message->parser;
    current->headText = &this->message->headText;
    current->request = std::move(this->request);
    this->exchange = current;
    this->host->beginExchange(current);
    if (this->bodyDone()) {
        this->watchForDisconnect();
    }
    while (!current->decision) {
        if (!current->bodyReady && (current->keyed || !current->pendingAttempts.empty())) {
            co_await this->bufferBody(*current);
        } else {
            co_await this->decisionSignal.wait();
        }
    }
    const auto next = co_await this->writeDecision(*current);
    this->watchingForDisconnect = false;
    this->exchange.reset();
    this->host->endExchange(*current);
    co_return next;
}

Task<void> CallerConnection::bufferBody(Exchange &current)
{
    std::size_t limit = current.keyed ? current.keyed->bodyLimit : 0;
    for (const auto &attempt : current.pendingAttempts) {
        limit = std::max(limit, attempt.replayBytes);
    }
    const bool hasLength = current.request.bodyBytes.has_value();
    current.bodyStreams = hasLength && *current.request.bodyBytes > limit;
    while (!this->bodyDone() && !current.bodyStreams) {
        const auto state = co_await this->readBody(current.body);
        if (state != BodyState::Progress) {
            this->host->bodyFailed(current, state);
            co_return;
        }
        current.bodyStreams = !this->bodyDone() && current.body.size() > limit;
    }
    current.bodyReady = true;
    current.bodyReadyAt = monotonicNow();
    if (this->bodyDone()) {
        this->watchForDisconnect();
    }
    this->host->startPending(current);
}

bool CallerConnection::bodyDone() const
{
    return this->message->parser.is_done();
}

Task<BodyState> CallerConnection::readBody(std::string &output)
{
    this->message->parser.bodySink = &output;
    const auto initialSize = output.size();
    for (;;) {
        if (!this->reading && this->buffer.size() > 0) {
            const auto error = this->message->parseBody(this->buffer);
            if (error) {
                co_return error == http::error::body_limit ? BodyState::TooLarge : BodyState::Malformed;
            }
        }
        if (output.size() > initialSize || this->bodyDone()) {
            co_return BodyState::Progress;
        }
        if (!(co_await this->sendContinue())) {
            co_return BodyState::Stopped;
        }
        const bool arrived = co_await this->waitForInput(this->host->limits().callerStallTimeout);
        if (!this->exchange || this->exchange->decision || (!arrived && !this->inputTimedOut)) {
            co_return BodyState::Stopped;
        }
        if (!arrived) {
            co_return BodyState::TimedOut;
        }
    }
}

Task<bool> CallerConnection::sendContinue()
{
    if (this->continueSent || !this->exchange || !this->exchange->request.expectContinue) {
        co_return true;
    }
    this->continueSent = true;
    co_return co_await this->write("HTTP/1.1 100 Continue\r\n\r\n");
}

Task<bool> CallerConnection::waitForInput(Duration limit)
{
    this->startRead();
    this->inputTimedOut = false;
    this->inputTimer.setAfter(limit);
    const bool hadDecision = this->exchange && this->exchange->decision;
    while (this->reading && !this->inputTimedOut) {
        if (this->exchange && this->exchange->decision && !hadDecision) {
            break;
        }
        co_await this->inputSignal.wait();
    }
    this->inputTimer.clear();
    co_return !this->reading && !this->inputEnded;
}

void CallerConnection::watchForDisconnect()
{
    this->watchingForDisconnect = true;
    // Bytes of a pipelined request have to stay in the buffer until that request is read.
    if (this->buffer.size() == 0) {
        this->startRead();
    }
}

void CallerConnection::startRead()
{
    const auto room = this->buffer.max_size() - this->buffer.size();
    if (this->reading || this->inputEnded || !this->socket.is_open() || room == 0) {
        return;
    }
    this->reading = true;
    const bool body = this->exchange && !this->watchingForDisconnect;
    const auto size = std::min(room, body ? LargeReadBytes : SmallReadBytes);
    this->socket.async_read_some(this->buffer.prepare(size),
                                 [self = this->shared_from_this()](ErrorCode error, std::size_t bytes) {
                                     self->readCompleted(error, bytes);
                                 });
}

void CallerConnection::readCompleted(ErrorCode error, std::size_t size)
{
    this->reading = false;
    this->buffer.commit(size);
    this->inputEnded = this->inputEnded || error;
    this->inputSignal.notify();
    if (!this->exchange) {
        return;
    }
    // After bytes of a pipelined request no further read is started, so a later disconnect is not detected.
    if (error) {
        this->host->callerGone(*this->exchange);
    }
}

Task<bool> CallerConnection::write(std::string_view data)
{
    ErrorCode error;
    // Most answers fit into the socket's send buffer, so that no asynchronous operation is needed.
    auto written = this->socket.write_some(asio::buffer(data), error);
    if (error && error != asio::error::would_block) {
        co_return false;
    }
    written = error ? 0 : written;
    while (written < data.size()) {
        this->outputTimer.setAfter(this->host->limits().callerStallTimeout);
        written += co_await this->socket.async_write_some(asio::buffer(data.substr(written)),
                                                          asio::redirect_error(UseTask, error));
        this->outputTimer.clear();
        if (error) {
            co_return false;
        }
    }
    co_return true;
}

const std::string &CallerConnection::peerAddress() const
{
    return this->peerAddressText;
}

bool CallerConnection::closesAfterAnswer() const
{
    const bool keepAlive = this->exchange && this->exchange->request.keepAlive;
    return !keepAlive || !this->bodyDone() || this->host->stopping() || this->inputEnded;
}

void CallerConnection::wake()
{
    // An upload that waits for input has to end before the answer is written.
    this->inputSignal.notify();
    this->decisionSignal.notify();
}

void CallerConnection::closeIfIdle()
{
    if (!this->exchange && this->buffer.size() == 0 && !this->hasUnreadInput()) {
        this->close();
    }
}

bool CallerConnection::hasUnreadInput() const
{
    ErrorCode error;
    return this->socket.available(error) > 0 && !error;
}

void CallerConnection::close()
{
    this->inputTimer.clear();
    this->outputTimer.clear();
    this->inputEnded = true;
    ErrorCode ignored;
    this->socket.close(ignored);
}

void CallerConnection::reset()
{
    ErrorCode ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->close();
}

} // namespace Verbenadock::Proxy::internal
