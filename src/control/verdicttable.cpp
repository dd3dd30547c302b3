#include "verdicttable.h"

#include <algorithm>
#include <set>

namespace Verbenadock::Control::internal {

namespace {

// A verdict expires after four lost refreshes.
constexpr Duration VerdictLifetime = std::chrono::seconds(20);
constexpr Duration OriginLifetime = std::chrono::minutes(10);
// Bounds memory against a faulty collector.
constexpr std::size_t MaxUnhealthy = 100000;

} // namespace

template<typename Condition>
void VerdictTable::removeIf(const Condition &condition, std::vector<UpstreamVerdict> &changes)
{
    for (auto entry = this->verdicts.begin(); entry != this->verdicts.end();) {
        std::erase_if(entry->second, [&](const auto &item) {
            return condition(entry->first, item.first, item.second);
        });
        if (entry->second.empty()) {
            changes.push_back({.upstream = entry->first, .sick = false});
            entry = this->verdicts.erase(entry);
        } else {
            ++entry;
        }
    }
}

bool VerdictTable::apply(TimePoint now, const HealthVerdicts &message, std::vector<UpstreamVerdict> &changes)
{
    auto &origin = this->origins[message.origin];
    if (message.sequence <= origin.sequence) {
        return false;
    }
    origin = {.sequence = message.sequence, .lastMessageAt = now};
    std::set<UpstreamKey> unhealthyNow;
    std::set<UpstreamKey> healthyNow;
    for (const auto &verdict : message.verdicts) {
        (verdict.sick ? unhealthyNow : healthyNow).insert(verdict.upstream);
        if (!verdict.sick || this->verdicts.size() >= MaxUnhealthy) {
            continue;
        }
        auto &byOrigin = this->verdicts[verdict.upstream];
        if (byOrigin.empty()) {
            changes.push_back(verdict);
        }
        byOrigin.try_emplace(message.origin, Verdict{.since = now - verdict.age, .refreshed = now})
            .first->second.refreshed
            = now;
    }
    this->removeIf(
        [&](const UpstreamKey &upstream, const std::string &from, const Verdict &) {
            const bool withdrawn = message.complete ? !unhealthyNow.contains(upstream) : healthyNow.contains(upstream);
            return from == message.origin && withdrawn;
        },
        changes);
    return true;
}

void VerdictTable::expire(TimePoint now, std::vector<UpstreamVerdict> &changes)
{
    this->removeIf(
        [&](const UpstreamKey &, const std::string &, const Verdict &verdict) {
            return now - verdict.refreshed > VerdictLifetime;
        },
        changes);
    std::erase_if(this->origins, [&](const auto &item) {
        return now - item.second.lastMessageAt > OriginLifetime;
    });
}

std::vector<UpstreamVerdict> VerdictTable::unhealthy(TimePoint now) const
{
    std::vector<UpstreamVerdict> result;
    for (const auto &[upstream, byOrigin] : this->verdicts) {
        Duration age{0};
        for (const auto &[origin, verdict] : byOrigin) {
            age = std::max(age, now - verdict.since);
        }
        result.push_back({.upstream = upstream, .sick = true, .age = age});
    }
    return result;
}

} // namespace Verbenadock::Control::internal
