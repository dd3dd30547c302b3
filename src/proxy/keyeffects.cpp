// The part of KeyHost that carries out effects.
#include "host.h"
#include "keyhost.h"

namespace Verbenadock::Proxy::internal {

namespace {

constexpr unsigned Unprocessable = 422;
constexpr unsigned ServiceUnavailable = 503;
constexpr unsigned GatewayTimeout = 504;
// Many requests may name the same new epoch before it arrives.
constexpr Duration WantInterval = std::chrono::milliseconds(100);

KeyAnswer refusal(const Keys::Refuse &effect)
{
    const bool notRun = effect.outcome == Keys::Outcome::NotRun;
    KeyAnswer answer{.kind = notRun ? Control::KeyAnswerKind::NotRun : Control::KeyAnswerKind::Unknown,
                     .answer = {},
                     .reason = std::string(Keys::toString(effect.reason))};
    const bool reused = effect.reason == Keys::Reason::KeyReused;
    answer.answer.status = reused ? Unprocessable : (notRun ? ServiceUnavailable : GatewayTimeout);
    answer.retryAfterSeconds = notRun && !reused ? 1 : 0;
    return answer;
}

} // namespace

void KeyHost::carryOut(const Keys::Execute &effect)
{
    const auto request = effect.request;
    const auto found = this->open.find(request);
    if (found == this->open.end()) {
        this->apply(Keys::ExecutionEnded{
            .at = monotonicNow(), .request = request, .result = Keys::ExecutionResult::NotRun, .answer = {}});
        return;
    }
    const auto work = std::move(found->second.work);
    this->host.runCaptured(work, [weak = this->weak_from_this(), request](CapturedAnswer captured) {
        const auto held = weak.lock();
        if (!held) {
            return;
        }
        Keys::ExecutionEnded ended{
            .at = monotonicNow(), .request = request, .result = captured.result, .answer = std::nullopt};
        if (captured.answer.kind == Control::KeyAnswerKind::Answered) {
            ended.answer = captured.answer.answer;
        }
        held->deliver(request, std::move(captured.answer));
        held->apply(std::move(ended));
    });
}

void KeyHost::carryOut(const Keys::Forward &effect)
{
    const auto found = this->open.find(effect.request);
    if (found == this->open.end()) {
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
    this->deliver(effect.request, refusal(effect));
}

void KeyHost::carryOut(const Keys::RefuseForward &effect)
{
    const auto found = this->open.find(effect.request);
    if (found == this->open.end()) {
        return;
    }
    const auto opened = std::move(found->second);
    this->open.erase(found);
    if (opened.from) {
        opened.from->requests.erase(effect.request);
        this->links->answer(opened.from,
                            Control::KeyForwardAnswer{.id = opened.sentAs,
                                                      .kind = Control::KeyAnswerKind::NotOwner,
                                                      .epoch = effect.epoch,
                                                      .headers = {},
                                                      .body = {},
                                                      .reason = {}});
    }
}

void KeyHost::carryOut(const Keys::SendFence &effect)
{
    this->links->askFence(effect.member, effect.request);
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
    const bool due = effect.epoch > this->wantedEpoch || now - this->wantedAt >= WantInterval;
    if (this->epochWanted && due) {
        this->wantedEpoch = effect.epoch;
        this->wantedAt = now;
        this->epochWanted(effect.epoch);
    }
}

void KeyHost::carryOut(const Keys::StopCompleted & /*effect*/)
{
    this->completed = true;
    asio::post(this->context, [weak = this->weak_from_this()] {
        const auto held = weak.lock();
        if (held && !held->closed) {
            held->host.keyHandlingStopped();
        }
    });
}

} // namespace Verbenadock::Proxy::internal
