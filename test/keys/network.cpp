#include "network.h"

#include <algorithm>

namespace Verbenadock::Keys::Test {

namespace {

constexpr Duration Window = std::chrono::minutes(10);
constexpr std::int64_t WallStartMs = 1'750'000'000'000;
/// Half of KeySettings::clockDifference for VMs and half for callers.
constexpr std::int64_t ClockErrorMs = 900;

} // namespace

Network::Network(std::uint64_t seed, std::size_t vms)
    : random(seed)
    , vmCount(vms)
{
    this->lossPercent = static_cast<unsigned>(this->choose(3) * 10);
    this->faultPercent = static_cast<unsigned>(2 + this->choose(4) * 4);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        this->restart();
    }
    this->appendEpoch();
}

std::size_t Network::choose(std::size_t count)
{
    return static_cast<std::size_t>(this->random() % count);
}

bool Network::chance(unsigned percent)
{
    return this->choose(100) < percent;
}

WallTime Network::wall(const std::string &vm)
{
    const auto skew = vm.empty() ? static_cast<std::int64_t>(this->choose(2 * ClockErrorMs)) - ClockErrorMs
                                 : (static_cast<std::int64_t>(vm.back()) % 3 - 1) * ClockErrorMs;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch()).count();
    return WallTime(std::chrono::milliseconds(WallStartMs + elapsed + skew));
}

Process *Network::findProcess(const MemberId &id)
{
    for (auto &process : this->processes) {
        if (process.id == id && process.alive) {
            return &process;
        }
    }
    return nullptr;
}

Process *Network::randomActiveProcess()
{
    std::vector<Process *> candidates;
    for (auto &process : this->processes) {
        if (process.alive && !process.paused) {
            candidates.push_back(&process);
        }
    }
    return candidates.empty() ? nullptr : candidates[this->choose(candidates.size())];
}

void Network::applyEvent(Process &process, const Event &event)
{
    for (const auto &effect : process.reducer->apply(event)) {
        this->carryOut(process, effect);
    }
}

void Network::send(const Process &from, const MemberId &to, decltype(Message::content) content)
{
    this->messages.push_back({.from = from.id, .to = to, .content = std::move(content)});
}

void Network::answerForwarded(Process &process, RequestId request, ForwardResult result, EpochNumber epoch)
{
    const auto found = process.forwardedHere.find(request);
    if (found == process.forwardedHere.end()) {
        return;
    }
    const auto origin = std::get<ForwardedRequest>(found->second.content).request;
    this->send(process,
               found->second.from,
               ForwardedAnswer{{.at = {}, .request = origin, .result = result, .peerEpoch = epoch}});
    process.forwardedHere.erase(found);
}

void Network::carryOut(Process &process, const Effect &effect)
{
    if (const auto *execute = std::get_if<Execute>(&effect)) {
        this->checkRun(execute->request);
        process.running.push_back(execute->request);
        ++this->executions;
    } else if (const auto *forward = std::get_if<Forward>(&effect)) {
        const auto key = this->requestKeys.at(forward->request);
        const KeyedRequestArrived arrival{.at = {},
                                          .wall = {},
                                          .request = 0,
                                          .key = key,
                                          .fingerprint = {"POST", "/claims", "digest"},
                                          .forwarding = Forwarding{forward->epoch, forward->owner.id()}};
        this->send(process, forward->owner.id(), ForwardedRequest{.request = forward->request, .arrival = arrival});
    } else if (const auto *replay = std::get_if<Replay>(&effect)) {
        ++this->replays;
        const auto &keyRuns = this->runs[this->requestKeys.at(replay->request)];
        const auto first = std::find_if(keyRuns.rbegin(), keyRuns.rend(), [](const Run &run) {
            return run.state == Run::State::Ran;
        });
        if (first == keyRuns.rend() || first->answer != replay->answer.body) {
            this->violation = "request " + std::to_string(replay->request) + " got another answer than the first";
        }
        this->answerForwarded(process, replay->request, ForwardResult::Relayed, 0);
    } else if (const auto *refuse = std::get_if<Refuse>(&effect)) {
        this->checkNotRun(refuse->request, *refuse);
        this->answerForwarded(process, refuse->request, ForwardResult::Relayed, 0);
    } else if (const auto *refuseForward = std::get_if<RefuseForward>(&effect)) {
        this->answerForwarded(process, refuseForward->request, ForwardResult::NotOwner, refuseForward->epoch);
    } else if (const auto *fence = std::get_if<SendFence>(&effect)) {
        this->send(process, fence->member.id(), fence->request);
    } else if (const auto *reply = std::get_if<SendFenceReply>(&effect)) {
        this->recordsFromPeers += reply->reply.record ? 1 : 0;
        this->send(process, reply->reply.to, reply->reply);
    } else if (const auto *part = std::get_if<SendHandOver>(&effect)) {
        this->send(process, part->member.id(), part->part);
    } else if (const auto *handOverAnswer = std::get_if<AnswerHandOver>(&effect)) {
        this->handOvers += handOverAnswer->accepted ? 1 : 0;
        this->send(process, handOverAnswer->to, HandOverAnswer{handOverAnswer->part});
    } else if (std::holds_alternative<StopCompleted>(effect)) {
        this->crash(process);
    }
}

