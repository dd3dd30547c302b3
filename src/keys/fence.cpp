#include "engine.h"
#include "uuid.h"

#include <algorithm>

namespace Verbenadock::Keys::Internal {

void Engine::queryEarlierOwners(Entry &entry)
{
    const auto fencedBy = entry.fence ? std::optional(entry.fence->by) : std::nullopt;
    const auto targets = this->ownership.fenceTargets(this->now, entry.key, fencedBy);
    entry.query = {};
    entry.query.lost = std::any_of(targets.lost.begin(), targets.lost.end(), [&](const MemberId &gone) {
        return !this->createdAfter(entry, gone);
    });
    this->sendQuery(entry, targets);
    if (entry.query.pending.empty()) {
        this->concludeQuery(entry);
    }
}

void Engine::sendQuery(Entry &entry, const FenceTargets &targets)
{
    if (targets.members.empty()) {
        return;
    }
    auto &query = entry.query;
    query.id = ++this->lastQueryId;
    query.deadline = this->now + this->settings.fenceTimeout;
    query.pending = targets.members;
    this->queries[query.id] = entry.key;
    this->queryDeadlines.insert({query.deadline, query.id});
    for (const auto &[member, gone] : targets.members) {
        this->effects.emplace_back(SendFence{.member = *this->ownership.find(member),
                                             .request = {.id = query.id,
                                                         .from = this->settings.self,
                                                         .to = member,
                                                         .epoch = this->ownership.newest(),
                                                         .key = entry.key,
                                                         .gone = gone}});
    }
}

bool Engine::createdAfter(const Entry &entry, const MemberId &gone) const
{
    const auto made = uuidTime(entry.key.value);
    const auto goneBy = this->ownership.goneBy(gone);
    // A time in the future is no proof: the caller's clock is wrong, or the key is not a genuine UUID.
    return made && goneBy && *made > *goneBy + this->settings.clockDifference
           && *made <= entry.wall + this->settings.clockDifference;
}

std::vector<RequestId> Engine::abortQuery(Entry &entry)
{
    auto waiting = std::exchange(entry.waiting, {});
    this->queries.erase(entry.query.id);
    this->queryDeadlines.erase({entry.query.deadline, entry.query.id});
    entry.query = {};
    this->resetEntry(entry);
    return waiting;
}

Entry *Engine::findQueried(std::uint64_t id, const MemberId &member)
{
    const auto key = this->queries.find(id);
    auto *entry = key == this->queries.end() ? nullptr : this->table.find(key->second);
    return entry != nullptr && entry->query.pending.contains(member) ? entry : nullptr;
}

void Engine::on(const FenceReplied &event)
{
    const auto &reply = event.reply;
    if (reply.to != this->settings.self) {
        return;
    }
    this->ownership.confirm(this->now, reply.from, reply.confirmed);
    this->fetchIfNewer(reply.epoch);
    if (auto *entry = this->findQueried(reply.id, reply.about)) {
        this->processReply(*entry, reply);
    }
}

void Engine::processReply(Entry &entry, const FenceReply &reply)
{
    auto &query = entry.query;
    const auto handedOver = query.pending.extract(reply.about).mapped();
    if (reply.verdict == FenceVerdict::Known && reply.record) {
        if (!query.record || reply.record->answered) {
            query.record = reply.record;
        }
    } else if (reply.verdict != FenceVerdict::Fenced) {
        query.unreachable = true;
    }
    for (const auto &gone : handedOver) {
        const bool covered = std::find(reply.covered.begin(), reply.covered.end(), gone) != reply.covered.end();
        query.lost = query.lost || (!covered && !this->createdAfter(entry, gone));
    }
    if (query.pending.empty() || (query.record && query.record->answered)) {
        this->concludeQuery(entry);
    }
}

void Engine::on(const FenceFailed &event)
{
    auto *entry = this->findQueried(event.id, event.member);
    if (entry == nullptr) {
        return;
    }
    entry->query.pending.erase(event.member);
    entry->query.unreachable = true;
    if (entry->query.pending.empty()) {
        this->concludeQuery(*entry);
    }
}

void Engine::concludeQuery(Entry &entry)
{
    this->queries.erase(entry.query.id);
    this->queryDeadlines.erase({entry.query.deadline, entry.query.id});
    const auto query = std::exchange(entry.query, {});
    if (query.record && (query.record->answered || !query.unreachable)) {
        this->adoptRecord(entry, *query.record);
        this->answerWaiting(entry);
    } else if (query.unreachable) {
        this->refuseWaiting(entry, Outcome::Unknown, Reason::EarlierOwnerUnreachable);
        this->resetEntry(entry);
    } else if (query.lost) {
        entry.fingerprint.reset();
        this->recordOutcome(entry, Stage::Unknown, std::nullopt, Duration(0));
        this->answerWaiting(entry);
    } else {
        this->execute(entry);
    }
}

void Engine::execute(Entry &entry)
{
    const auto pending = std::find_if(entry.waiting.begin(), entry.waiting.end(), [&](RequestId request) {
        return this->requests.contains(request);
    });
    if (pending == entry.waiting.end()) {
        entry.waiting.clear();
        this->resetEntry(entry);
        return;
    }
    entry.stage = Stage::Running;
    entry.executing = *pending;
    entry.startedUnder = this->ownership.newest();
    entry.waiting.erase(entry.waiting.begin(), pending + 1);
    this->runningEpochs.insert(entry.startedUnder);
    this->requests.erase(entry.executing);
    this->executing[entry.executing] = entry.key;
    this->effects.emplace_back(Execute{.request = entry.executing});
}

void Engine::adoptRecord(Entry &entry, const KeyRecord &record)
{
    entry.fingerprint = record.fingerprint;
    this->recordOutcome(entry, record.answered ? Stage::Answered : Stage::Unknown, record.answer, record.age);
}

KeyRecord Engine::recordOf(const Entry &entry) const
{
    return {.key = entry.key,
            .fingerprint = entry.fingerprint,
            .answered = entry.stage == Stage::Answered,
            .answer = entry.answer,
            .age = this->now - entry.endedAt};
}

void Engine::on(const FenceRequested &event)
{
    const auto &request = event.request;
    auto *entry = this->table.find(request.key);
    const auto newest = this->ownership.newest();
    if (request.to != this->settings.self || (request.epoch == newest && this->ownership.owns(request.key))) {
        this->reply(request, FenceVerdict::Refused);
        return;
    }
    if (request.epoch < newest || (entry != nullptr && entry->fence && entry->fence->epoch > request.epoch)) {
        this->reply(request, FenceVerdict::Stale);
        return;
    }
    this->fetchIfNewer(request.epoch);
    if (entry != nullptr && entry->stage == Stage::QueryingOwners) {
        const auto waiting = this->abortQuery(*entry);
        for (const auto pending : waiting) {
            if (this->requests.contains(pending)) {
                this->refuseNotOwner(pending);
            }
        }
        entry = this->table.find(request.key);
    }
    entry = entry != nullptr ? entry : this->table.insert(request.key);
    if (entry == nullptr) {
        this->reply(request, FenceVerdict::Refused);
        return;
    }
    entry->fence = Fence{.by = request.from, .epoch = request.epoch};
    if (entry->stage == Stage::Running) {
        entry->pendingReplies.push_back(request);
    } else if (entry->stage == Stage::Fenced) {
        this->resetEntry(*entry);
        this->reply(request, FenceVerdict::Fenced);
    } else {
        this->reply(request, FenceVerdict::Known, this->recordOf(*entry));
    }
}

void Engine::reply(const FenceRequest &request, FenceVerdict verdict, std::optional<KeyRecord> record)
{
    FenceReply reply{.id = request.id,
                     .from = this->settings.self,
                     .about = request.to,
                     .to = request.from,
                     .verdict = verdict,
                     .epoch = this->ownership.newest(),
                     .confirmed = this->confirmedEpoch(),
                     .record = std::move(record),
                     .covered = {}};
    if (const auto *entry = this->table.find(request.key);
        verdict == FenceVerdict::Stale && entry != nullptr && entry->fence) {
        reply.epoch = std::max(reply.epoch, entry->fence->epoch);
    }
    for (const auto &gone : request.gone) {
        if (this->ownership.covers(gone, request.key)) {
            reply.covered.push_back(gone);
        }
    }
    this->effects.emplace_back(SendFenceReply{.reply = std::move(reply)});
}

} // namespace Verbenadock::Keys::Internal
