#include "earlyreturns.h"

#include <cmath>

namespace Verbenadock::Core::Internal {

namespace {

/// Callers that are remembered, about 100 bytes each.
constexpr std::size_t MaxCallers = 4096;
/// Time constant of the count. It is longer than a burst of repetitions and shorter than an operator's correction of a
/// caller.
constexpr double MemorySeconds = 5;
/// A single early return may be another request of the same caller; callers that repeat at once reach this count with
/// their second repetition.
constexpr double OftenCount = 1.5;

} // namespace

bool EarlyReturns::noteArrival(std::uint64_t caller, TimePoint now)
{
    const auto found = this->callerByKey.find(caller);
    if (found == this->callerByKey.end()) {
        return false;
    }
    auto &state = *found->second;
    state.earlyReturns *= std::exp(-std::chrono::duration<double>(now - state.updatedAt).count() / MemorySeconds);
    state.updatedAt = now;
    state.earlyReturns += now < state.returnAt ? 1 : 0;
    state.returnAt = TimePoint{};
    return state.earlyReturns >= OftenCount;
}

void EarlyReturns::noteRejection(std::uint64_t caller, TimePoint now, TimePoint returnAt)
{
    const auto found = this->callerByKey.find(caller);
    if (found != this->callerByKey.end()) {
        this->callers.splice(this->callers.begin(), this->callers, found->second);
        found->second->returnAt = returnAt;
        return;
    }
    if (this->callers.size() >= MaxCallers) {
        this->callerByKey.erase(this->callers.back().key);
        this->callers.pop_back();
    }
    this->callers.push_front(Caller{.key = caller, .returnAt = returnAt, .earlyReturns = 0, .updatedAt = now});
    this->callerByKey.emplace(caller, this->callers.begin());
}

std::size_t EarlyReturns::size() const
{
    return this->callers.size();
}

} // namespace Verbenadock::Core::Internal
