// The part of Attempt that reads the answer and passes it on.
#include "attempt.h"
#include "callerconnection.h"
#include "host.h"

#include <boost/asio/redirect_error.hpp>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr unsigned FirstErrorStatus = 400;

/// Statuses that some callers read as "not run".
bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

constexpr std::size_t MaxAnswerHeadBytes = 65536;
// Interim answers are dropped; an upstream sends a 100 and some early hints at most.
constexpr unsigned MostInterimAnswers = 8;
constexpr std::size_t SmallReadBytes = 4096;
constexpr std::size_t LargeReadBytes = 65536;

// An upstream that closes an idle connection while a request is on its way resets it within a round trip. A reset that
// comes later was caused by the request.
constexpr Duration IdleCloseRace = std::chrono::milliseconds(50);

// Connections that were idle for longer may have been dropped on the way without a sign.
constexpr Duration LongIdle = std::chrono::seconds(1);

} // namespace

Task<void> Attempt::receive()
{
    bool interim = true;
    for (unsigned heads = 0; interim; ++heads) {
        if (heads > MostInterimAnswers) {
            this->fail(Health::Cause::Malformed);
            co_return;
        }
        this->response.emplace();
        this->response->parser.bodySink = &this->body;
        this->response->parser.body_limit(this->host->limits().maxAnswerBytes);
        this->response->parser.skip(this->exchange->request.headMethod);
        const bool arrived = co_await this->readHead();
        if (!arrived) {
            co_return;
        }
        // Interim answers precede the final one; 101 would change the protocol, which was not asked for.
        const auto status = this->response->parser.statusCode;
        interim = status / 100 == 1 && status != 101;
    }
    if (!this->checkHead()) {
        co_return;
    }
    const bool whole = co_await this->readBody();
    if (whole) {
        this->complete();
    }
}

Task<bool> Attempt::readHead()
{
    for (;;) {
        const auto state = this->response->takeHead(this->connection->buffer, MaxAnswerHeadBytes);
        const bool begun = state == HeadState::Complete || mayBeginAnswer(asView(this->connection->buffer));
        if (state == HeadState::Complete && !this->response->bodyOverLimit) {
            co_return true;
        }
        if (state != HeadState::Incomplete || !begun) {
            this->fail(Health::Cause::Malformed);
            co_return false;
        }
        if (!(co_await this->readMore())) {
            co_return false;
        }
    }
}

Task<bool> Attempt::readMore()
{
    ErrorCode error;
    auto &buffer = this->connection->buffer;
    const bool large = this->headReported;
    const auto size = co_await this->connection->socket.async_read_some(
        buffer.prepare(large ? LargeReadBytes : SmallReadBytes), asio::redirect_error(UseTask, error));
    buffer.commit(size);
    if (this->stopped()) {
        co_return false;
    }
    // Only an orderly end of the connection ends an answer without a length; a reset one is truncated.
    const bool endsAnswer = error == asio::error::eof && !this->timedOut && this->response->parser.is_header_done()
                            && this->response->parser.need_eof();
    if (endsAnswer) {
        ErrorCode finishing;
        this->response->parser.put_eof(finishing);
        if (!finishing) {
            co_return true;
        }
    }
    if (error || this->timedOut) {
        this->fail(this->readFailure(error));
        co_return false;
    }
    co_return true;
}

bool Attempt::belongsToRequest() const
{
    const auto &dialect = this->host->dialect();
    const auto &fields = this->response->parser.fields;
    if (!dialect.attemptId.empty()) {
        return !this->order.echoesAttemptId || singleField(fields, dialect.attemptId) == this->idText;
    }
    const auto echoed = singleField(fields, dialect.requestId);
    // A rejection may come from a server that did not read as far as the id.
    return echoed ? *echoed == this->exchange->requestIdText : this->response->parser.statusCode >= FirstErrorStatus;
}

