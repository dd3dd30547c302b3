#ifndef VERBENADOCK_BASE_DRAIN_H
#define VERBENADOCK_BASE_DRAIN_H

#include "verbenadock/base/time.h"

namespace Verbenadock {

/// An upstream that announced its drain is asked again after this time, in case the announcement was withdrawn.
inline constexpr Duration DrainMemory = std::chrono::seconds(60);

} // namespace Verbenadock

#endif
