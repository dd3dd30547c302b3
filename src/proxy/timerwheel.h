#ifndef VERBENADOCK_PROXY_TIMERWHEEL_H
#define VERBENADOCK_PROXY_TIMERWHEEL_H

#include "io.h"
#include "verbenadock/base/time.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <array>
#include <functional>

namespace Verbenadock::Proxy::internal {

class TimerWheel;

/// A timeout of a connection or an attempt. Setting and clearing a timer costs a few pointer writes.
class Timer
{
public:
    Timer(TimerWheel &owner, std::function<void()> expiryAction);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Sets the expiry time and replaces the previous one.
    void set(TimePoint at);
    void setAfter(Duration delay);
    void clear();

private:
    friend class TimerWheel;

    TimerWheel &wheel;
    std::function<void()> action;
    TimePoint due{};
    Timer *next = nullptr;
    Timer **previousLink = nullptr;
};

/// Hashed timer wheel: runs all timers of an io_context from one steady timer with a resolution of one tick.
class TimerWheel
{
public:
    static constexpr Duration Tick = std::chrono::milliseconds(5);

    explicit TimerWheel(asio::io_context &context);

    void stop();

private:
    friend class Timer;
    static constexpr std::size_t SlotCount = 4096;

    void link(Timer &timer);
    void schedule();
    void advance();
    void runSlot(std::size_t slot, TimePoint now);

    using SteadyTimer
        = asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>, Executor>;
    SteadyTimer timer;
    std::array<Timer *, SlotCount> slots{};
    std::int64_t currentTick = 0;
    std::size_t activeCount = 0;
    bool scheduled = false;
    bool stopped = false;
};

} // namespace Verbenadock::Proxy::internal

#endif
