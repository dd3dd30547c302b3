#ifndef VERBENADOCK_CONTROL_DRAINTABLE_H
#define VERBENADOCK_CONTROL_DRAINTABLE_H

#include "verbenadock/control/message.h"

#include <map>

namespace Verbenadock::Control::internal {

/// Upstreams that announced their drain to any entry of the fleet. Entries expire after DrainAnnouncementLifetime.
///
/// Usage: merge() each notice and forward the returned part; call expire() periodically.
class DrainTable
{
public:
    /// Adds the upstreams of a notice and returns the new ones, with their current ages.
    DrainNotice merge(TimePoint now, const DrainNotice &notice);

    /// Removes expired entries. Returns true if any was removed.
    bool expire(TimePoint now);

    /// All entries with their current ages.
    DrainNotice notice(TimePoint now) const;
    std::vector<std::string> endpoints() const;

private:
    /// Time of the announcement, by endpoint.
    std::map<std::string, TimePoint> announcedAt;
};

} // namespace Verbenadock::Control::internal

#endif
