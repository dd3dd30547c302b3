#include "restater.h"

#include "verbenadock/bundle/restatement.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbenadock::Control::internal {

namespace {

// Average interval between the due times of the agents. The log poll interval is shorter, so that the other agents read
// a restatement before most of them append a duplicate.
constexpr Duration SpreadPerMember = std::chrono::milliseconds(500);
// Limits the append rate when the log retains fewer records than there are bundles; restatements would otherwise evict
// each other continuously.
constexpr Duration RestatementInterval = std::chrono::seconds(10);
// A bundle is restated when its records are in the oldest quarter of the log.
constexpr std::uint64_t OldestFractionDivisor = 4;
// No restatements in a short log from which no record has expired yet.
constexpr std::uint64_t MinLogRecords = 32;

bool isDue(const Bundles::History &history, const LogRecordsRead &page, const std::string &name)
{
    if (page.first == 0 && page.next < MinLogRecords) {
        return false;
    }
    const auto provenFrom = history.provenFrom(name);
    return !provenFrom || *provenFrom < page.first + (page.next - page.first) / OldestFractionDivisor;
}

} // namespace

Restater::Restater(std::string id)
    : vmId(std::move(id))
{
}

void Restater::plan(const Bundles::History &history, const LogRecordsRead &page, std::size_t liveMembers)
{
    for (const auto &[name, version] : history.inForce()) {
        if (!isDue(history, page, name)) {
            this->dueTimes.erase(name);
            continue;
        }
        const auto last = this->lastRestated.find(name);
        const auto earliest
            = last == this->lastRestated.end() ? page.at : std::max(page.at, last->second + RestatementInterval);
        this->dueTimes.try_emplace(name, earliest + this->delay(name, page.next, liveMembers));
    }
}

void Restater::cancel()
{
    this->dueTimes.clear();
}

std::vector<std::string> Restater::takeDue(const Bundles::History &history, TimePoint now)
{
    std::vector<std::string> records;
    for (auto item = this->dueTimes.begin(); item != this->dueTimes.end();) {
        const auto version = history.inForce().find(item->first);
        if (item->second > now) {
            ++item;
            continue;
        }
        if (version != history.inForce().end()) {
            records.push_back(Bundles::encodeRestatement(version->second));
            this->lastRestated[item->first] = now;
        }
        item = this->dueTimes.erase(item);
    }
    return records;
}

std::optional<TimePoint> Restater::nextDeadline() const
{
    const auto earliest = std::ranges::min_element(this->dueTimes, {}, [](const auto &item) {
        return item.second;
    });
    return earliest == this->dueTimes.end() ? std::nullopt : std::optional(earliest->second);
}

Duration Restater::delay(const std::string &name, std::uint64_t next, std::size_t liveMembers) const
{
    const auto text = this->vmId + '/' + name + '/' + std::to_string(next);
    const auto spread = SpreadPerMember * static_cast<std::int64_t>(std::max<std::size_t>(liveMembers, 1));
    return Duration(
        static_cast<Duration::rep>(XXH3_64bits(text.data(), text.size()) % static_cast<std::uint64_t>(spread.count())));
}

} // namespace Verbenadock::Control::internal
