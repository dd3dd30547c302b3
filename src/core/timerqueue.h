#ifndef VERBENADOCK_CORE_TIMERQUEUE_H
#define VERBENADOCK_CORE_TIMERQUEUE_H

#include "verbenadock/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Verbenadock::Core::Internal {

/// Indexed heap with at most one timer per owner, where owners are small indices. Cleared timers are removed at once,
/// since lazy deletion would let the heap grow when requests complete long before their deadlines.
///
/// Usage: set() and clear() timers; popDue() returns the owners whose timers are due.
class TimerQueue
{
public:
    void set(std::uint32_t owner, TimePoint at);
    void clear(std::uint32_t owner);

    std::optional<TimePoint> next() const;

    /// Removes the earliest timer if it is due and returns its owner.
    std::optional<std::uint32_t> popDue(TimePoint now);

private:
    struct Entry
    {
        TimePoint at;
        std::uint32_t owner = 0;

        auto operator<=>(const Entry &) const = default;
    };

    void setEntry(std::size_t position, const Entry &entry);
    void siftUp(std::size_t position);
    void siftDown(std::size_t position);

    std::vector<Entry> heap;
    /// Position in the heap plus one, by owner; zero without a timer.
    std::vector<std::size_t> positions;
};

} // namespace Verbenadock::Core::Internal

#endif
