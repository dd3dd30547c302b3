#include "verbenadock/mesh/readerelection.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Verbenadock::Mesh {

namespace {

// Two, so that the loss of one is not noticed.
constexpr std::ptrdiff_t Readers = 2;
// More than two heartbeats. A configuration has to be in force 2 s after the store has it, and a read after the silence
// takes its time as well.
constexpr Duration SilenceLimit = std::chrono::milliseconds(1000);

} // namespace

ReaderElection::ReaderElection(std::string ownVm)
    : own(std::move(ownVm))
    , ownRank(rank(this->own))
{
}

std::uint64_t ReaderElection::rank(const std::string &vm)
{
    return XXH3_64bits(vm.data(), vm.size());
}

void ReaderElection::note(const std::string &vm, bool fresh, TimePoint now)
{
    if (fresh) {
        this->heardAt[vm] = now;
    } else {
        this->heardAt.erase(vm);
    }
    std::erase_if(this->heardAt, [now](const auto &entry) {
        return now - entry.second > SilenceLimit;
    });
}

bool ReaderElection::reads(TimePoint now) const
{
    const auto better = std::count_if(this->heardAt.begin(), this->heardAt.end(), [this, now](const auto &entry) {
        const auto other = rank(entry.first);
        const bool before = other < this->ownRank || (other == this->ownRank && entry.first < this->own);
        return before && now - entry.second <= SilenceLimit;
    });
    return better < Readers;
}

bool ReaderElection::hearsReaders(TimePoint now) const
{
    return std::any_of(this->heardAt.begin(), this->heardAt.end(), [now](const auto &entry) {
        return now - entry.second <= SilenceLimit;
    });
}

} // namespace Verbenadock::Mesh
