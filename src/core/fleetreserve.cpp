#include "fleetreserve.h"

#include <algorithm>

namespace Verbenadock::Core::Internal {

namespace {

/// Fraction of the reserve that one entry may use. It bounds the total when entries do not receive each other's
/// reports.
constexpr double MaxOwnShare = 1.0 / 6;
constexpr std::size_t MinOwnLimit = 2;

} // namespace

void FleetReserve::configure(std::size_t attempts, Duration slidingWindow)
{
    this->limit = attempts;
    this->window = slidingWindow;
}

bool FleetReserve::take(std::size_t reserved, TimePoint now)
{
    const auto share = static_cast<std::size_t>(static_cast<double>(this->limit) * MaxOwnShare);
    if (this->remaining(now) <= reserved || this->ownUses.size() >= std::max(MinOwnLimit, share)) {
        return false;
    }
    this->ownUses.push_back(now);
    return true;
}

void FleetReserve::noteOtherEntry(TimePoint now)
{
    this->expire(now);
    this->otherUses.push_back(now);
}

std::size_t FleetReserve::remaining(TimePoint now)
{
    this->expire(now);
    const auto used = this->ownUses.size() + this->otherUses.size();
    return used >= this->limit ? 0 : this->limit - used;
}

void FleetReserve::expire(TimePoint now)
{
    for (auto *times : {&this->ownUses, &this->otherUses}) {
        while (!times->empty() && now - times->front() >= this->window) {
            times->pop_front();
        }
    }
}

} // namespace Verbenadock::Core::Internal
