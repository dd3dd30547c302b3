#ifndef VERBENADOCK_BASE_DRAIN_H
#define VERBENADOCK_BASE_DRAIN_H

#include "verbenadock/base/time.h"

namespace Verbenadock {

/// Lifetime of a drain announcement. The upstream is tried again afterwards, in case the drain was cancelled.
inline constexpr Duration DrainAnnouncementLifetime = std::chrono::seconds(60);

} // namespace Verbenadock

#endif
