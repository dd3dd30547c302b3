#include "verbenadock/allowance/fleetsize.h"

#include <algorithm>

namespace Verbenadock::Allowance {

namespace {

// Longer than a VM serves requests after it announced its stop (10 s), plus the window in which the cap is judged (5
// s).
constexpr Duration FallDelay = std::chrono::seconds(30);

} // namespace

void FleetSize::set(std::size_t vms, TimePoint now)
{
    this->last = vms;
    if (vms >= this->current) {
        this->current = vms;
        this->fallsAt.reset();
    } else if (!this->fallsAt) {
        this->lower = vms;
        this->fallsAt = now + FallDelay;
    } else {
        this->lower = std::max(this->lower, vms);
    }
}

bool FleetSize::advance(TimePoint now)
{
    if (!this->fallsAt || now < *this->fallsAt) {
        return false;
    }
    this->current = this->lower;
    this->fallsAt.reset();
    this->set(this->last, now);
    return true;
}

std::size_t FleetSize::value() const
{
    return this->current;
}

} // namespace Verbenadock::Allowance