void Network::deliver(const Message &message)
{
    auto *process = this->findProcess(message.to);
    if (process == nullptr || process->paused) {
        return;
    }
    if (const auto *forwarded = std::get_if<ForwardedRequest>(&message.content)) {
        auto arrival = forwarded->arrival;
        arrival.at = this->now;
        arrival.wall = this->wall(process->id.vm);
        arrival.request = ++this->lastRequest;
        this->requestKeys[arrival.request] = arrival.key;
        process->forwardedHere[arrival.request] = message;
        this->applyEvent(*process, arrival);
    } else if (const auto *answer = std::get_if<ForwardedAnswer>(&message.content)) {
        auto ended = answer->ended;
        ended.at = this->now;
        this->applyEvent(*process, ended);
    } else if (const auto *fence = std::get_if<FenceRequest>(&message.content)) {
        this->applyEvent(*process, FenceRequested{.at = this->now, .request = *fence});
    } else if (const auto *reply = std::get_if<FenceReply>(&message.content)) {
        this->applyEvent(*process, FenceReplied{.at = this->now, .reply = *reply});
    } else if (const auto *part = std::get_if<HandOverPart>(&message.content)) {
        this->applyEvent(*process, HandOverReceived{.at = this->now, .part = *part});
    } else if (const auto *handOverAnswer = std::get_if<HandOverAnswer>(&message.content)) {
        this->applyEvent(*process, HandOverEnded{.at = this->now, .to = message.from, .part = handOverAnswer->part});
    }
}

void Network::failMessage(const Message &message, bool lost)
{
    auto *sender = this->findProcess(message.from);
    if (sender == nullptr || sender->paused) {
        return;
    }
    if (const auto *forwarded = std::get_if<ForwardedRequest>(&message.content)) {
        const auto result = lost && this->chance(50) ? ForwardResult::NotSent : ForwardResult::Broken;
        this->applyEvent(*sender, ForwardEnded{this->now, forwarded->request, result, 0});
    } else if (const auto *fence = std::get_if<FenceRequest>(&message.content)) {
        this->applyEvent(*sender, FenceFailed{.at = this->now, .id = fence->id, .member = fence->to});
    } else if (const auto *part = std::get_if<HandOverPart>(&message.content)) {
        this->applyEvent(*sender, HandOverEnded{.at = this->now, .to = part->to, .part = part->part});
    }
}

void Network::checkRun(RequestId request)
{
    auto &keyRuns = this->runs[this->requestKeys.at(request)];
    for (const auto &run : keyRuns) {
        const bool recent = run.state == Run::State::Running || run.endedAt + Window > this->now;
        if (run.state != Run::State::NotRun && recent) {
            this->violation = "key " + this->requestKeys.at(request).value + " runs twice";
        }
    }
    if (this->refused.contains(request)) {
        this->violation = "request " + std::to_string(request) + " runs after it was refused";
    }
    keyRuns.push_back({.request = request, .answer = "answer to " + std::to_string(request)});
}

void Network::checkNotRun(RequestId request, const Refuse &refusal)
{
    this->refused.insert(request);
    if (refusal.outcome != Outcome::NotRun || refusal.reason == Reason::KeyReused) {
        return;
    }
    ++this->notRun;
    for (const auto &run : this->runs[this->requestKeys.at(request)]) {
        const bool recent = run.state == Run::State::Running || run.endedAt + Window > this->now;
        if (run.state != Run::State::NotRun && recent) {
            this->violation = "request " + std::to_string(request) + " is told not-run, but its key ran";
        }
    }
}

} // namespace Verbenadock::Keys::Test
