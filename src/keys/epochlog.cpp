#include "verbenadock/keys/epochlog.h"

#include <algorithm>

namespace Verbenadock::Keys {

namespace {

/// A VM cannot go back to an earlier process, so such a record comes from an agent with an outdated view.
bool revivesProcess(const Epoch &older, const Epoch &newer)
{
    return std::any_of(newer.members.begin(), newer.members.end(), [&](const EpochMember &member) {
        return std::any_of(older.members.begin(), older.members.end(), [&](const EpochMember &known) {
            return known.vm == member.vm && known.incarnation > member.incarnation;
        });
    });
}

} // namespace

EpochLog::EpochLog(Duration epochWindow)
    : window(epochWindow)
{
}

EpochResult EpochLog::judge(const Epoch &epoch) const
{
    if (this->held.empty()) {
        return EpochResult::Accepted;
    }
    const auto &newestEpoch = this->held.back().known.epoch;
    if (epoch.replaces < newestEpoch.number) {
        return EpochResult::Late;
    }
    const bool follows = epoch.replaces == newestEpoch.number && !revivesProcess(newestEpoch, epoch);
    return follows ? EpochResult::Accepted : EpochResult::Broken;
}

EpochResult EpochLog::apply(TimePoint now, WallTime wall, std::string_view record)
{
    try {
        auto epoch = decodeEpoch(record);
        const auto result = this->judge(epoch);
        if (result == EpochResult::Accepted) {
            this->held.push_back({.known = {.epoch = std::move(epoch), .knownBy = wall}, .readAt = now});
            this->prune(now);
        }
        this->late += result == EpochResult::Late ? 1 : 0;
        this->broken += result == EpochResult::Broken ? 1 : 0;
        return result;
    } catch (const EpochError &) {
        ++this->broken;
        return EpochResult::Broken;
    }
}

void EpochLog::prune(TimePoint now)
{
    // An epoch was in force until its successor was read.
    std::size_t outdated = 0;
    while (outdated + 1 < this->held.size() && this->held[outdated + 1].readAt + this->window <= now) {
        ++outdated;
    }
    this->held.erase(this->held.begin(), this->held.begin() + static_cast<std::ptrdiff_t>(outdated));
}

std::vector<KnownEpoch> EpochLog::epochs() const
{
    std::vector<KnownEpoch> all;
    all.reserve(this->held.size());
    for (const auto &entry : this->held) {
        all.push_back(entry.known);
    }
    return all;
}

std::optional<Epoch> EpochLog::newest() const
{
    return this->held.empty() ? std::nullopt : std::optional(this->held.back().known.epoch);
}

std::uint64_t EpochLog::lateRecords() const
{
    return this->late;
}

std::uint64_t EpochLog::brokenRecords() const
{
    return this->broken;
}

} // namespace Verbenadock::Keys
