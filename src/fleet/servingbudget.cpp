#include "verbenadock/fleet/servingbudget.h"

#include <algorithm>
#include <chrono>

namespace Verbenadock::Fleet {

namespace {

constexpr double BytesPerMegabit = 1'000'000.0 / 8;
/// Half of the time after which a receiver asks the store instead; callers use the link, too.
constexpr Duration MaxSendTime = std::chrono::milliseconds(400);
/// Pages of a few segments are sent at once in any case, since asking the store costs more.
constexpr std::size_t ShortPageBytes = 4 * 1024;

} // namespace

ServingBudget::ServingBudget(double linkMbps)
    : bytesPerSecond(linkMbps * BytesPerMegabit)
{
}

bool ServingBudget::take(std::size_t bytes, TimePoint now)
{
    if (bytes <= ShortPageBytes || !(this->bytesPerSecond > 0)) {
        return true;
    }
    const std::chrono::duration<double> sendTime(static_cast<double>(bytes) / this->bytesPerSecond);
    const auto begin = std::max(now, this->busyUntil);
    const auto end = begin + std::chrono::duration_cast<Duration>(sendTime);
    const bool isIdle = begin == now;
    if (!isIdle && end - now > MaxSendTime) {
        return false;
    }
    this->busyUntil = end;
    return true;
}

} // namespace Verbenadock::Fleet
