#ifndef VERBENADOCK_SOAK_ANNOUNCEMENTJUDGE_H
#define VERBENADOCK_SOAK_ANNOUNCEMENTJUDGE_H

#include "harness/environment.h"
#include "soak/record.h"

#include <string>
#include <vector>

namespace Verbenadock::Soak {

/// Adds a sentence for each request that reached an upstream too late after a VM had passed on that it leaves, and for
/// each pause in which a VM sent an upstream more than the platform allows.
void judgeAnnouncements(const RunRecord &run, const Test::Json &arrivals, std::vector<std::string> &broken);

} // namespace Verbenadock::Soak

#endif
