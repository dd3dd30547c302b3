#include "network.h"

#include <algorithm>
#include <cstdio>

namespace Verbenadock::Keys::Test {

namespace {

constexpr std::size_t RecentKeys = 4;

} // namespace

void Network::step()
{
    const auto kind = this->choose(100);
    if (kind < 20) {
        this->newRequest();
    } else if (kind < 60) {
        this->processMessage();
    } else if (kind < 72) {
        this->endRun();
    } else if (kind < 80) {
        this->readEpochs();
    } else if (kind < 90) {
        const auto scale = this->choose(20);
        const auto milliseconds = static_cast<std::int64_t>(this->choose(1500));
        this->advance(scale == 0 ? std::chrono::minutes(3) : Duration(std::chrono::milliseconds(milliseconds)));
    } else if (kind < 95) {
        this->appendEpoch();
    } else {
        this->restart();
    }
    if (!this->chance(this->faultPercent)) {
        return;
    }
    auto *process = this->randomActiveProcess();
    const auto fault = this->choose(6);
    if (process != nullptr && fault == 0) {
        this->crash(*process);
    } else if (process != nullptr && fault == 1) {
        process->paused = true;
    } else if (process != nullptr && fault == 2) {
        this->applyEvent(*process, StopRequested{.at = this->now});
    } else if (fault == 3) {
        this->partitions.insert(
            {"vm" + std::to_string(this->choose(this->vmCount)), "vm" + std::to_string(this->choose(this->vmCount))});
    } else {
        this->partitions.clear();
        for (auto &candidate : this->processes) {
            candidate.paused = candidate.paused && this->chance(50);
        }
    }
}

void Network::newRequest()
{
    auto *process = this->randomActiveProcess();
    if (process == nullptr) {
        return;
    }
    if (this->keys.empty() || this->chance(25)) {
        const auto milliseconds = this->wall("").time_since_epoch().count();
        char text[64];
        std::snprintf(text,
                      sizeof text,
                      "%08llx-%04llx-7000-8000-%012zx",
                      static_cast<unsigned long long>(milliseconds >> 16),
                      static_cast<unsigned long long>(milliseconds & 0xffff),
                      this->keys.size());
        const bool plain = this->chance(30);
        this->keys.push_back({.bundle = "b", .value = plain ? "key " + std::to_string(this->keys.size()) : text});
    }
    const auto recent = std::min(RecentKeys, this->keys.size());
    const auto &key = this->keys[this->keys.size() - 1 - this->choose(recent)];
    const auto request = ++this->lastRequest;
    this->requestKeys[request] = key;
    this->applyEvent(*process,
                     KeyedRequestArrived{.at = this->now,
                                         .wall = this->wall(process->id.vm),
                                         .request = request,
                                         .key = key,
                                         .fingerprint = {"POST", "/claims", "digest"},
                                         .forwarding = std::nullopt});
}

void Network::processMessage()
{
    if (this->messages.empty()) {
        return;
    }
    const auto index = this->chance(60) ? 0 : this->choose(this->messages.size());
    const auto message = this->messages[index];
    const auto *receiver = this->findProcess(message.to);
    const bool partitioned = this->partitions.contains({message.from.vm, message.to.vm});
    const bool lost = partitioned || receiver == nullptr || this->chance(this->lossPercent);
    if (lost) {
        this->messages.erase(this->messages.begin() + static_cast<std::ptrdiff_t>(index));
        this->failMessage(message, true);
    } else if (this->chance(this->lossPercent / 4)) {
        // The sender gets an error although the message is delivered later.
        this->failMessage(message, false);
    } else if (!receiver->paused) {
        this->messages.erase(this->messages.begin() + static_cast<std::ptrdiff_t>(index));
        this->deliver(message);
    } else {
        this->messages.push_back(message);
        this->messages.erase(this->messages.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void Network::endRun()
{
    auto *process = this->randomActiveProcess();
    if (process != nullptr && !process->running.empty()) {
        this->endExecution(*process, this->choose(process->running.size()));
    }
}

void Network::endExecution(Process &process, std::size_t index)
{
    const auto request = process.running[index];
    process.running.erase(process.running.begin() + static_cast<std::ptrdiff_t>(index));
    Run *ended = nullptr;
    for (auto &run : this->runs[this->requestKeys.at(request)]) {
        ended = run.request == request ? &run : ended;
    }
    ended->endedAt = this->now;
    const auto kind = this->choose(10);
    const auto result = kind < 6   ? ExecutionResult::Answered
                        : kind < 8 ? ExecutionResult::NotRun
                                   : ExecutionResult::Unknown;
    ended->state = result == ExecutionResult::NotRun ? Run::State::NotRun : Run::State::Ran;
    this->answerForwarded(process, request, ForwardResult::Relayed, 0);
    const StoredAnswer answer{.status = 200, .headers = {}, .body = ended->answer};
    this->applyEvent(
        process,
        ExecutionEnded{.at = this->now,
                       .request = request,
                       .result = result,
                       .answer = result == ExecutionResult::Answered ? std::optional(answer) : std::nullopt});
}

void Network::appendEpoch()
{
    Epoch next;
    next.number = this->log.size() + 1;
    next.replaces = this->log.size();
    for (std::size_t vm = 0; vm < this->vmCount; ++vm) {
        const auto name = "vm" + std::to_string(vm);
        std::optional<MemberId> member;
        for (const auto &previous : this->log.empty() ? std::vector<EpochMember>{} : this->log.back().members) {
            if (previous.vm == name) {
                member = previous.id();
            }
        }
        // An epoch may leave out only a process that has ended, and need not do so at once.
        if (member && this->findProcess(*member) == nullptr && this->chance(70)) {
            member.reset();
        }
        for (const auto &process : this->processes) {
            const bool free = !member || this->findProcess(*member) == nullptr;
            if (process.id.vm == name && process.alive && free && (this->log.empty() || this->chance(70))) {
                member = process.id;
            }
        }
        if (member) {
            next.members.push_back(
                {.vm = name, .incarnation = member->incarnation, .address = "127.0.0.1:1", .dataCentre = "a"});
        }
    }
    if (this->log.empty() || next.members != this->log.back().members) {
        this->log.push_back(std::move(next));
    }
}

void Network::readEpochs()
{
    auto *process = this->randomActiveProcess();
    if (process == nullptr || process->epochsRead == this->log.size()) {
        return;
    }
    const auto count = 1 + this->choose(this->log.size() - process->epochsRead);
    for (std::size_t read = 0; read < count; ++read) {
        process->knownEpochs.push_back(
            {.epoch = this->log[process->epochsRead++], .knownBy = this->wall(process->id.vm)});
    }
    this->applyEvent(*process, EpochsChanged{.at = this->now, .epochs = process->knownEpochs});
    if (auto *peer = this->randomActiveProcess(); peer != nullptr && peer != process) {
        this->applyEvent(*peer, PeerConfirmed{this->now, process->id, process->reducer->confirmedEpoch()});
    }
}

void Network::crash(Process &process)
{
    process.alive = false;
    for (const auto request : process.running) {
        for (auto &run : this->runs[this->requestKeys.at(request)]) {
            if (run.request == request) {
                run.state = Run::State::Ran;
                run.endedAt = this->now;
            }
        }
    }
    process.running.clear();
}

void Network::restart()
{
    const auto name = "vm"
                      + std::to_string(this->processes.size() < this->vmCount ? this->processes.size()
                                                                              : this->choose(this->vmCount));
    std::uint64_t incarnation = 1;
    for (const auto &process : this->processes) {
        if (process.id.vm == name) {
            if (process.alive) {
                return;
            }
            incarnation = process.id.incarnation + 1;
        }
    }
    Process process;
    process.id = {.vm = name, .incarnation = incarnation};
    KeySettings settings;
    settings.self = process.id;
    settings.keyLimit = 24;
    settings.answerBytesLimit = 400;
    process.reducer = std::make_unique<KeyReducer>(settings);
    this->processes.push_back(std::move(process));
}

void Network::advance(Duration duration)
{
    this->now += duration;
    for (auto &process : this->processes) {
        const auto deadline = process.alive ? process.reducer->nextDeadline() : std::nullopt;
        if (!process.paused && deadline && *deadline <= this->now) {
            this->applyEvent(process, TimerExpired{.at = this->now});
        }
    }
}

} // namespace Verbenadock::Keys::Test
