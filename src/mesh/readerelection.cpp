#include "verbenadock/mesh/readerelection.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Verbenadock::Mesh {

namespace {

// Two readers, so that the failure of one causes no delay.
constexpr std::ptrdiff_t ReaderCount = 2;
// The second hub receives the same reports as the first and takes over when the first falls silent.
constexpr std::size_t HubCount = 2;
// Limits the readers that call a store that does not answer, because each call has a cost. If the store refuses a third
// of the VMs, the probability that all of these readers are refused is 1 in 6,500.
constexpr std::ptrdiff_t MaxUnansweredReaders = 8;
// More than two heartbeat intervals. A configuration has to be in force within 2 s after the store has it, which
// includes a read after this time-out.
constexpr Duration SilenceLimit = std::chrono::milliseconds(1000);
// Longer than the delivery of a heartbeat, so that the first VM that takes over is heard before the next one starts.
constexpr Duration TakeoverStep = std::chrono::milliseconds(40);
constexpr Duration MaxTakeoverDelay = std::chrono::milliseconds(480);

} // namespace

ReaderElection::ReaderElection(std::string ownVm, std::uint64_t processorPercent)
    : own(std::move(ownVm))
    , ownRank(rank(this->own))
    , ownProcessor(processorPercent)
    , silenceLimit(SilenceLimit)
{
}

std::uint64_t ReaderElection::rank(const std::string &vm)
{
    return XXH3_64bits(vm.data(), vm.size());
}

std::uint64_t ReaderElection::processorOf(const std::string &vm) const
{
    if (vm == this->own) {
        return this->ownProcessor;
    }
    const auto found = this->peerProcessors.find(vm);
    return found == this->peerProcessors.end() ? 0 : found->second;
}

bool ReaderElection::precedes(const std::string &first, const std::string &second) const
{
    // Prefers VMs with a larger processor share: a reader serves its records to all VMs of the data centre, which takes
    // a weak VM seconds.
    const auto firstProcessor = this->processorOf(first);
    const auto secondProcessor = this->processorOf(second);
    if (firstProcessor != secondProcessor) {
        return firstProcessor > secondProcessor;
    }
    const auto firstRank = rank(first);
    const auto secondRank = second == this->own ? this->ownRank : rank(second);
    return firstRank < secondRank || (firstRank == secondRank && first < second);
}

bool ReaderElection::precedes(const std::string &vm) const
{
    return this->precedes(vm, this->own);
}

std::vector<std::string> ReaderElection::hubs(TimePoint now) const
{
    std::vector<std::string> candidates{this->own};
    for (const auto &[vm, last] : this->lastHeartbeats) {
        if (now - last.at <= this->silenceLimit) {
            candidates.push_back(vm);
        }
    }
    return this->firstOf(std::move(candidates));
}

std::vector<std::string> ReaderElection::expectedHubs() const
{
    std::vector<std::string> candidates{this->own};
    for (const auto &entry : this->peerProcessors) {
        candidates.push_back(entry.first);
    }
    return this->firstOf(std::move(candidates));
}

std::vector<std::string> ReaderElection::firstOf(std::vector<std::string> candidates) const
{
    std::ranges::sort(candidates, [this](const std::string &first, const std::string &second) {
        return this->precedes(first, second);
    });
    candidates.resize(std::min(candidates.size(), HubCount));
    return candidates;
}

void ReaderElection::setPeers(std::map<std::string, std::uint64_t> vms)
{
    this->peerProcessors = std::move(vms);
    const auto preceding = std::ranges::count_if(this->peerProcessors, [this](const auto &other) {
        return this->precedes(other.first);
    });
    this->takeoverDelay = std::min<Duration>(MaxTakeoverDelay, TakeoverStep * preceding);
    this->silenceLimit = SilenceLimit + this->takeoverDelay;
}

void ReaderElection::noteHeartbeat(const std::string &vm, bool fresh, TimePoint now)
{
    auto &last = this->lastHeartbeats[vm];
    last.at = now;
    if (fresh) {
        last.answeredUntil = TimePoint::max();
    } else if (last.answeredUntil == TimePoint::max()) {
        last.answeredUntil = now + this->takeoverDelay;
    }
    std::erase_if(this->lastHeartbeats, [this, now](const auto &entry) {
        return now - entry.second.at > this->silenceLimit;
    });
}

bool ReaderElection::isFirst(TimePoint now) const
{
    return std::ranges::none_of(this->lastHeartbeats, [this, now](const auto &entry) {
        return now - entry.second.at <= this->silenceLimit && this->precedes(entry.first);
    });
}

bool ReaderElection::isReader(TimePoint now) const
{
    std::ptrdiff_t answered = 0;
    std::ptrdiff_t unanswered = 0;
    for (const auto &[vm, last] : this->lastHeartbeats) {
        if (now - last.at <= this->silenceLimit && this->precedes(vm)) {
            ++(now < last.answeredUntil ? answered : unanswered);
        }
    }
    return answered < ReaderCount && unanswered < MaxUnansweredReaders;
}

} // namespace Verbenadock::Mesh
