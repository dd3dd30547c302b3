#ifndef VERBENADOCK_CORE_EARLYRETURNS_H
#define VERBENADOCK_CORE_EARLYRETURNS_H

#include "verbenadock/base/time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace Verbenadock::Core::Internal {

/// Counts, for each caller, the rejections of the last seconds after which it came back before its Retry-After. The
/// least recently rejected caller is forgotten when there are too many.
///
/// Usage: noteArrival() for each request, noteRejection() for each rejection with Retry-After.
class EarlyReturns
{
public:
    /// Returns whether the caller often comes back too early.
    bool noteArrival(std::uint64_t caller, TimePoint now);
    void noteRejection(std::uint64_t caller, TimePoint now, TimePoint returnAt);

    std::size_t size() const;

private:
    struct Caller
    {
        std::uint64_t key = 0;
        /// Time at which the caller may return; it is cleared by the next arrival, so that a rejection counts once.
        TimePoint returnAt{};
        /// Decays exponentially.
        double earlyReturns = 0;
        TimePoint updatedAt{};
    };

    /// Most recently rejected first.
    std::list<Caller> callers;
    std::unordered_map<std::uint64_t, std::list<Caller>::iterator> callerByKey;
};

} // namespace Verbenadock::Core::Internal

#endif
