#ifndef VERBENADOCK_FLEET_SERVINGBUDGET_H
#define VERBENADOCK_FLEET_SERVINGBUDGET_H

#include "verbenadock/base/time.h"

#include <cstddef>

namespace Verbenadock::Fleet {

/// Limits the long pages that a VM sends to others at the same time to those that its link carries before the receivers
/// give up. If it sent all of them, each would get its page too late.
class ServingBudget
{
public:
    /// The rate of the link in Mbit/s; zero for no limit.
    explicit ServingBudget(double linkMbps);

    /// Whether a page of this many bytes is to be sent now. Counts it if so.
    bool take(std::size_t bytes, TimePoint now);

private:
    double bytesPerSecond;
    /// Time at which the link will have carried all pages that were counted.
    TimePoint busyUntil;
};

} // namespace Verbenadock::Fleet

#endif
