// Attempt: reading and forwarding the answer.
#include "announcement.h"
#include "attempt.h"
#include "callerconnection.h"
#include "host.h"

#include <boost/asio/redirect_error.hpp>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr unsigned FirstErrorStatus = 400;
constexpr unsigned FirstStatus = 100;
constexpr unsigned LastStatus = 599;
constexpr unsigned SwitchingProtocols = 101;

constexpr std::size_t MaxAnswerHeadBytes = 65536;
// Limits the 1xx answers, which are dropped. An upstream sends at most a 100 and some 103 (early hints).
constexpr unsigned MaxInterimAnswers = 8;
// Bounds the answers of one connection that wait for their turn: one of the largest usual downloads (540 KB) and some
// smaller ones.
constexpr std::size_t MaxWaitingAnswerBytes = 1048576;
constexpr std::size_t SmallReadBytes = 4096;
constexpr std::size_t LargeReadBytes = 65536;

// When an upstream closes an idle connection while a request is in transit, the reset arrives within a round trip. A
// later reset was caused by the request.
constexpr Duration IdleCloseRaceWindow = std::chrono::milliseconds(50);

// Connections idle for longer may have been dropped by the network without a FIN or RST.
constexpr Duration LongIdleTime = std::chrono::seconds(1);

} // namespace

bool impliesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

Task<void> Attempt::receive()
{
    bool interim = true;
    for (unsigned heads = 0; interim; ++heads) {
        if (heads > MaxInterimAnswers) {
            this->fail(Health::Cause::Malformed);
            co_return;
        }
        this->response.emplace();
        this->response->parser.bodySink = &this->body;
        this->response->parser.body_limit(this->host->limits().maxAnswerBytes);
        this->response->parser.skip(this->exchange->request.headMethod);
        const bool headRead = co_await this->readHead();
        if (!headRead) {
            co_return;
        }
        // Interim answers precede the final one. 101 is no interim answer, and no protocol upgrade was requested.
        const auto status = this->response->parser.statusCode;
        interim = status / 100 == 1 && status != SwitchingProtocols;
        if (interim && this->answerIdMatches()) {
            this->reportAnnouncement();
        }
        if (this->stopped()) {
            co_return;
        }
    }
    if (!this->checkHead()) {
        co_return;
    }
    this->reportAnnouncement();
    if (this->stopped()) {
        co_return;
    }
    const bool bodyRead = co_await this->readBody();
    if (bodyRead) {
        this->complete();
    }
}

