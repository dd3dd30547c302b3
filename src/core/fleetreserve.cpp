#include "fleetreserve.h"

#include <algorithm>

namespace Verbenadock::Core::Internal {

namespace {

/// Share of the reserve that one entry may use. It bounds what entries spend that do not hear of each other.
constexpr double LargestOwnShare = 1.0 / 6;
constexpr std::size_t SmallestOwnLimit = 2;

} // namespace

void FleetReserve::configure(std::size_t attempts, Duration slidingWindow)
{
    this->limit = attempts;
    this->window = slidingWindow;
}

bool FleetReserve::take(std::size_t kept, TimePoint now)
{
    const auto share = static_cast<std::size_t>(static_cast<double>(this->limit) * LargestOwnShare);
    if (this->left(now) <= kept || this->own.size() >= std::max(SmallestOwnLimit, share)) {
        return false;
    }
    this->own.push_back(now);
    return true;
}

void FleetReserve::noteOther(TimePoint now)
{
    this->expire(now);
    this->others.push_back(now);
}

std::size_t FleetReserve::left(TimePoint now)
{
    this->expire(now);
    const auto used = this->own.size() + this->others.size();
    return used >= this->limit ? 0 : this->limit - used;
}

void FleetReserve::expire(TimePoint now)
{
    for (auto *times : {&this->own, &this->others}) {
        while (!times->empty() && now - times->front() >= this->window) {
            times->pop_front();
        }
    }
}

} // namespace Verbenadock::Core::Internal
