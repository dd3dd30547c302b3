#include "drainlog.h"

#include "verbenadock/base/drain.h"

namespace Verbenadock::Proxy::internal {

void DrainLog::record(const Endpoint &upstream, TimePoint now)
{
    // Each later answer of the upstream repeats the announcement, so the first time is kept.
    this->announcedAt.emplace(upstream, now);
}

std::vector<Control::DrainingUpstream> DrainLog::current(TimePoint now)
{
    std::erase_if(this->announcedAt, [now](const auto &entry) {
        return now - entry.second >= DrainAnnouncementLifetime;
    });
    std::vector<Control::DrainingUpstream> result;
    for (const auto &[endpoint, firstAnnounced] : this->announcedAt) {
        result.push_back({.endpoint = toString(endpoint), .age = now - firstAnnounced});
    }
    return result;
}

} // namespace Verbenadock::Proxy::internal
