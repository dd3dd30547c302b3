#include "soak/record.h"

#include <algorithm>
#include <chrono>

namespace Verbenadock::Soak {

namespace {

/// A disturbance that ended this long ago no longer excuses anything.
constexpr Duration CalmAfter = std::chrono::seconds(3);

} // namespace

std::int64_t unixMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

bool isCalm(const RunRecord &run, TimePoint from, TimePoint until, const std::string &except)
{
    return std::ranges::none_of(run.disturbances, [&](const Disturbance &disturbance) {
        const bool over = disturbance.until != TimePoint::max() && disturbance.until + CalmAfter < from;
        return disturbance.kind != except && !over && disturbance.from <= until;
    });
}

} // namespace Verbenadock::Soak
