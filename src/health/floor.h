#ifndef VERBENADOCK_HEALTH_FLOOR_H
#define VERBENADOCK_HEALTH_FLOOR_H

#include "member.h"

#include <vector>

namespace Verbenadock::Health::Internal {

/// Minimum number of slots that ejection leaves in use.
unsigned floorSlots(const std::vector<Member> &members, double floorPercent);

/// Slots of the upstreams in use, see Member::isInUse().
unsigned slotsInUse(const std::vector<Member> &members);

/// Ejects unhealthy upstreams, worst first, while the remaining slots reach the floor; the others are held in use by
/// the floor. Ties are broken by id, so that entries with the same view decide alike. Sets the state only; the caller
/// updates the times.
void applyFloor(std::vector<Member> &members, double floorPercent);

} // namespace Verbenadock::Health::Internal

#endif
