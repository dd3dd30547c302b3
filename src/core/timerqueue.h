#ifndef VERBENADOCK_CORE_TIMERQUEUE_H
#define VERBENADOCK_CORE_TIMERQUEUE_H

#include "verbenadock/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Verbenadock::Core::Internal {

/// Heap of at most one timer per owner, where owners are small indices. Unlike lazy deletion, it stays as small as the
/// number of owners when requests complete long before their deadlines.
///
/// Usage: set() and clear() timers; popDue() returns the owners whose time has come.
class TimerQueue
{
public:
    void set(std::uint32_t owner, TimePoint at);
    void clear(std::uint32_t owner);

    std::optional<TimePoint> next() const;

    /// Removes and returns the owner of the earliest timer that is due.
    std::optional<std::uint32_t> popDue(TimePoint now);

private:
    struct Entry
    {
        TimePoint at;
        std::uint32_t owner = 0;

        auto operator<=>(const Entry &) const = default;
    };

    void place(std::size_t position, const Entry &entry);
    void moveUp(std::size_t position);
    void moveDown(std::size_t position);

    std::vector<Entry> heap;
    /// Position in the heap plus one, by owner; zero without a timer.
    std::vector<std::size_t> positions;
};

} // namespace Verbenadock::Core::Internal

#endif