bool Attempt::checkHead()
{
    const auto &parser = this->response->parser;
    unsigned lengths = 0;
    unsigned codings = 0;
    bool knownCoding = true;
    for (const auto &field : parser.fields) {
        lengths += field.name == http::field::content_length ? 1 : 0;
        if (field.name == http::field::transfer_encoding) {
            ++codings;
            knownCoding = knownCoding && equalsIgnoringCase(field.value, "chunked");
        }
    }
    if (lengths + codings > 1 || !knownCoding || parser.statusCode == 101) {
        this->fail(Health::Cause::Malformed);
        return false;
    }
    // Checked before the length, because an answer to another request proves that the connection is out of step.
    if (!this->belongsToRequest()) {
        this->fail(Health::Cause::Mismatched);
        return false;
    }
    if (parser.need_eof() && !this->host->dialect().answersMayEndWithConnection) {
        // The end of the connection does not tell a whole answer from a truncated one.
        this->fail(Health::Cause::Truncated);
        return false;
    }
    return true;
}

Task<bool> Attempt::readBody()
{
    auto &parser = this->response->parser;
    const auto length = parser.content_length();
    const bool tooLongToHold = !parser.is_done() && length && *length > this->order.holdBackBytes;
    for (;;) {
        if (this->response->takeBody(this->connection->buffer)) {
            this->fail(Health::Cause::Malformed);
            co_return false;
        }
        if (!this->headReported && !parser.is_done()
            && (tooLongToHold || this->body.size() > this->order.holdBackBytes)) {
            this->headReported = true;
            this->timer.set(this->order.deadline);
            this->host->answerHeadReceived(*this, parser.statusCode, this->answerFlag(this->host->dialect().draining));
        }
        if (this->headReported) {
            const bool forwarded = co_await this->forwardPiece(parser.is_done());
            if (!forwarded) {
                co_return false;
            }
        }
        if (parser.is_done()) {
            co_return true;
        }
        this->limitTo(this->order.firstByteTimeout);
        if (!(co_await this->readMore())) {
            co_return false;
        }
    }
}

Task<bool> Attempt::forwardPiece(bool last)
{
    while (!this->forwarding && !this->exchange->decision && !this->stopped()) {
        co_await this->forwardAllowed.wait();
    }
    if (this->stopped()) {
        co_return false;
    }
    if (this->exchange->decision) {
        this->body.clear();
        co_return true;
    }
    if (this->exchange->capture) {
        this->capturePiece(*this->exchange->capture);
        co_return true;
    }
    // The caller's pace must not count against the upstream, so only the deadline holds while writing.
    this->timer.set(this->order.deadline);
    const auto framing = this->answerFraming();
    auto &caller = *this->exchange->caller;
    this->outgoing.clear();
    if (!this->headForwarded) {
        this->headForwarded = true;
        this->exchange->headForwarded = true;
        appendResponseHead(
            this->outgoing, this->response->parser, this->host->dialect(), framing, caller.closesAfterAnswer());
    }
    if (framing.kind == BodyFraming::Kind::Chunked) {
        appendChunk(this->outgoing, this->body);
        this->outgoing.append(last ? LastChunk : std::string_view());
    } else {
        this->outgoing.append(this->body);
    }
    this->body.clear();
    const bool written = co_await caller.write(this->outgoing);
    if (this->stopped()) {
        co_return false;
    }
    if (!written) {
        this->host->callerGone(*this->exchange);
    }
    // Without a caller the answer is read to its end, unless the reducer cancelled the attempt.
    co_return !this->stopped();
}

void Attempt::capturePiece(Capture &capture)
{
    if (!this->headForwarded) {
        this->headForwarded = true;
        this->exchange->headForwarded = true;
        capture.streamed.status = this->response->parser.statusCode;
        capture.streamed.headers = endToEndFields(this->response->parser, this->host->dialect());
    }
    if (capture.streamed.body.size() + this->body.size() > MaxKeyedBytes) {
        capture.tooLong = true;
        capture.streamed.body.clear();
    }
    if (!capture.tooLong) {
        capture.streamed.body.append(this->body);
    }
    this->body.clear();
}

Keys::StoredAnswer Attempt::heldAnswer() const
{
    const auto &parser = this->response->parser;
    return {.status = parser.statusCode, .headers = endToEndFields(parser, this->host->dialect()), .body = this->body};
}

