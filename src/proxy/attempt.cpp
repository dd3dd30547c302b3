// The part of Attempt that opens a connection and sends the request.
#include "attempt.h"

#include "callerconnection.h"
#include "host.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>

namespace Verbenadock::Proxy::internal {

namespace {

/// Failures of the own VM say nothing about the upstream.
bool isLocalFailure(ErrorCode error)
{
    return error == asio::error::no_descriptors || error == asio::error::no_buffer_space
           || error == asio::error::no_memory || error == boost::system::errc::address_not_available
           || error == boost::system::errc::too_many_files_open_in_system;
}

Health::Cause connectFailure(ErrorCode error, bool timedOut)
{
    if (isLocalFailure(error)) {
        return Health::Cause::Cancelled;
    }
    return timedOut || error != asio::error::connection_refused ? Health::Cause::ConnectTimeout
                                                                : Health::Cause::Refused;
}

} // namespace

Attempt::Attempt(std::shared_ptr<Host> owner, std::shared_ptr<Exchange> served, Core::StartAttempt given)
    : host(std::move(owner))
    , exchange(std::move(served))
    , order(std::move(given))
    , idText(this->host->attemptIdText(this->order.attempt))
    , timer(this->host->timers(), [this] {
        this->timedOut = true;
        if (this->connection) {
            this->connection->close();
        }
    })
{
}

Task<void> Attempt::run()
{
    const auto self = this->shared_from_this();
    // g++ 12 generates wrong code for co_await inside && and ||, so each one is a statement of its own.
    bool going = co_await this->open();
    if (going) {
        going = co_await this->send();
    }
    if (going) {
        co_await this->receive();
    }
    this->timer.clear();
}

void Attempt::cancel()
{
    this->cancelled = true;
    this->timer.clear();
    if (this->connection) {
        this->connection->close();
    }
    this->forwardAllowed.notify();
}

void Attempt::callerGone()
{
    if (this->exchange->bodyStreams && !this->requestWritten) {
        this->fail(Health::Cause::Cancelled);
    }
    this->forwardAllowed.notify();
}

bool Attempt::stopped() const
{
    return this->cancelled || this->finished;
}

void Attempt::limitTo(Duration limit)
{
    this->timer.set(std::min(this->order.deadline, monotonicNow() + limit));
}

Task<bool> Attempt::open()
{
    const auto now = monotonicNow();
    this->peer = this->host->pool().peer(this->order.endpoint);
    if (!this->peer || now >= this->order.deadline || this->exchange->bodyConsumed) {
        // A body that streamed to another upstream cannot be sent again, and late work must not be started.
        this->fail(Health::Cause::Cancelled);
        co_return false;
    }
    this->connection = this->host->pool().takeIdle(*this->peer, this->order.policy, now);
    if (this->connection) {
        co_return true;
    }
    const auto error = co_await this->connect();
    if (this->stopped()) {
        co_return false;
    }
    if (error || this->timedOut) {
        this->fail(connectFailure(error, this->timedOut));
        co_return false;
    }
    co_return true;
}

Task<ErrorCode> Attempt::connect()
{
    this->connection = std::make_unique<UpstreamConnection>(this->host->executor());
    auto &socket = this->connection->socket;
    this->host->metrics().upstreamConnectionsOpened.add();
    this->limitTo(this->order.connectTimeout);
    ErrorCode error;
    co_await socket.async_connect(this->peer->address, asio::redirect_error(UseTask, error));
    this->timer.clear();
    if (!error && socket.is_open()) {
        socket.non_blocking(true, error);
        socket.set_option(tcp::no_delay(true), error);
        this->connection->openedAt = monotonicNow();
    }
    co_return error;
}

Task<bool> Attempt::send()
{
    this->limitTo(this->order.firstByteTimeout);
    this->startedWritingAt = monotonicNow();
    if (this->startedWritingAt >= this->order.deadline || this->exchange->bodyConsumed) {
        this->fail(Health::Cause::Cancelled);
        co_return false;
    }
    this->outgoing = this->requestText();
    const auto error = co_await this->writeAll(this->outgoing);
    if (this->stopped()) {
        co_return false;
    }
    if (error && this->bytesWritten == 0) {
        this->fail(this->timedOut
                       ? this->silenceCause()
                       : (this->connection->reused ? Health::Cause::SilentConnection : Health::Cause::Reset));
        co_return false;
    }
    // After a failure in the middle the upstream may have answered already, so the answer is read in any case.
    if (!error && this->exchange->bodyStreams) {
        this->exchange->bodyConsumed = true;
        asio::co_spawn(this->host->executor(), this->upload(), asio::detached);
    } else if (!error) {
        this->finishRequest();
    }
    co_return true;
}

std::string Attempt::requestText()
{
    const auto remaining = this->order.deadline - this->startedWritingAt;
    const AttemptFields fields{.requestId = this->exchange->requestIdText,
                               .attemptId = this->idText,
                               .deadlineMilliseconds
                               = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count(),
                               .instance = this->order.instance};
    const auto &request = this->exchange->request;
    BodyFraming framing;
    if (this->exchange->bodyStreams && !request.bodyBytes) {
        framing.kind = BodyFraming::Kind::Chunked;
    } else if (request.announcesBody) {
        framing = {.kind = BodyFraming::Kind::Length,
                   .length = this->exchange->bodyStreams ? *request.bodyBytes : this->exchange->body.size()};
    }
    std::string text = std::move(this->outgoing);
    text.clear();
    appendRequestHead(text, *this->exchange->parser, request.target, fields, this->host->dialect(), framing);
    if (framing.kind == BodyFraming::Kind::Chunked) {
        appendChunk(text, this->exchange->body);
    } else {
        text.append(this->exchange->body);
    }
    return text;
}

Task<ErrorCode> Attempt::writeAll(std::string_view data)
{
    auto &socket = this->connection->socket;
    ErrorCode error;
    // A request usually fits into the socket's buffer, so that no operation has to be queued.
    auto written = socket.write_some(asio::buffer(data), error);
    if (error && error != asio::error::would_block) {
        co_return error;
    }
    written = error ? 0 : written;
    error = {};
    this->bytesWritten += written;
    while (written < data.size() && !error) {
        const auto size = co_await socket.async_write_some(asio::buffer(data.substr(written)),
                                                           asio::redirect_error(UseTask, error));
        written += size;
        this->bytesWritten += size;
    }
    co_return error;
}

Task<void> Attempt::upload()
{
    const auto self = this->shared_from_this();
    auto &caller = *this->exchange->caller;
    std::string piece;
    std::string text;
    while (!caller.bodyDone()) {
        piece.clear();
        // While the caller is slow, its own stall timeout and the deadline count, not the upstream's time.
        this->timer.set(this->order.deadline);
        const auto state = co_await caller.readBody(piece);
        if (this->stopped()) {
            co_return;
        }
        if (state != BodyState::Progress) {
            this->host->bodyFailed(*this->exchange, state);
            co_return;
        }
        if (!(co_await this->uploadPiece(piece, text))) {
            co_return;
        }
    }
    caller.watchForDisconnect();
    ErrorCode error;
    if (!this->exchange->request.bodyBytes) {
        error = co_await this->writeAll(LastChunk);
    }
    if (!error && !this->stopped()) {
        this->finishRequest();
    }
}

Task<bool> Attempt::uploadPiece(std::string &piece, std::string &text)
{
    this->limitTo(this->order.firstByteTimeout);
    ErrorCode error;
    if (this->exchange->request.bodyBytes) {
        error = co_await this->writeAll(piece);
    } else {
        text.clear();
        appendChunk(text, piece);
        error = co_await this->writeAll(text);
    }
    // The reading side finds out whether the upstream answered early or is gone.
    co_return !error && !this->stopped();
}

void Attempt::finishRequest()
{
    this->requestWritten = true;
    this->writtenAt = monotonicNow();
    if (!this->response || !this->response->parser.is_header_done()) {
        this->limitTo(this->order.firstByteTimeout);
    }
}

} // namespace Verbenadock::Proxy::internal
