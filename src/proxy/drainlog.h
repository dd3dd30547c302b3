#ifndef VERBENADOCK_PROXY_DRAINLOG_H
#define VERBENADOCK_PROXY_DRAINLOG_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/control/message.h"

#include <map>
#include <vector>

namespace Verbenadock::Proxy::internal {

/// The upstreams that announced their drain to this entry, each for DrainAnnouncementLifetime.
class DrainLog
{
public:
    void note(const Endpoint &upstream, TimePoint now);
    std::vector<Control::DrainingUpstream> current(TimePoint now);

private:
    std::map<Endpoint, TimePoint> announcedAt;
};

} // namespace Verbenadock::Proxy::internal

#endif
