#include "draintable.h"

#include "verbenadock/base/drain.h"

namespace Verbenadock::Control::internal {

namespace {

// Further draining upstreams are not propagated ahead of the VM list.
constexpr std::size_t MaxDrainingUpstreams = 10'000;

} // namespace

DrainNotice DrainTable::merge(TimePoint now, const DrainNotice &notice)
{
    DrainNotice added;
    for (const auto &upstream : notice.upstreams) {
        if (upstream.age >= DrainAnnouncementLifetime || this->announcedAt.size() >= MaxDrainingUpstreams) {
            continue;
        }
        if (this->announcedAt.emplace(upstream.endpoint, now - upstream.age).second) {
            added.upstreams.push_back(upstream);
        }
    }
    return added;
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
    DrainNotice complete;
    for (const auto &[endpoint, at] : this->announcedAt) {
        complete.upstreams.push_back({.endpoint = endpoint, .age = now - at});
    }
    return complete;
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
