#include "drainlog.h"

#include "verbenadock/base/drain.h"

namespace Verbenadock::Proxy::internal {

void DrainLog::note(const Endpoint &upstream, TimePoint now)
{
    // Answers that come after the announcement only repeat it.
    this->announcedAt.emplace(upstream, now);
}

std::vector<Control::DrainingUpstream> DrainLog::current(TimePoint now)
{
    std::erase_if(this->announcedAt, [now](const auto &entry) {
        return now - entry.second >= DrainAnnouncementLifetime;
    });
    std::vector<Control::DrainingUpstream> result;
    for (const auto &[endpoint, at] : this->announcedAt) {
        result.push_back({.endpoint = toString(endpoint), .age = now - at});
    }
    return result;
}

} // namespace Verbenadock::Proxy::internal