Task<bool> Attempt::readHead()
{
    for (;;) {
        const auto state = this->response->parseHead(this->connection->buffer, MaxAnswerHeadBytes);
        const bool startsLikeHttp = state == HeadState::Complete || mayBeginAnswer(asView(this->connection->buffer));
        if (state == HeadState::Complete && !this->response->bodyOverLimit) {
            co_return true;
        }
        if (state != HeadState::Incomplete || !startsLikeHttp) {
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
    const bool large = this->headReported && !this->memoryLimits();
    const auto size = co_await this->connection->socket.async_read_some(
        buffer.prepare(large ? LargeReadBytes : SmallReadBytes), asio::redirect_error(UseTask, error));
    buffer.commit(size);
    if (this->stopped()) {
        co_return false;
    }
    // An answer without a length ends with an orderly close of the connection; after a reset the answer is truncated.
    // A failed write of the request takes the error of the reset, so that the read reports an orderly close.
    const bool endsAnswer = error == asio::error::eof && !this->timedOut && this->requestWritten
                            && this->response->parser.is_header_done() && this->response->parser.need_eof();
    if (endsAnswer) {
        ErrorCode eofError;
        this->response->parser.put_eof(eofError);
        if (!eofError) {
            co_return true;
        }
    }
    if (error || this->timedOut) {
        this->fail(this->readFailureCause(error));
        co_return false;
    }
    co_return true;
}

bool Attempt::answerIdMatches() const
{
    const auto &dialect = this->host->dialect();
    const auto &fields = this->response->parser.fields;
    if (!dialect.attemptId.empty()) {
        return !this->parameters.echoesAttemptId || singleField(fields, dialect.attemptId) == this->idText;
    }
    const auto echoed = singleField(fields, dialect.requestId);
    if (echoed) {
        return *echoed == this->exchange->requestIdText;
    }
    // A server may reject a request before it read the id. On a connection that was used before, such an answer may
    // belong to an earlier request.
    return !this->connection->reused && this->response->parser.statusCode >= FirstErrorStatus;
}

bool Attempt::statesNotRun() const
{
    const auto &dialect = this->host->dialect();
    // Without an id the refusal may belong to an earlier request on the connection.
    const bool identified = dialect.attemptId.empty() || this->parameters.echoesAttemptId || !this->connection->reused;
    return identified && (this->hasFlagField(dialect.notRun) || this->response->parser.statusCode == MisdirectedStatus);
}

bool Attempt::promisesWithoutProof() const
{
    return this->host->dialect().statusesImplyNotRun && impliesNotRun(this->response->parser.statusCode)
           && !this->statesNotRun();
}

bool Attempt::checkHead()
{
    const auto &parser = this->response->parser;
    unsigned lengthFields = 0;
    unsigned codingFields = 0;
    bool onlyChunked = true;
    for (const auto &field : parser.fields) {
        lengthFields += field.name == http::field::content_length ? 1 : 0;
        if (field.name == http::field::transfer_encoding) {
            ++codingFields;
            onlyChunked = onlyChunked && equalsIgnoringCase(field.value, "chunked");
        }
    }
    const bool hasValidStatus = parser.statusCode >= FirstStatus && parser.statusCode <= LastStatus
                                && parser.statusCode != SwitchingProtocols;
    if (lengthFields + codingFields > 1 || !onlyChunked || !hasValidStatus) {
        this->fail(Health::Cause::Malformed);
        return false;
    }
    // Checked before the length, because an answer to another request proves that requests and answers no longer match.
    if (!this->answerIdMatches()) {
        this->fail(Health::Cause::Mismatched);
        return false;
    }
    if (parser.need_eof() && !this->host->dialect().answersMayEndWithConnection) {
        // The end of the connection cannot distinguish a complete answer from a truncated one.
        this->fail(Health::Cause::Truncated);
        return false;
    }
    return true;
}

void Attempt::reportAnnouncement()
{
    const auto &parser = this->response->parser;
    if (parser.statusCode == MisdirectedStatus) {
        // Another instance than the selected one speaks for itself.
        return;
    }
    const auto reading = readAnnouncement(parser.fields, parser.statusCode, this->host->dialect());
    if (reading != AnnouncementReading{}) {
        this->host->announcementReceived(*this, reading);
    }
}

Task<bool> Attempt::readBody()
{
    auto &parser = this->response->parser;
    for (;;) {
        if (this->response->parseBody(this->connection->buffer)) {
            this->fail(Health::Cause::Malformed);
            co_return false;
        }
        this->countHeldAnswer();
        if (!this->headReported && !parser.is_done() && this->holdsEnough()) {
            if (this->statesNotRun() || this->promisesWithoutProof()) {
                // Such an answer is never forwarded, so that the rest of its body is not needed.
                co_return true;
            }
            this->headReported = true;
            this->exchange->memoryLimited = this->exchange->memoryLimited || this->memoryLimits();
            this->timer.set(this->parameters.deadline);
            this->host->answerHeadReceived(*this, parser.statusCode);
        }
        if (this->headReported) {
            const bool forwarded = co_await this->forwardBodyPart(parser.is_done());
            if (!forwarded) {
                co_return false;
            }
        }
        if (parser.is_done()) {
            co_return true;
        }
        this->setTimeout(this->parameters.firstByteTimeout);
        if (!(co_await this->readMore())) {
            co_return false;
        }
    }
}

bool Attempt::holdsEnough() const
{
    const auto *caller = this->exchange->caller.get();
    if (caller != nullptr && !caller->isFirst(*this->exchange)) {
        // A long answer that waits for its turn is read as far as the connection may hold, so that its upstream is
        // released and a failure can still be retried.
        return caller->waitingAnswerBytes() > MaxWaitingAnswerBytes || this->memoryLimits();
    }
    const auto length = this->response->parser.content_length();
    return (length && *length > this->parameters.holdBackBytes) || this->body.size() > this->parameters.holdBackBytes
           || this->memoryLimits();
}

bool Attempt::memoryLimits() const
{
    return this->exchange->caller && this->host->heldBytes()->exhausted();
}

void Attempt::countHeldAnswer()
{
    // The buffer of the connection is as large as the longest read.
    const bool hasLargeBuffer = this->headReported && this->connection;
    this->answerCharge.set(this->body.size() + this->outgoing.size()
                           + (hasLargeBuffer ? this->connection->buffer.capacity() : 0));
}

bool Attempt::mayForward() const
{
    const auto *caller = this->exchange->caller.get();
    return this->forwarding && (caller == nullptr || caller->isFirst(*this->exchange));
}

Task<bool> Attempt::forwardBodyPart(bool last)
{
    while (!this->mayForward() && !this->exchange->decision && !this->stopped()) {
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
        this->captureBodyPart(*this->exchange->capture);
        co_return true;
    }
    // A slow caller must not count against the upstream, so only the deadline applies while writing.
    this->timer.set(this->parameters.deadline);
    const auto framing = this->answerFraming();
    auto &caller = *this->exchange->caller;
    this->outgoing.clear();
    if (!this->headForwarded) {
        this->headForwarded = true;
        this->exchange->headForwarded = true;
        appendResponseHead(this->outgoing,
                           this->response->parser,
                           this->host->dialect(),
                           framing,
                           caller.decideClose(*this->exchange));
    }
    if (framing.kind == BodyFraming::Kind::Chunked) {
        appendChunk(this->outgoing, this->body);
        this->outgoing.append(last ? LastChunk : std::string_view());
    } else if (this->outgoing.empty()) {
        this->outgoing.swap(this->body);
    } else {
        this->outgoing.append(this->body);
    }
    this->body.clear();
    this->countHeldAnswer();
    const bool written = co_await caller.write(this->outgoing);
    this->outgoing.clear();
    if (this->stopped()) {
        co_return false;
    }
    if (!written) {
        this->host->callerGone(*this->exchange);
    }
    // After the caller disconnected the answer is read to its end, unless the reducer cancelled the attempt.
    co_return !this->stopped();
}

void Attempt::captureBodyPart(Capture &capture)
{
    if (!this->headForwarded) {
        this->headForwarded = true;
        this->exchange->headForwarded = true;
        capture.streamedAnswer.status = this->response->parser.statusCode;
        capture.streamedAnswer.headers = endToEndFields(this->response->parser, this->host->dialect());
    }
    if (capture.streamedAnswer.body.size() + this->body.size() > MaxKeyedBytes) {
        capture.answerTooLong = true;
        capture.streamedAnswer.body.clear();
    }
    if (!capture.answerTooLong) {
        capture.streamedAnswer.body.append(this->body);
    }
    this->body.clear();
}

Keys::StoredAnswer Attempt::bufferedAnswer() const
{
    const auto &parser = this->response->parser;
    return {.status = parser.statusCode, .headers = endToEndFields(parser, this->host->dialect()), .body = this->body};
}

void Attempt::complete()
{
    this->timer.clear();
    this->finished = true;
    this->answerComplete = true;
    this->transitCharge.clear();
    this->answeredAt = monotonicNow();
    const bool notRun = this->statesNotRun();
    const bool isFalsePromise = this->promisesWithoutProof();
    this->releaseConnection();
    if (isFalsePromise) {
        this->host->attemptFailed(*this, Health::Cause::ServerError, false);
        return;
    }
    this->host->attemptCompleted(*this, this->response->parser.statusCode, notRun);
}

void Attempt::releaseConnection()
{
    const auto &parser = this->response->parser;
    const bool nothingPending = this->requestWritten && parser.is_done() && this->connection->buffer.size() == 0;
    if (!this->timedOut && nothingPending && parser.httpVersion == 11 && parser.keep_alive()) {
        this->host->pool().putBack(*this->peer, std::move(this->connection), this->answeredAt);
        return;
    }
    // The connection object is kept, because an upload may still be writing to it.
    this->connection->close();
    this->host->metrics().countClosed(CloseReason::NotReusable);
}

void Attempt::turnReached()
{
    this->forwardAllowed.notify();
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

void Attempt::takeBufferedAnswer(std::string &out, bool close)
{
    appendResponseHead(out, this->response->parser, this->host->dialect(), this->answerFraming(), close);
    out.append(this->body);
    this->body = std::string();
    this->answerCharge.set(0);
}

bool Attempt::hasFlagField(std::string_view name) const
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
    this->transitCharge.clear();
    this->timer.clear();
    if (this->connection) {
        this->connection->close();
        this->host->metrics().countClosed(CloseReason::NotReusable);
    }
    if (cause == Health::Cause::StaleConnection && this->timedOut) {
        this->host->pool().closeUnansweredSince(*this->peer, this->startedWritingAt);
    }
    this->host->attemptFailed(*this, cause, this->bytesWritten == 0);
}

Health::Cause Attempt::readFailureCause(ErrorCode error) const
{
    const bool answerBegun = this->connection->buffer.size() > 0 || !this->response->headText.empty();
    if (this->timedOut) {
        return answerBegun ? Health::Cause::Timeout : this->timeoutCause();
    }
    if (answerBegun) {
        return Health::Cause::Truncated;
    }
    const bool closing
        = error == asio::error::eof || error == asio::error::connection_reset || error == asio::error::broken_pipe;
    const auto since = this->requestWritten ? this->writtenAt : this->startedWritingAt;
    const bool idleRace = closing && this->connection->reused && monotonicNow() - since <= IdleCloseRaceWindow;
    return idleRace ? Health::Cause::StaleConnection : Health::Cause::Reset;
}

Health::Cause Attempt::timeoutCause() const
{
    if (!this->connection->reused) {
        return Health::Cause::Timeout;
    }
    const bool longIdle = this->startedWritingAt - this->connection->lastAnswerAt > LongIdleTime;
    // An answer on a newer connection in the meantime shows that the upstream works and only this connection is broken.
    const bool newerAnswers = this->peer->newestOpenedAt > this->connection->openedAt
                              && this->peer->newestAnsweredAt > this->startedWritingAt;
    return longIdle || newerAnswers ? Health::Cause::StaleConnection : Health::Cause::Timeout;
}

} // namespace Verbenadock::Proxy::internal
