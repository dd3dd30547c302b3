// Attempt: connecting and sending the request.
#include "attempt.h"

#include "callerconnection.h"
#include "host.h"

#include <algorithm>
#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>

namespace Verbenadock::Proxy::internal {

namespace {

/// Larger buffers are freed after the request was written.
constexpr std::size_t MaxKeptBytes = 16384;

/// Whether resources of the own VM ran out. Such failures are no evidence about the upstream.
bool isLocalResourceFailure(ErrorCode error)
{
    return error == asio::error::no_descriptors || error == asio::error::no_buffer_space
           || error == asio::error::no_memory || error == boost::system::errc::address_not_available
           || error == boost::system::errc::too_many_files_open_in_system;
}

Health::Cause connectFailureCause(ErrorCode error, bool timedOut)
{
    if (isLocalResourceFailure(error)) {
        return Health::Cause::Cancelled;
    }
    return timedOut || error != asio::error::connection_refused ? Health::Cause::ConnectTimeout
                                                                : Health::Cause::Refused;
}

} // namespace

Attempt::Attempt(std::shared_ptr<Host> owner, std::shared_ptr<Exchange> servedExchange, Core::StartAttempt startEffect)
    : host(std::move(owner))
    , exchange(std::move(servedExchange))
    , parameters(std::move(startEffect))
    , idText(this->host->attemptIdText(this->parameters.attempt))
    , answerCharge(this->host->heldBytes(), HeldKind::Callers)
    , requestCharge(this->host->heldBytes(), HeldKind::Upstreams)
    , transitCharge(this->host->heldBytes(), this->parameters.endpoint)
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
    // Each co_await is a statement of its own, because g++ 12 generates wrong code for co_await inside && and ||.
    bool proceed = co_await this->open();
    if (proceed) {
        proceed = co_await this->send();
    }
    if (proceed) {
        co_await this->receive();
    }
    this->timer.clear();
}

void Attempt::cancel()
{
    this->cancelled = true;
    this->transitCharge.clear();
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

void Attempt::setTimeout(Duration limit)
{
    this->timer.set(std::min(this->parameters.deadline, monotonicNow() + limit));
}

bool Attempt::maySend(TimePoint now) const
{
    // A streamed body cannot be sent to a second upstream, and no work may start after the deadline. The upstream may
    // have left while the caller sent the body or while the connection was established.
    return now < this->parameters.deadline && !this->exchange->bodyConsumed && this->host->maySend(this->parameters)
           && this->host->heldBytes()->admitsTransit(this->parameters.endpoint, this->knownBodyBytes());
}

std::uint64_t Attempt::knownBodyBytes() const
{
    const auto &length = this->exchange->request.bodyBytes;
    return this->exchange->bodyStreams && length ? *length : this->exchange->body.size();
}

Task<bool> Attempt::open()
{
    const auto now = monotonicNow();
    this->peer = this->host->pool().peer(this->parameters.endpoint);
    if (!this->peer || !this->maySend(now)) {
        this->fail(Health::Cause::Cancelled);
        co_return false;
    }
    this->connection
        = this->host->pool().takeIdle(*this->peer, this->connectionPolicy(), this->exchange->usedConnections, now);
    if (this->connection) {
        co_return true;
    }
    const auto error = co_await this->connect();
    if (this->stopped()) {
        co_return false;
    }
    if (error || this->timedOut) {
        this->fail(connectFailureCause(error, this->timedOut));
        co_return false;
    }
    co_return true;
}

Core::ConnectionPolicy Attempt::connectionPolicy() const
{
    const auto &dialect = this->host->dialect();
    // Without any id only a new connection shows to which request an answer belongs.
    const bool unidentified = dialect.attemptId.empty() && this->exchange->requestIdText.empty();
    return unidentified ? Core::ConnectionPolicy::Fresh : this->parameters.policy;
}

Task<ErrorCode> Attempt::connect()
{
    this->connection = this->host->pool().makeConnection(this->host->executor());
    auto &socket = this->connection->socket;
    this->host->metrics().upstreamConnectionsOpened.add();
    this->setTimeout(this->parameters.connectTimeout);
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
    this->setTimeout(this->parameters.firstByteTimeout);
    this->startedWritingAt = monotonicNow();
    if (!this->maySend(this->startedWritingAt)) {
        this->fail(Health::Cause::Cancelled);
        co_return false;
    }
    // Upstreams may write an answer twice. The repeated answer to an earlier attempt bears the id of this request.
    this->exchange->usedConnections.push_back(this->connection->number);
    this->outgoing = this->requestText();
    this->transitCharge.add(this->knownBodyBytes());
    this->requestCharge.set(this->outgoing.size());
    const auto error = co_await this->writeAll(this->outgoing, this->unchunkedBody());
    this->requestCharge.set(0);
    if (this->outgoing.capacity() > MaxKeptBytes) {
        this->outgoing = std::string();
    }
    if (this->stopped()) {
        co_return false;
    }
    if (error && this->bytesWritten == 0) {
        this->fail(this->timedOut ? this->timeoutCause()
                                  : (this->connection->reused ? Health::Cause::StaleConnection : Health::Cause::Reset));
        co_return false;
    }
    // After a failed write the upstream may already have answered, so the answer is read nevertheless.
    if (!error && this->exchange->bodyStreams) {
        this->exchange->bodyConsumed = true;
        asio::co_spawn(this->host->executor(), this->upload(), asio::detached);
    } else if (!error) {
        this->markRequestWritten();
    }
    co_return true;
}

std::string Attempt::requestText()
{
    const auto remaining = this->parameters.deadline - this->startedWritingAt;
    const AttemptFields fields{.requestId = this->exchange->requestIdText,
                               .attemptId = this->idText,
                               .deadlineMilliseconds
                               = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count(),
                               .instance = this->parameters.instance,
                               .customer = this->parameters.customer,
                               .hidesCredentials = this->parameters.hidesCredentials};
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
    }
    return text;
}

