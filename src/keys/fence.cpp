#include "engine.h"
#include "uuid.h"

#include <algorithm>

namespace Verbenadock::Keys::Internal {

void Engine::ask(Entry &entry)
{
    const auto fencedBy = entry.fence ? std::optional(entry.fence->by) : std::nullopt;
    const auto inquiry = this->ownership.inquire(this->now, entry.key, fencedBy);
    entry.question = {};
    entry.question.lost = std::any_of(inquiry.lost.begin(), inquiry.lost.end(), [&](const MemberId &gone) {
        return !this->madeAfter(entry, gone);
    });
    this->send(entry, inquiry);
    if (entry.question.pending.empty()) {
        this->conclude(entry);
    }
}

void Engine::send(Entry &entry, const Inquiry &inquiry)
{
    if (inquiry.ask.empty()) {
        return;
    }
    auto &question = entry.question;
    question.id = ++this->lastQuestion;
    question.deadline = this->now + this->settings.fenceTimeout;
    question.pending = inquiry.ask;
    this->questions[question.id] = entry.key;
    this->questionDeadlines.insert({question.deadline, question.id});
    for (const auto &[member, gone] : inquiry.ask) {
        this->effects.emplace_back(SendFence{.member = *this->ownership.find(member),
                                             .request = {.id = question.id,
                                                         .from = this->settings.self,
                                                         .to = member,
                                                         .epoch = this->ownership.newest(),
                                                         .key = entry.key,
                                                         .gone = gone}});
    }
}

bool Engine::madeAfter(const Entry &entry, const MemberId &gone) const
{
    const auto made = uuidTime(entry.key.value);
    const auto goneBy = this->ownership.goneBy(gone);
    // A time in the future proves nothing: the caller's clock is wrong, or the key is not a real UUID.
    return made && goneBy && *made > *goneBy + this->settings.clockDifference
           && *made <= entry.wall + this->settings.clockDifference;
}

std::vector<RequestId> Engine::abortAsking(Entry &entry)
{
    auto waiting = std::exchange(entry.waiting, {});
    this->questions.erase(entry.question.id);
    this->questionDeadlines.erase({entry.question.deadline, entry.question.id});
    entry.question = {};
    this->reset(entry);
    return waiting;
}

Entry *Engine::findAsking(std::uint64_t id, const MemberId &member)
{
    const auto key = this->questions.find(id);
    auto *entry = key == this->questions.end() ? nullptr : this->table.find(key->second);
    return entry != nullptr && entry->question.pending.contains(member) ? entry : nullptr;
}

void Engine::on(const FenceReplied &event)
{
    const auto &reply = event.reply;
    if (reply.to != this->settings.self) {
        return;
    }
    this->ownership.confirm(this->now, reply.from, reply.confirmed);
    this->fetchIfNewer(reply.epoch);
    if (auto *entry = this->findAsking(reply.id, reply.about)) {
        this->note(*entry, reply);
    }
}

void Engine::note(Entry &entry, const FenceReply &reply)
{
    auto &question = entry.question;
    const auto handedOver = question.pending.extract(reply.about).mapped();
    if (reply.verdict == FenceVerdict::Known && reply.record) {
        if (!question.record || reply.record->answered) {
            question.record = reply.record;
        }
    } else if (reply.verdict != FenceVerdict::Fenced) {
        question.unreachable = true;
    }
    for (const auto &gone : handedOver) {
        const bool covered = std::find(reply.covered.begin(), reply.covered.end(), gone) != reply.covered.end();
        question.lost = question.lost || (!covered && !this->madeAfter(entry, gone));
    }
    if (question.pending.empty() || (question.record && question.record->answered)) {
        this->conclude(entry);
    }
}

void Engine::on(const FenceFailed &event)
{
    auto *entry = this->findAsking(event.id, event.member);
    if (entry == nullptr) {
        return;
    }
    entry->question.pending.erase(event.member);
    entry->question.unreachable = true;
    if (entry->question.pending.empty()) {
        this->conclude(*entry);
    }
}

void Engine::conclude(Entry &entry)
{
    this->questions.erase(entry.question.id);
    this->questionDeadlines.erase({entry.question.deadline, entry.question.id});
    const auto question = std::exchange(entry.question, {});
    if (question.record && (question.record->answered || !question.unreachable)) {
        this->adopt(entry, *question.record);
        this->answerWaiting(entry);
    } else if (question.unreachable) {
        this->refuseWaiting(entry, Outcome::Unknown, Reason::EarlierOwnerUnreachable);
        this->reset(entry);
    } else if (question.lost) {
        entry.fingerprint.reset();
        this->end(entry, Stage::Unknown, std::nullopt, Duration(0));
        this->answerWaiting(entry);
    } else {
        this->execute(entry);
    }
}

void Engine::execute(Entry &entry)
{
    const auto open = std::find_if(entry.waiting.begin(), entry.waiting.end(), [&](RequestId request) {
        return this->requests.contains(request);
    });
    if (open == entry.waiting.end()) {
        entry.waiting.clear();
        this->reset(entry);
        return;
    }
    entry.stage = Stage::Running;
    entry.executing = *open;
    entry.startedUnder = this->ownership.newest();
    entry.waiting.erase(entry.waiting.begin(), open + 1);
    this->runningEpochs.insert(entry.startedUnder);
    this->requests.erase(entry.executing);
    this->executing[entry.executing] = entry.key;
    this->effects.emplace_back(Execute{.request = entry.executing});
}

void Engine::adopt(Entry &entry, const KeyRecord &record)
{
    entry.fingerprint = record.fingerprint;
    this->end(entry, record.answered ? Stage::Answered : Stage::Unknown, record.answer, record.age);
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
    if (entry != nullptr && entry->stage == Stage::Asking) {
        const auto waiting = this->abortAsking(*entry);
        for (const auto open : waiting) {
            if (this->requests.contains(open)) {
                this->refuseNotOwner(open);
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
        entry->owedReplies.push_back(request);
    } else if (entry->stage == Stage::Fenced) {
        this->reset(*entry);
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
