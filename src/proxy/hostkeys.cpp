// Member functions of Host that handle requests with an idempotency key.
#include "attempt.h"
#include "host.h"
#include "verbenadock/bundle/record.h"
#include "verbenadock/bundle/signature.h"

#include <algorithm>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr unsigned BadRequestStatus = 400;
constexpr unsigned GatewayTimeoutStatus = 504;
// Keys stay in memory for the whole idempotency window, so their size is bounded; a UUID has 36 bytes.
constexpr std::size_t MaxKeyBytes = 256;

CapturedAnswer capturedAnswer(Keys::StoredAnswer answer)
{
    return {.result = Keys::ExecutionResult::Answered,
            .answer = {.kind = Control::KeyAnswerKind::Answered, .answer = std::move(answer), .reason = {}}};
}

CapturedAnswer capturedFailure(Keys::ExecutionResult result, std::string reason)
{
    CapturedAnswer captured{.result = result, .answer = {}};
    captured.answer.answer.status = GatewayTimeoutStatus;
    captured.answer.reason = std::move(reason);
    return captured;
}

CapturedAnswer capturedLocalAnswer(const Core::RespondLocally &decision)
{
    const bool notRun = decision.outcome == Core::Outcome::NotRun;
    auto captured = capturedFailure(notRun ? Keys::ExecutionResult::NotRun : Keys::ExecutionResult::Unknown,
                                    std::string(Core::toString(decision.refusal)));
    captured.answer.kind = notRun ? Control::KeyAnswerKind::NotRun : Control::KeyAnswerKind::Unknown;
    captured.answer.answer.status = decision.status;
    captured.answer.retryAfterSeconds
        = static_cast<unsigned>(std::chrono::ceil<std::chrono::seconds>(decision.retryAfter).count());
    return captured;
}

CapturedAnswer captureDecision(Exchange &exchange)
{
    if (const auto *held = std::get_if<ForwardBuffered>(&*exchange.decision)) {
        return capturedAnswer(held->attempt->bufferedAnswer());
    }
    if (const auto *decision = std::get_if<Core::RespondLocally>(&*exchange.decision)) {
        return capturedLocalAnswer(*decision);
    }
    if (std::holds_alternative<AnswerStreamed>(*exchange.decision)) {
        return exchange.capture->answerTooLong ? capturedFailure(Keys::ExecutionResult::Answered, "answer-not-kept")
                                               : capturedAnswer(std::move(exchange.capture->streamedAnswer));
    }
    return capturedFailure(Keys::ExecutionResult::Unknown,
                           std::string(Core::toString(Core::RejectionReason::OutcomeUnknown)));
}

} // namespace

bool Host::beginKeyedRequest(Exchange &exchange)
{
    const auto &request = exchange.request;
    if (!this->keyHost || !request.idempotencyKey) {
        return false;
    }
    const auto scope = this->reducer.keyScope(request.host, exchange.parser->methodText, request.target);
    if (!scope) {
        return false;
    }
    if (request.idempotencyKey->empty() || request.idempotencyKey->size() > MaxKeyBytes) {
        KeyAnswer rejected{.kind = Control::KeyAnswerKind::NotRun, .answer = {}, .reason = "bad-idempotency-key"};
        rejected.answer.status = BadRequestStatus;
        this->decide(exchange, std::move(rejected));
        return true;
    }
    exchange.keyed = KeyedRequest{.key = {.bundle = scope->bundle, .value = std::string(*request.idempotencyKey)},
                                  .bodyLimit = std::min(scope->replayBytes, MaxKeyedBytes)};
    if (exchange.bodyReady) {
        this->submitKeyedRequest(exchange);
    }
    return true;
}

void Host::submitKeyedRequest(Exchange &exchange)
{
    if (exchange.decision) {
        return;
    }
    if (exchange.bodyStreams) {
        // Only a complete body can be compared with the body of an earlier request and be forwarded to the key's owner.
        this->decide(exchange, RejectBody{.reason = BadRequest::BodyTooLarge, .mayHaveRun = false});
        return;
    }
    KeyedWork work{.key = exchange.keyed->key,
                   .fingerprint = {.method = std::string(exchange.parser->methodText),
                                   .target = std::string(exchange.request.target),
                                   .bodyDigest = Bundles::contentDigest(exchange.body)},
                   .callerAddress = exchange.caller->peerAddress(),
                   .requestId = exchange.requestIdText,
                   .head = *exchange.headText,
                   .body = std::move(exchange.body)};
    this->keyHost->submit(exchange.id, std::move(work));
}

void Host::runCaptured(const KeyedWork &work, std::function<void(CapturedAnswer)> done)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->capture = std::make_unique<Capture>();
    auto &capture = *exchange->capture;
    Buffer buffer;
    const auto room = buffer.prepare(work.head.size());
    buffer.commit(asio::buffer_copy(room, asio::buffer(work.head)));
    capture.message.parser.body_limit(boost::none);
    const auto state = capture.message.parseHead(buffer, work.head.size());
    auto checked = state == HeadState::Complete ? checkRequest(capture.message.parser) : CheckResult();
    auto *request = std::get_if<CheckedRequest>(&checked);
    if (state != HeadState::Complete || request == nullptr) {
        auto rejected = capturedLocalAnswer(
            Core::RespondLocally{.request = 0, .status = BadRequestStatus, .refusal = Core::RejectionReason::NoRoute});
        rejected.answer.reason = "malformed-head";
        done(std::move(rejected));
        return;
    }
    exchange->request = std::move(*request);
    exchange->parser = &capture.message.parser;
    exchange->headText = &capture.message.headText;
    exchange->requestIdText = work.requestId;
    exchange->body = work.body;
    // The body is complete, so its actual size replaces the announced length.
    exchange->request.bodyBytes = work.body.size();
    exchange->bodyReady = true;
    exchange->id = this->nextRequestId();
    exchange->arrivedAt = monotonicNow();
    exchange->bodyReadyAt = exchange->arrivedAt;
    capture.callerAddress = work.callerAddress;
    capture.done = std::move(done);
    this->exchanges.emplace(exchange->id, exchange);
    this->apply(makeArrivalEvent(*exchange, capture.callerAddress, this->options.dialect));
}

void Host::finishCapture(RequestId id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end() || this->stopped) {
        return;
    }
    const auto exchange = found->second;
    auto captured = captureDecision(*exchange);
    const auto done = std::move(exchange->capture->done);
    done(std::move(captured));
    this->removeExchange(*exchange);
}

void Host::answerKeyedRequest(RequestId id, KeyAnswer answer)
{
    if (auto *exchange = this->findExchange(id)) {
        this->decide(*exchange, std::move(answer));
    }
}

RequestId Host::nextRequestId()
{
    return ++this->lastRequest;
}

void Host::keyHandlingStopped()
{
    this->terminateWhenDone();
}

KeyHost *Host::keys()
{
    return this->keyHost.get();
}

} // namespace Verbenadock::Proxy::internal