std::string_view Attempt::unchunkedBody() const
{
    const bool chunked = this->exchange->bodyStreams && !this->exchange->request.bodyBytes;
    return chunked ? std::string_view() : std::string_view(this->exchange->body);
}

Task<ErrorCode> Attempt::writeAll(std::string_view first, std::string_view second)
{
    const auto unwritten = [first, second](std::size_t written) {
        const auto ofSecond = written - std::min(written, first.size());
        return std::array{asio::buffer(first) + written, asio::buffer(second) + ofSecond};
    };
    const auto size = first.size() + second.size();
    auto &socket = this->connection->socket;
    ErrorCode error;
    // Most requests fit into the socket's send buffer, so that no asynchronous write is needed.
    auto written = socket.write_some(unwritten(0), error);
    if (error && error != asio::error::would_block) {
        co_return error;
    }
    written = error ? 0 : written;
    error = {};
    this->bytesWritten += written;
    while (written < size && !error) {
        const auto count = co_await socket.async_write_some(unwritten(written), asio::redirect_error(UseTask, error));
        written += count;
        this->bytesWritten += count;
    }
    co_return error;
}

Task<void> Attempt::upload()
{
    const auto self = this->shared_from_this();
    auto &caller = *this->exchange->caller;
    std::string part;
    std::string text;
    while (!this->exchange->parser->is_done()) {
        part.clear();
        // A slow caller is limited by its stall timeout and the deadline; the upstream's timeout is suspended.
        this->timer.set(this->parameters.deadline);
        const auto state = co_await caller.readBody(*this->exchange, part);
        if (this->stopped()) {
            co_return;
        }
        if (state != BodyState::Progress) {
            this->host->bodyFailed(*this->exchange, state);
            co_return;
        }
        const bool written = co_await this->writeBodyPart(part, text);
        this->requestCharge.set(0);
        if (!written) {
            co_return;
        }
        // The caller may need long for the next part, and meanwhile nothing is counted.
        if (part.capacity() + text.capacity() > MaxKeptBytes) {
            part = std::string();
            text = std::string();
        }
    }
    caller.watchForDisconnect();
    ErrorCode error;
    if (!this->exchange->request.bodyBytes) {
        error = co_await this->writeAll(LastChunk);
    }
    if (!error && !this->stopped()) {
        this->markRequestWritten();
    }
}

Task<bool> Attempt::writeBodyPart(std::string &part, std::string &text)
{
    this->setTimeout(this->parameters.firstByteTimeout);
    this->requestCharge.set(part.capacity() + text.capacity());
    ErrorCode error;
    if (this->exchange->request.bodyBytes) {
        error = co_await this->writeAll(part);
    } else {
        text.clear();
        appendChunk(text, part);
        this->transitCharge.add(part.size());
        error = co_await this->writeAll(text);
    }
    // The reading coroutine tells an early answer from a broken connection.
    co_return !error && !this->stopped();
}

void Attempt::markRequestWritten()
{
    this->requestWritten = true;
    this->writtenAt = monotonicNow();
    if (!this->response || !this->response->parser.is_header_done()) {
        this->setTimeout(this->parameters.firstByteTimeout);
    }
}

} // namespace Verbenadock::Proxy::internal
