#include "verbenadock/mesh/readerelection.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Verbenadock::Mesh {

namespace {

// Two, so that the loss of one is not noticed.
constexpr std::ptrdiff_t Readers = 2;
// The second one has all that the first one has, and goes on when that falls silent.
constexpr std::size_t Hubs = 2;
// Readers that find the store silent at the same time. Each call costs, and a store that is down answers nobody; a
// store that turns a third of the VMs away turns all of these away in 1 of 6,500 cases.
constexpr std::ptrdiff_t MostUnanswered = 8;
// More than two heartbeats. A configuration has to be in force 2 s after the store has it, and a read after the silence
// takes its time as well.
constexpr Duration SilenceLimit = std::chrono::milliseconds(1000);
// Longer than a heartbeat takes on its way, so that the first VM that follows is heard before the next one does.
constexpr Duration FollowStep = std::chrono::milliseconds(40);
constexpr Duration LongestFollowDelay = std::chrono::milliseconds(480);

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
    const auto known = this->processors.find(vm);
    return known == this->processors.end() ? 0 : known->second;
}

bool ReaderElection::precedes(const std::string &first, const std::string &second) const
{
    // A reader serves all VMs of its data centre with what it reads, which takes a weak one seconds.
    const auto left = this->processorOf(first);
    const auto right = this->processorOf(second);
    if (left != right) {
        return left > right;
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
    for (const auto &[vm, last] : this->heard) {
        if (now - last.at <= this->silenceLimit) {
            candidates.push_back(vm);
        }
    }
    std::ranges::sort(candidates, [this](const std::string &first, const std::string &second) {
        return this->precedes(first, second);
    });
    candidates.resize(std::min(candidates.size(), Hubs));
    return candidates;
}

void ReaderElection::setOthers(std::map<std::string, std::uint64_t> vms)
{
    this->processors = std::move(vms);
    const auto before = std::ranges::count_if(this->processors, [this](const auto &other) {
        return this->precedes(other.first);
    });
    this->silenceLimit = SilenceLimit + std::min(LongestFollowDelay, FollowStep * before);
}

void ReaderElection::note(const std::string &vm, bool fresh, TimePoint now)
{
    this->heard[vm] = {.at = now, .fresh = fresh};
    std::erase_if(this->heard, [this, now](const auto &entry) {
        return now - entry.second.at > this->silenceLimit;
    });
}

bool ReaderElection::isFirst(TimePoint now) const
{
    return std::ranges::none_of(this->heard, [this, now](const auto &entry) {
        return now - entry.second.at <= this->silenceLimit && this->precedes(entry.first);
    });
}

bool ReaderElection::reads(TimePoint now) const
{
    std::ptrdiff_t answered = 0;
    std::ptrdiff_t unanswered = 0;
    for (const auto &[vm, last] : this->heard) {
        if (now - last.at <= this->silenceLimit && this->precedes(vm)) {
            ++(last.fresh ? answered : unanswered);
        }
    }
    return answered < Readers && unanswered < MostUnanswered;
}

} // namespace Verbenadock::Mesh
