// Member functions of KeyHost that carry out effects.
#include "host.h"
#include "keyhost.h"

namespace Verbenadock::Proxy::internal {

namespace {

constexpr unsigned UnprocessableStatus = 422;
constexpr unsigned ServiceUnavailableStatus = 503;
constexpr unsigned GatewayTimeoutStatus = 504;
// Limits the requests for one epoch to the agent; many forwarded requests may name it before it arrives.
constexpr Duration EpochRequestInterval = std::chrono::milliseconds(100);

KeyAnswer makeRejection(const Keys::Refuse &effect)
{
    const bool notRun = effect.outcome == Keys::Outcome::NotRun;
    KeyAnswer answer{.kind = notRun ? Control::KeyAnswerKind::NotRun : Control::KeyAnswerKind::Unknown,
                     .answer = {},
                     .reason = std::string(Keys::toString(effect.reason))};
    const bool reused = effect.reason == Keys::Reason::KeyReused;
    answer.answer.status = reused ? UnprocessableStatus : (notRun ? ServiceUnavailableStatus : GatewayTimeoutStatus);
    answer.retryAfterSeconds = notRun && !reused ? 1 : 0;
    return answer;
}

} // namespace

void KeyHost::carryOut(const Keys::Execute &effect)
{
    const auto request = effect.request;
    const auto found = this->pendingRequests.find(request);
    if (found == this->pendingRequests.end()) {
        this->apply(Keys::ExecutionEnded{
            .at = monotonicNow(), .request = request, .result = Keys::ExecutionResult::NotRun, .answer = {}});
        return;
    }
    const auto work = std::move(found->second.work);
    this->host.runCaptured(work, [weak = this->weak_from_this(), request](CapturedAnswer captured) {
        const auto keyHost = weak.lock();
        if (!keyHost) {
            return;
        }
        Keys::ExecutionEnded ended{
            .at = monotonicNow(), .request = request, .result = captured.result, .answer = std::nullopt};
        if (captured.answer.kind == Control::KeyAnswerKind::Answered) {
            ended.answer = captured.answer.answer;
        }
        keyHost->deliver(request, std::move(captured.answer));
        keyHost->apply(std::move(ended));
    });
}

void KeyHost::carryOut(const Keys::Forward &effect)
{
    const auto found = this->pendingRequests.find(effect.request);
    if (found == this->pendingRequests.end()) {
        return;
    }
    const auto &work = found->second.work;
    this->links->forward(effect.owner,
                         Control::KeyForward{.id = effect.request,
                                             .to = effect.owner.id(),
                                             .epoch = effect.epoch,
                                             .key = work.key,
                                             .fingerprint = work.fingerprint,
                                             .callerAddress = work.callerAddress,
                                             .requestId = work.requestId,
                                             .head = work.head,
                                             .body = work.body});
}

void KeyHost::carryOut(const Keys::Replay &effect)
{
    this->deliver(effect.request,
                  KeyAnswer{.kind = Control::KeyAnswerKind::Replayed, .answer = effect.answer, .reason = {}});
}

void KeyHost::carryOut(const Keys::Refuse &effect)
{
    this->deliver(effect.request, makeRejection(effect));
}

void KeyHost::carryOut(const Keys::RefuseForward &effect)
{
    const auto found = this->pendingRequests.find(effect.request);
    if (found == this->pendingRequests.end()) {
        return;
    }
    const auto pending = std::move(found->second);
    this->pendingRequests.erase(found);
    if (pending.link) {
        pending.link->requests.erase(effect.request);
        this->links->answer(pending.link,
                            Control::KeyForwardAnswer{.id = pending.forwardId,
                                                      .kind = Control::KeyAnswerKind::NotOwner,
                                                      .epoch = effect.epoch,
                                                      .headers = {},
                                                      .body = {},
                                                      .reason = {}});
    }
}

void KeyHost::carryOut(const Keys::SendFence &effect)
{
    this->links->sendFence(effect.member, effect.request);
}

void KeyHost::carryOut(const Keys::SendFenceReply &effect)
{
    const auto found = this->fenceLinks.find({effect.reply.to, effect.reply.id});
    if (found == this->fenceLinks.end()) {
        return;
    }
    const auto link = found->second.lock();
    this->fenceLinks.erase(found);
    if (link) {
        this->links->answer(link, effect.reply);
    }
}

void KeyHost::carryOut(const Keys::SendHandOver &effect)
{
    this->links->handOver(effect.member, effect.part);
}

void KeyHost::carryOut(const Keys::AnswerHandOver &effect)
{
    const auto found = this->handOverLinks.find({effect.to, effect.part});
    if (found == this->handOverLinks.end()) {
        return;
    }
    const auto link = found->second.lock();
    this->handOverLinks.erase(found);
    if (link) {
        this->links->answer(link, Control::KeyHandOverAnswer{.part = effect.part, .accepted = effect.accepted});
    }
}

void KeyHost::carryOut(const Keys::FetchEpochs &effect)
{
    const auto now = monotonicNow();
    const bool due = effect.epoch > this->requestedEpoch || now - this->requestedAt >= EpochRequestInterval;
    if (this->epochMissing && due) {
        this->requestedEpoch = effect.epoch;
        this->requestedAt = now;
        this->epochMissing(effect.epoch);
    }
}

void KeyHost::carryOut(const Keys::StopCompleted & /*effect*/)
{
    this->completed = true;
    asio::post(this->context, [weak = this->weak_from_this()] {
        const auto keyHost = weak.lock();
        if (keyHost && !keyHost->closed) {
            keyHost->host.keyHandlingStopped();
        }
    });
}

} // namespace Verbenadock::Proxy::internal
