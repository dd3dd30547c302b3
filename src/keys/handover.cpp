#include "engine.h"

namespace Verbenadock::Keys::Internal {

namespace {

/// Limits of one part, well below the maximum message size between processes (16 MiB).
constexpr std::size_t PartRecords = 2000;
constexpr std::size_t PartAnswerBytes = 4 * 1024 * 1024;

std::vector<std::vector<KeyRecord>> split(std::vector<KeyRecord> records)
{
    std::vector<std::vector<KeyRecord>> parts(1);
    std::size_t bytes = 0;
    for (auto &record : records) {
        if (parts.back().size() >= PartRecords || bytes >= PartAnswerBytes) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += record.answer ? record.answer->bytes() : 0;
        parts.back().push_back(std::move(record));
    }
    return parts;
}

} // namespace

void Engine::on(const StopRequested & /*event*/)
{
    if (this->stopping) {
        return;
    }
    this->stopping = Stopping{};
    std::vector<RequestId> waiting;
    for (const auto &[id, key] : std::map(this->queries)) {
        const auto aborted = this->abortQuery(*this->table.find(key));
        waiting.insert(waiting.end(), aborted.begin(), aborted.end());
    }
    this->reroute(waiting);
}

void Engine::continueStopping()
{
    if (!this->stopping || this->stopping->completed || !this->runningEpochs.empty()) {
        return;
    }
    // No request runs after this point, so the records that are sent are final.
    if (!this->stopping->handedOver) {
        this->handOver();
    }
    if (this->stopping->outstanding.empty() || this->stopping->deadline <= this->now) {
        this->stopping->completed = true;
        this->effects.emplace_back(StopCompleted{});
    }
}

void Engine::handOver()
{
    this->stopping->handedOver = true;
    this->stopping->deadline = this->now + this->settings.handOverTimeout;
    const auto *epoch = this->ownership.newestEpoch();
    if (epoch == nullptr || !epoch->contains(this->settings.self)) {
        return;
    }
    std::map<std::string, std::vector<KeyRecord>> recordsBySuccessor;
    for (const auto &[key, entry] : this->table.all()) {
        const auto *successor = successorOf(*epoch, this->settings.self.vm, key);
        if (successor != nullptr && (entry.stage == Stage::Answered || entry.stage == Stage::Unknown)) {
            recordsBySuccessor[successor->vm].push_back(this->recordOf(entry));
        }
    }
    // A member without records gets an empty part, which proves that no key of its share ran here.
    for (const auto &member : epoch->members) {
        if (member.id() != this->settings.self) {
            this->sendParts(member, std::move(recordsBySuccessor[member.vm]));
        }
    }
}

void Engine::sendParts(const EpochMember &member, std::vector<KeyRecord> records)
{
    auto parts = split(std::move(records));
    for (std::uint32_t part = 0; part < parts.size(); ++part) {
        const bool last = part + 1 == parts.size();
        this->stopping->outstanding.insert({member.id(), part});
        this->effects.emplace_back(
            SendHandOver{.member = member,
                         .part = {.from = this->settings.self,
                                  .to = member.id(),
                                  .epoch = this->ownership.newest(),
                                  .part = part,
                                  .parts = static_cast<std::uint32_t>(parts.size()),
                                  .records = std::move(parts[part]),
                                  .transfers = last ? this->ownership.transfers() : std::vector<Transfer>{}}});
    }
}

void Engine::on(const HandOverEnded &event)
{
    if (this->stopping) {
        this->stopping->outstanding.erase({event.to, event.part});
    }
}

void Engine::on(const HandOverReceived &event)
{
    const auto &part = event.part;
    bool accepted = part.to == this->settings.self && !this->stopping && part.part < part.parts;
    if (accepted) {
        for (const auto &record : part.records) {
            accepted = this->mergeRecord(record) && accepted;
        }
    }
    if (accepted) {
        auto &giver = this->incoming[{part.from, part.epoch}];
        giver.parts.insert(part.part);
        giver.transfers.insert(giver.transfers.end(), part.transfers.begin(), part.transfers.end());
        if (giver.parts.size() == part.parts) {
            giver.transfers.push_back({.giver = part.from, .epoch = part.epoch, .receiver = this->settings.self});
            this->ownership.addTransfers(this->now, giver.transfers);
            this->incoming.erase({part.from, part.epoch});
        }
    }
    this->effects.emplace_back(AnswerHandOver{.to = part.from, .part = part.part, .accepted = accepted});
}

bool Engine::mergeRecord(const KeyRecord &record)
{
    if (record.age >= this->settings.window) {
        return true;
    }
    auto *entry = this->table.find(record.key);
    std::vector<RequestId> waiting;
    if (entry != nullptr && entry->stage == Stage::QueryingOwners) {
        waiting = this->abortQuery(*entry);
        entry = this->table.find(record.key);
    }
    entry = entry != nullptr ? entry : this->table.insert(record.key);
    if (entry == nullptr) {
        this->reroute(waiting);
        return false;
    }
    const bool replacesEntry = entry->stage == Stage::Fenced || (entry->stage == Stage::Unknown && record.answered);
    if (replacesEntry) {
        this->adoptRecord(*entry, record);
    }
    this->reroute(waiting);
    return true;
}

} // namespace Verbenadock::Keys::Internal
