#include "restater.h"

#include "verbenadock/bundle/restatement.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbenadock::Control::internal {

namespace {

// The delays of all agents are spread so that on average one of them is due in this time. A restatement is read by the
// others within a poll of the log, which is shorter, so that few append the same.
constexpr Duration SpreadPerMember = std::chrono::milliseconds(500);
// Bounds the appends when the log retains fewer records than there are bundles: without it restatements would push each
// other out without a pause.
constexpr Duration RestatementInterval = std::chrono::seconds(10);
constexpr std::uint64_t OldestPart = 4;
// A young log from which nothing has expired yet is left alone.
constexpr std::uint64_t LeastRecords = 32;

bool isDue(const Bundles::History &history, const LogRecordsRead &page, const std::string &name)
{
    if (page.first == 0 && page.next < LeastRecords) {
        return false;
    }
    const auto provenFrom = history.provenFrom(name);
    return !provenFrom || *provenFrom < page.first + (page.next - page.first) / OldestPart;
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
            this->planned.erase(name);
            continue;
        }
        const auto last = this->lastRestated.find(name);
        const auto earliest
            = last == this->lastRestated.end() ? page.at : std::max(page.at, last->second + RestatementInterval);
        this->planned.try_emplace(name, earliest + this->delay(name, page.next, liveMembers));
    }
}

void Restater::cancel()
{
    this->planned.clear();
}

std::vector<std::string> Restater::take(const Bundles::History &history, TimePoint now)
{
    std::vector<std::string> records;
    for (auto item = this->planned.begin(); item != this->planned.end();) {
        const auto version = history.inForce().find(item->first);
        if (item->second > now) {
            ++item;
            continue;
        }
        if (version != history.inForce().end()) {
            records.push_back(Bundles::encodeRestatement(version->second));
            this->lastRestated[item->first] = now;
        }
        item = this->planned.erase(item);
    }
    return records;
}

std::optional<TimePoint> Restater::nextDeadline() const
{
    const auto earliest = std::ranges::min_element(this->planned, {}, [](const auto &item) {
        return item.second;
    });
    return earliest == this->planned.end() ? std::nullopt : std::optional(earliest->second);
}

Duration Restater::delay(const std::string &name, std::uint64_t next, std::size_t liveMembers) const
{
    const auto text = this->vmId + '/' + name + '/' + std::to_string(next);
    const auto spread = SpreadPerMember * static_cast<std::int64_t>(std::max<std::size_t>(liveMembers, 1));
    return Duration(
        static_cast<Duration::rep>(XXH3_64bits(text.data(), text.size()) % static_cast<std::uint64_t>(spread.count())));
}

} // namespace Verbenadock::Control::internal
