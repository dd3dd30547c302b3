#include "engine.h"

#include <algorithm>

namespace Verbenadock::Keys::Internal {

Engine::Engine(KeySettings initial)
    : settings(std::move(initial))
    , ownership(this->settings.self, this->settings.window)
    , table(this->settings.keyLimit, this->settings.answerBytesLimit)
{
}

Effects Engine::apply(const Event &event)
{
    this->effects.clear();
    std::visit(
        [this](const auto &specific) {
            this->now = std::max(this->now, specific.at);
            this->on(specific);
        },
        event);
    this->expire();
    this->continueStopping();
    return std::move(this->effects);
}

std::optional<TimePoint> Engine::nextDeadline() const
{
    std::optional<TimePoint> next = this->table.nextExpiry();
    const auto consider = [&](TimePoint at) {
        next = next ? std::min(*next, at) : at;
    };
    if (!this->questionDeadlines.empty()) {
        consider(this->questionDeadlines.begin()->first);
    }
    if (!this->epochDeadlines.empty()) {
        consider(this->epochDeadlines.begin()->first);
    }
    if (this->stopping && this->stopping->handedOver && !this->stopping->completed) {
        consider(this->stopping->deadline);
    }
    return next;
}

EpochNumber Engine::confirmedEpoch() const
{
    const auto newest = this->ownership.newest();
    return this->runningEpochs.empty() ? newest : std::min(newest, *this->runningEpochs.begin());
}

void Engine::on(const KeyedRequestArrived &event)
{
    this->requests[event.request] = {.key = event.key,
                                     .fingerprint = event.fingerprint,
                                     .wall = event.wall,
                                     .forwarded = event.forwarding.has_value(),
                                     .epochDeadline = std::nullopt};
    if (event.forwarding) {
        this->fetchIfNewer(event.forwarding->epoch);
        if (event.forwarding->to != this->settings.self) {
            this->refuseNotOwner(event.request);
            return;
        }
    }
    this->route(event.request);
}

void Engine::route(RequestId request)
{
    auto &open = this->requests.at(request);
    if (const auto *entry = this->table.find(open.key); entry != nullptr && entry->stage != Stage::Fenced) {
        // What is in the table is true whoever owns the key now.
        this->decideHere(request);
        return;
    }
    const auto *owner = this->ownership.owner(open.key);
    if (owner == nullptr) {
        this->refuse(request, Outcome::Unknown, Reason::NoEpoch);
    } else if (owner->id() == this->settings.self) {
        this->decideHere(request);
    } else if (open.forwarded) {
        this->refuseNotOwner(request);
    } else {
        open.sentUnder = this->ownership.newest();
        this->effects.emplace_back(Forward{.request = request, .owner = *owner, .epoch = open.sentUnder});
    }
}

void Engine::routeAgain(const std::vector<RequestId> &waiting)
{
    for (const auto request : waiting) {
        if (this->requests.contains(request)) {
            this->route(request);
        }
    }
}

void Engine::decideHere(RequestId request)
{
    auto *entry = this->table.find(this->requests.at(request).key);
    if (entry == nullptr || entry->stage == Stage::Fenced) {
        this->start(request, entry);
        return;
    }
    if (entry->fingerprint && *entry->fingerprint != this->requests.at(request).fingerprint) {
        this->refuse(request, Outcome::NotRun, Reason::KeyReused);
    } else if (entry->stage == Stage::Asking || entry->stage == Stage::Running) {
        entry->waiting.push_back(request);
    } else {
        this->answer(*entry, request);
    }
}

void Engine::start(RequestId request, Entry *entry)
{
    const auto open = this->requests.at(request);
    const bool fenced = entry != nullptr && entry->fence;
    if (fenced && entry->fence->epoch > this->ownership.newest()) {
        this->fetchIfNewer(entry->fence->epoch);
        this->refuseNotOwner(request);
        return;
    }
    const bool full = entry == nullptr && this->table.full();
    if (this->stopping || full) {
        // Only an owner that needs to ask nobody knows that the key never ran.
        const bool proved = !fenced && this->ownership.inquire(this->now, open.key, std::nullopt).empty();
        this->refuse(request,
                     proved ? Outcome::NotRun : Outcome::Unknown,
                     this->stopping ? Reason::Stopping : Reason::TableFull);
        return;
    }
    auto &asking = entry != nullptr ? *entry : *this->table.insert(open.key);
    this->table.keepForever(asking);
    asking.stage = Stage::Asking;
    asking.fingerprint = open.fingerprint;
    asking.wall = open.wall;
    asking.waiting = {request};
    this->ask(asking);
}

void Engine::answer(const Entry &entry, RequestId request)
{
    if (entry.stage == Stage::Answered && entry.answer) {
        this->effects.emplace_back(Replay{.request = request, .answer = *entry.answer});
        this->requests.erase(request);
        return;
    }
    const auto lost = entry.fingerprint ? Reason::OutcomeUnknown : Reason::EarlierOwnerGone;
    this->refuse(request, Outcome::Unknown, entry.stage == Stage::Answered ? Reason::AnswerNotKept : lost);
}

void Engine::refuse(RequestId request, Outcome outcome, Reason reason, bool requestNotRun)
{
    this->effects.emplace_back(
        Refuse{.request = request, .outcome = outcome, .reason = reason, .requestNotRun = requestNotRun});
    this->requests.erase(request);
}

void Engine::refuseNotOwner(RequestId request)
{
    if (!this->requests.at(request).forwarded) {
        this->refuse(request, Outcome::Unknown, Reason::NotOwner);
        return;
    }
    this->effects.emplace_back(RefuseForward{.request = request, .epoch = this->ownership.newest()});
    this->requests.erase(request);
}

void Engine::refuseWaiting(Entry &entry, Outcome outcome, Reason reason)
{
    const auto waiting = std::exchange(entry.waiting, {});
    for (const auto request : waiting) {
        if (this->requests.contains(request)) {
            this->refuse(request, outcome, reason);
        }
    }
}

void Engine::answerWaiting(Entry &entry)
{
    const auto waiting = std::exchange(entry.waiting, {});
    for (const auto request : waiting) {
        if (this->requests.contains(request)) {
            this->decideHere(request);
        }
    }
}

void Engine::reset(Entry &entry)
{
    if (!entry.fence) {
        this->table.erase(entry.key);
        return;
    }
    entry.stage = Stage::Fenced;
    entry.fingerprint.reset();
    this->table.store(entry, std::nullopt);
    this->table.expireAt(entry, this->now + this->settings.window);
}

void Engine::end(Entry &entry, Stage stage, std::optional<StoredAnswer> kept, Duration age)
{
    this->table.store(entry, std::nullopt);
    entry.stage = stage;
    entry.endedAt = this->now - age;
    if (kept && kept->bytes() <= this->settings.answerBytes) {
        this->table.store(entry, std::move(kept));
    }
    this->table.expireAt(entry, entry.endedAt + this->settings.window);
}

void Engine::on(const ExecutionEnded &event)
{
    const auto found = this->executing.find(event.request);
    if (found == this->executing.end()) {
        return;
    }
    auto &entry = *this->table.find(found->second);
    this->executing.erase(found);
    this->runningEpochs.erase(this->runningEpochs.find(entry.startedUnder));
    const auto owed = std::exchange(entry.owedReplies, {});
    if (event.result == ExecutionResult::NotRun) {
        this->refuseWaiting(entry, Outcome::NotRun, Reason::ProvedNotRun);
        for (const auto &request : owed) {
            this->reply(request, FenceVerdict::Fenced);
        }
        this->reset(entry);
        return;
    }
    const bool answered = event.result == ExecutionResult::Answered;
    this->end(entry, answered ? Stage::Answered : Stage::Unknown, event.answer, Duration(0));
    this->answerWaiting(entry);
    for (const auto &request : owed) {
        this->reply(request, FenceVerdict::Known, this->recordOf(entry));
    }
}

void Engine::on(const ForwardEnded &event)
{
    const auto found = this->requests.find(event.request);
    if (found == this->requests.end()) {
        return;
    }
    auto &open = found->second;
    if (event.result == ForwardResult::Relayed) {
        this->requests.erase(found);
    } else if (event.result == ForwardResult::NotSent) {
        this->refuse(event.request, Outcome::Unknown, Reason::OwnerUnreachable);
    } else if (event.result == ForwardResult::Broken) {
        this->refuse(event.request, Outcome::Unknown, Reason::OwnerLost, false);
    } else if (this->ownership.newest() > open.sentUnder) {
        this->route(event.request);
    } else if (event.peerEpoch > this->ownership.newest()) {
        this->fetchIfNewer(event.peerEpoch);
        open.epochDeadline = this->now + this->settings.epochTimeout;
        this->epochDeadlines.insert({*open.epochDeadline, event.request});
    } else {
        this->refuseNotOwner(event.request);
    }
}

void Engine::on(const RequestAbandoned &event)
{
    // Lists of waiting requests skip those that are not open any more.
    this->requests.erase(event.request);
}

void Engine::on(const PeerConfirmed &event)
{
    this->ownership.confirm(this->now, event.member, event.epoch);
    this->ownership.prune(this->now);
}

void Engine::on(const EpochsChanged &event)
{
    if (!this->ownership.learn(this->now, event.epochs)) {
        return;
    }
    this->ownership.prune(this->now);
    std::vector<RequestId> again;
    for (const auto &[at, request] : std::exchange(this->epochDeadlines, {})) {
        again.push_back(request);
    }
    // Questions refer to the epoch before; they are put again where the key still belongs to this process.
    for (const auto &[id, key] : std::exchange(this->questions, {})) {
        const auto waiting = this->abortAsking(*this->table.find(key));
        again.insert(again.end(), waiting.begin(), waiting.end());
    }
    this->questionDeadlines.clear();
    this->routeAgain(again);
}

void Engine::on(const TimerExpired & /*event*/)
{
}

void Engine::expire()
{
    while (!this->questionDeadlines.empty() && this->questionDeadlines.begin()->first <= this->now) {
        auto &entry = *this->table.find(this->questions.at(this->questionDeadlines.begin()->second));
        entry.question.unreachable = true;
        this->conclude(entry);
    }
    this->expireEpochWaits();
    this->expireKeys();
}

void Engine::expireEpochWaits()
{
    while (!this->epochDeadlines.empty() && this->epochDeadlines.begin()->first <= this->now) {
        const auto request = this->epochDeadlines.begin()->second;
        this->epochDeadlines.erase(this->epochDeadlines.begin());
        if (this->requests.contains(request)) {
            this->refuseNotOwner(request);
        }
    }
}

void Engine::expireKeys()
{
    while (auto *entry = this->table.due(this->now)) {
        // A fence outlives the window while the process does not know the epoch under which it was fenced.
        if (entry->fence && entry->fence->epoch <= this->ownership.newest()) {
            entry->fence.reset();
        }
        this->reset(*entry);
    }
}

void Engine::fetchIfNewer(EpochNumber epoch)
{
    if (epoch > this->ownership.newest()) {
        this->effects.emplace_back(FetchEpochs{.epoch = epoch});
    }
}

} // namespace Verbenadock::Keys::Internal
