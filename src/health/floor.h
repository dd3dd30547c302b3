#ifndef VERBENADOCK_HEALTH_FLOOR_H
#define VERBENADOCK_HEALTH_FLOOR_H

#include "member.h"

#include <vector>

namespace Verbenadock::Health::Internal {

/// Slots that ejection has to leave in use.
unsigned floorSlots(const std::vector<Member> &members, double floorPercent);

/// Slots of the upstreams that are neither ejected, on trial, nor leaving.
unsigned slotsInUse(const std::vector<Member> &members);

/// Divides the sick upstreams into ejected ones and those held in use by the floor: worst first, ties by id, so that
/// entries with the same view decide alike. Sets the state only; the caller keeps the times.
void applyFloor(std::vector<Member> &members, double floorPercent);

} // namespace Verbenadock::Health::Internal

#endif
