#include "verbenadock/keys/epochlog.h"

#include <algorithm>

namespace Verbenadock::Keys {

namespace {

/// Whether a VM has a lower incarnation than before. Incarnations of a VM only rise, so such a record comes from an
/// agent with outdated data.
bool hasLowerIncarnation(const Epoch &older, const Epoch &newer)
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

EpochResult EpochLog::classify(const Epoch &epoch) const
{
    if (this->entries.empty()) {
        return EpochResult::Accepted;
    }
    const auto &newestEpoch = this->entries.back().known.epoch;
    if (epoch.replaces < newestEpoch.number) {
        return EpochResult::Late;
    }
    const bool follows = epoch.replaces == newestEpoch.number && !hasLowerIncarnation(newestEpoch, epoch);
    return follows ? EpochResult::Accepted : EpochResult::Broken;
}

EpochResult EpochLog::apply(TimePoint now, WallTime wall, std::string_view record)
{
    try {
        auto epoch = decodeEpoch(record);
        const auto result = this->classify(epoch);
        if (result == EpochResult::Accepted) {
            this->entries.push_back({.known = {.epoch = std::move(epoch), .knownBy = wall}, .readAt = now});
            this->prune(now);
        }
        this->lateCount += result == EpochResult::Late ? 1 : 0;
        this->brokenCount += result == EpochResult::Broken ? 1 : 0;
        return result;
    } catch (const EpochError &) {
        ++this->brokenCount;
        return EpochResult::Broken;
    }
}

void EpochLog::prune(TimePoint now)
{
    // An epoch was in force until its successor was read.
    std::size_t outdated = 0;
    while (outdated + 1 < this->entries.size() && this->entries[outdated + 1].readAt + this->window <= now) {
        ++outdated;
    }
    this->entries.erase(this->entries.begin(), this->entries.begin() + static_cast<std::ptrdiff_t>(outdated));
}

std::vector<KnownEpoch> EpochLog::epochs() const
{
    std::vector<KnownEpoch> all;
    all.reserve(this->entries.size());
    for (const auto &entry : this->entries) {
        all.push_back(entry.known);
    }
    return all;
}

std::optional<Epoch> EpochLog::newest() const
{
    return this->entries.empty() ? std::nullopt : std::optional(this->entries.back().known.epoch);
}

std::uint64_t EpochLog::lateRecords() const
{
    return this->lateCount;
}

std::uint64_t EpochLog::brokenRecords() const
{
    return this->brokenCount;
}

} // namespace Verbenadock::Keys
