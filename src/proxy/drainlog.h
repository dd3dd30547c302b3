#ifndef VERBENADOCK_PROXY_DRAINLOG_H
#define VERBENADOCK_PROXY_DRAINLOG_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/control/message.h"

#include <map>
#include <vector>

namespace Verbenadock::Proxy::internal {

/// The upstreams that announced to this entry that they are draining. Each is kept for DrainAnnouncementLifetime.
class DrainLog
{
public:
    /// Records an announcement. Repeated announcements keep the time of the first.
    void record(const Endpoint &upstream, TimePoint now);
    /// Removes expired announcements and returns the others with their age.
    std::vector<Control::DrainingUpstream> current(TimePoint now);

private:
    std::map<Endpoint, TimePoint> announcedAt;
};

} // namespace Verbenadock::Proxy::internal

#endif
