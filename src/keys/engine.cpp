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
    if (!this->queryDeadlines.empty()) {
        consider(this->queryDeadlines.begin()->first);
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
    auto &pending = this->requests.at(request);
    if (const auto *entry = this->table.find(pending.key); entry != nullptr && entry->stage != Stage::Fenced) {
        // A record in the table is valid whichever process owns the key now.
        this->decideLocally(request);
        return;
    }
    const auto *owner = this->ownership.owner(pending.key);
    if (owner == nullptr) {
        this->refuse(request, Outcome::Unknown, Reason::NoEpoch);
    } else if (owner->id() == this->settings.self) {
        this->decideLocally(request);
    } else if (pending.forwarded) {
        this->refuseNotOwner(request);
    } else {
        pending.forwardedEpoch = this->ownership.newest();
        this->effects.emplace_back(Forward{.request = request, .owner = *owner, .epoch = pending.forwardedEpoch});
    }
}

void Engine::reroute(const std::vector<RequestId> &waiting)
{
    for (const auto request : waiting) {
        if (this->requests.contains(request)) {
            this->route(request);
        }
    }
}

void Engine::decideLocally(RequestId request)
{
    auto *entry = this->table.find(this->requests.at(request).key);
    if (entry == nullptr || entry->stage == Stage::Fenced) {
        this->startRequest(request, entry);
        return;
    }
    if (entry->fingerprint && *entry->fingerprint != this->requests.at(request).fingerprint) {
        this->refuse(request, Outcome::NotRun, Reason::KeyReused);
    } else if (entry->stage == Stage::QueryingOwners || entry->stage == Stage::Running) {
        entry->waiting.push_back(request);
    } else {
        this->answerFromEntry(*entry, request);
    }
}

void Engine::startRequest(RequestId request, Entry *entry)
{
    const auto pending = this->requests.at(request);
    const bool fenced = entry != nullptr && entry->fence;
    if (fenced && entry->fence->epoch > this->ownership.newest()) {
        this->fetchIfNewer(entry->fence->epoch);
        this->refuseNotOwner(request);
        return;
    }
    const bool full = entry == nullptr && this->table.full();
    if (this->stopping || full) {
        // It is proved that the key never ran only when no earlier owner has to be queried.
        const bool provedNotRun = !fenced && this->ownership.fenceTargets(this->now, pending.key, std::nullopt).empty();
        this->refuse(request,
                     provedNotRun ? Outcome::NotRun : Outcome::Unknown,
                     this->stopping ? Reason::Stopping : Reason::TableFull);
        return;
    }
    auto &entryToRun = entry != nullptr ? *entry : *this->table.insert(pending.key);
    this->table.clearExpiry(entryToRun);
    entryToRun.stage = Stage::QueryingOwners;
    entryToRun.fingerprint = pending.fingerprint;
    entryToRun.wall = pending.wall;
    entryToRun.waiting = {request};
    this->queryEarlierOwners(entryToRun);
}

void Engine::answerFromEntry(const Entry &entry, RequestId request)
{
    if (entry.stage == Stage::Answered && entry.answer) {
        this->effects.emplace_back(Replay{.request = request, .answer = *entry.answer});
        this->requests.erase(request);
        return;
    }
    const auto unknownReason = entry.fingerprint ? Reason::OutcomeUnknown : Reason::EarlierOwnerGone;
    this->refuse(request, Outcome::Unknown, entry.stage == Stage::Answered ? Reason::AnswerNotKept : unknownReason);
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
            this->decideLocally(request);
        }
    }
}

void Engine::resetEntry(Entry &entry)
{
    if (!entry.fence) {
        this->table.erase(entry.key);
        return;
    }
    entry.stage = Stage::Fenced;
    entry.fingerprint.reset();
    this->table.storeAnswer(entry, std::nullopt);
    this->table.expireAt(entry, this->now + this->settings.window);
}

