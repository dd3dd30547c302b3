#include "draintable.h"

#include "verbenadock/base/drain.h"

namespace Verbenadock::Control::internal {

namespace {

// More draining upstreams than this at once are no news that has to travel ahead of the VM list.
constexpr std::size_t MaxDrains = 10'000;

} // namespace

DrainNotice DrainTable::take(TimePoint now, const DrainNotice &notice)
{
    DrainNotice news;
    for (const auto &upstream : notice.upstreams) {
        if (upstream.age >= DrainAnnouncementLifetime || this->announcedAt.size() >= MaxDrains) {
            continue;
        }
        if (this->announcedAt.emplace(upstream.endpoint, now - upstream.age).second) {
            news.upstreams.push_back(upstream);
        }
    }
    return news;
}

bool DrainTable::expire(TimePoint now)
{
    return std::erase_if(this->announcedAt,
                         [now](const auto &entry) {
                             return now - entry.second >= DrainAnnouncementLifetime;
                         })
           > 0;
}

DrainNotice DrainTable::notice(TimePoint now) const
{
    DrainNotice all;
    for (const auto &[endpoint, at] : this->announcedAt) {
        all.upstreams.push_back({.endpoint = endpoint, .age = now - at});
    }
    return all;
}

std::vector<std::string> DrainTable::endpoints() const
{
    std::vector<std::string> result;
    for (const auto &[endpoint, at] : this->announcedAt) {
        result.push_back(endpoint);
    }
    return result;
}

} // namespace Verbenadock::Control::internal