void Attempt::complete()
{
    this->timer.clear();
    this->finished = true;
    this->answerComplete = true;
    this->answeredAt = monotonicNow();
    this->releaseConnection();
    const auto status = this->response->parser.statusCode;
    const bool notRun = this->answerFlag(this->host->dialect().notRun) || status == MisdirectedStatus;
    if (this->host->dialect().statusesPromiseNotRun && promisesNotRun(status) && !notRun && !this->headReported) {
        // The caller would take the status for a proof that the upstream did not give.
        this->host->attemptFailed(*this, Health::Cause::ServerError, false);
        return;
    }
    this->host->attemptCompleted(
        *this, this->response->parser.statusCode, notRun, this->answerFlag(this->host->dialect().draining));
}

void Attempt::releaseConnection()
{
    const auto &parser = this->response->parser;
    const bool inStep = this->requestWritten && this->connection->buffer.size() == 0;
    if (!this->timedOut && inStep && parser.httpVersion == 11 && parser.keep_alive()) {
        this->host->pool().putBack(*this->peer, std::move(this->connection), this->answeredAt);
        return;
    }
    // The object stays, because an upload may still be writing to it.
    this->connection->close();
    this->host->metrics().countClosed(CloseReason::NotReusable);
}

void Attempt::startForwarding()
{
    this->forwarding = true;
    this->forwardAllowed.notify();
}

BodyFraming Attempt::answerFraming() const
{
    const auto &parser = this->response->parser;
    const auto length = parser.content_length();
    const auto status = parser.statusCode;
    if (this->exchange->request.headMethod || status == 304) {
        return length ? BodyFraming{.kind = BodyFraming::Kind::Length, .length = *length} : BodyFraming{};
    }
    if (status == 204) {
        return {};
    }
    if (this->headReported) {
        return length ? BodyFraming{.kind = BodyFraming::Kind::Length, .length = *length}
                      : BodyFraming{.kind = BodyFraming::Kind::Chunked};
    }
    return {.kind = BodyFraming::Kind::Length, .length = this->body.size()};
}

void Attempt::appendHeldAnswer(std::string &out, bool close) const
{
    appendResponseHead(out, this->response->parser, this->host->dialect(), this->answerFraming(), close);
    out.append(this->body);
}

bool Attempt::answerFlag(std::string_view name) const
{
    const auto value = singleField(this->response->parser.fields, name);
    return value && !equalsIgnoringCase(*value, "false");
}

void Attempt::fail(Health::Cause cause)
{
    if (this->stopped()) {
        return;
    }
    this->finished = true;
    this->timer.clear();
    if (this->connection) {
        this->connection->close();
        this->host->metrics().countClosed(CloseReason::NotReusable);
    }
    if (cause == Health::Cause::SilentConnection && this->timedOut) {
        this->host->pool().closeUnproven(*this->peer, this->startedWritingAt);
    }
    this->host->attemptFailed(*this, cause, this->bytesWritten == 0);
}

Health::Cause Attempt::readFailure(ErrorCode error) const
{
    const bool answerBegun = this->connection->buffer.size() > 0 || !this->response->headText.empty();
    if (this->timedOut) {
        return answerBegun ? Health::Cause::Timeout : this->silenceCause();
    }
    if (answerBegun) {
        return Health::Cause::Truncated;
    }
    const bool closing
        = error == asio::error::eof || error == asio::error::connection_reset || error == asio::error::broken_pipe;
    const auto since = this->requestWritten ? this->writtenAt : this->startedWritingAt;
    const bool idleRace = closing && this->connection->reused && monotonicNow() - since <= IdleCloseRace;
    return idleRace ? Health::Cause::SilentConnection : Health::Cause::Reset;
}

Health::Cause Attempt::silenceCause() const
{
    if (!this->connection->reused) {
        return Health::Cause::Timeout;
    }
    const bool longIdle = this->startedWritingAt - this->connection->lastAnswerAt > LongIdle;
    // A connection opened later than this one that answered meanwhile shows that the upstream itself works.
    const bool newerAnswers = this->peer->newestOpenedAt > this->connection->openedAt
                              && this->peer->newestAnsweredAt > this->startedWritingAt;
    return longIdle || newerAnswers ? Health::Cause::SilentConnection : Health::Cause::Timeout;
}

} // namespace Verbenadock::Proxy::internal
