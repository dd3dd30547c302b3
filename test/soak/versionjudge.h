#ifndef VERBENADOCK_SOAK_VERSIONJUDGE_H
#define VERBENADOCK_SOAK_VERSIONJUDGE_H

#include "soak/record.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Verbenadock::Soak {

/// Time in which every VM applies a new configuration, in microseconds: the bound of the platform, and the time that a
/// request may need on a busy machine.
inline constexpr std::int64_t ApplyTimeUs = 2'500'000 + 500'000;

/// The newest version that every VM has to apply at this time, in microseconds since 1970; null without one.
const PublishedVersion *dueVersion(const RunRecord &run, std::int64_t atUs);

/// Whether neither the VM nor the store was disturbed in the time that the VM had to apply the configuration.
/// Disturbances of upstreams and of other VMs do not excuse a VM that has an old configuration.
bool isUndisturbed(const RunRecord &run, std::size_t vm, TimePoint until);

/// Adds a sentence for each request on a route of the newest version that was denied by an entry that had served this
/// version, or by an entry that had the time to apply it.
void judgeVersions(const RunRecord &run, std::vector<std::string> &broken);

} // namespace Verbenadock::Soak

#endif
