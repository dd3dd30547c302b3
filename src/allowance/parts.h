#ifndef VERBENADOCK_ALLOWANCE_PARTS_H
#define VERBENADOCK_ALLOWANCE_PARTS_H

#include "verbenadock/base/time.h"
#include "verbenadock/mesh/message.h"

#include <cstdint>

namespace Verbenadock::Allowance::Internal {

constexpr std::uint64_t WholeShare = 1000;

/// How a VM divides its share between the hubs of its data centre and itself, in thousandths of the share.
constexpr Mesh::AllowanceParts FirstHubParts{.small = 850, .large = 600};
constexpr Mesh::AllowanceParts SecondHubParts{.small = 150, .large = 250};
constexpr std::uint64_t KeptLargePart = WholeShare - FirstHubParts.large - SecondHubParts.large;

/// Time for which a granted token may be used, from the sending of the request for it.
constexpr Duration TokenLifetime = std::chrono::milliseconds(300);

/// Time after a VM learnt of the other VMs in which it takes no silence for a failure, since all VMs may have started
/// together. It lends only to hubs that have answered it, and its requests wait longer for them.
constexpr Duration StartTime = std::chrono::milliseconds(1200);
/// Time in which a VM does not use its share itself after it learnt of the other VMs, because hubs may still hold a
/// loan of the process before. A new loan replaces that one.
constexpr Duration KeepDelay = std::chrono::seconds(1);

} // namespace Verbenadock::Allowance::Internal

#endif
