#ifndef VERBENADOCK_CONTROL_DRAINTABLE_H
#define VERBENADOCK_CONTROL_DRAINTABLE_H

#include "verbenadock/control/message.h"

#include <map>

namespace Verbenadock::Control::internal {

/// The upstreams that announced their drain to any entry of the fleet, each for DrainAnnouncementLifetime.
///
/// Usage: take() each notice and forward what it returns; expire() from time to time.
class DrainTable
{
public:
    /// Returns the part of the notice that was not known, with the present ages.
    DrainNotice take(TimePoint now, const DrainNotice &notice);

    /// Whether any entry was dropped.
    bool expire(TimePoint now);

    DrainNotice notice(TimePoint now) const;
    std::vector<std::string> endpoints() const;

private:
    /// When each upstream announced its drain, by endpoint.
    std::map<std::string, TimePoint> announcedAt;
};

} // namespace Verbenadock::Control::internal

#endif