void Engine::recordOutcome(Entry &entry, Stage stage, std::optional<StoredAnswer> kept, Duration age)
{
    this->table.storeAnswer(entry, std::nullopt);
    entry.stage = stage;
    entry.endedAt = this->now - age;
    if (kept && kept->bytes() <= this->settings.answerBytes) {
        this->table.storeAnswer(entry, std::move(kept));
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
    const auto replies = std::exchange(entry.pendingReplies, {});
    if (event.result == ExecutionResult::NotRun) {
        this->refuseWaiting(entry, Outcome::NotRun, Reason::ProvedNotRun);
        for (const auto &request : replies) {
            this->reply(request, FenceVerdict::Fenced);
        }
        this->resetEntry(entry);
        return;
    }
    const bool answered = event.result == ExecutionResult::Answered;
    this->recordOutcome(entry, answered ? Stage::Answered : Stage::Unknown, event.answer, Duration(0));
    this->answerWaiting(entry);
    for (const auto &request : replies) {
        this->reply(request, FenceVerdict::Known, this->recordOf(entry));
    }
}

void Engine::on(const ForwardEnded &event)
{
    const auto found = this->requests.find(event.request);
    if (found == this->requests.end()) {
        return;
    }
    auto &pending = found->second;
    if (event.result == ForwardResult::Relayed) {
        this->requests.erase(found);
    } else if (event.result == ForwardResult::NotSent) {
        this->refuse(event.request, Outcome::Unknown, Reason::OwnerUnreachable);
    } else if (event.result == ForwardResult::Broken) {
        this->refuse(event.request, Outcome::Unknown, Reason::OwnerLost, false);
    } else if (this->ownership.newest() > pending.forwardedEpoch) {
        this->route(event.request);
    } else if (event.peerEpoch > this->ownership.newest()) {
        this->fetchIfNewer(event.peerEpoch);
        pending.epochDeadline = this->now + this->settings.epochTimeout;
        this->epochDeadlines.insert({*pending.epochDeadline, event.request});
    } else {
        this->refuseNotOwner(event.request);
    }
}

void Engine::on(const RequestAbandoned &event)
{
    // Lists of waiting requests skip requests that are no longer pending.
    this->requests.erase(event.request);
}

void Engine::on(const PeerConfirmed &event)
{
    this->ownership.confirm(this->now, event.member, event.epoch);
    this->ownership.prune(this->now);
}

void Engine::on(const EpochsChanged &event)
{
    if (!this->ownership.addEpochs(this->now, event.epochs)) {
        return;
    }
    this->ownership.prune(this->now);
    std::vector<RequestId> again;
    for (const auto &[at, request] : std::exchange(this->epochDeadlines, {})) {
        again.push_back(request);
    }
    // Pending queries refer to the previous epoch; they are repeated for keys that this process still owns.
    for (const auto &[id, key] : std::exchange(this->queries, {})) {
        const auto waiting = this->abortQuery(*this->table.find(key));
        again.insert(again.end(), waiting.begin(), waiting.end());
    }
    this->queryDeadlines.clear();
    this->reroute(again);
}

void Engine::on(const TimerExpired & /*event*/)
{
}

void Engine::expire()
{
    while (!this->queryDeadlines.empty() && this->queryDeadlines.begin()->first <= this->now) {
        auto &entry = *this->table.find(this->queries.at(this->queryDeadlines.begin()->second));
        entry.query.unreachable = true;
        this->concludeQuery(entry);
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
    while (auto *entry = this->table.nextExpired(this->now)) {
        // A fence is kept beyond the window until the process knows the epoch of the fence.
        if (entry->fence && entry->fence->epoch <= this->ownership.newest()) {
            entry->fence.reset();
        }
        this->resetEntry(*entry);
    }
}

void Engine::fetchIfNewer(EpochNumber epoch)
{
    if (epoch > this->ownership.newest()) {
        this->effects.emplace_back(FetchEpochs{.epoch = epoch});
    }
}

} // namespace Verbenadock::Keys::Internal
