#include "timerwheel.h"

#include <algorithm>

namespace Verbenadock::Proxy::internal {

namespace {

std::int64_t tickOf(TimePoint at)
{
    return at.time_since_epoch() / TimerWheel::Tick;
}

} // namespace

Timer::Timer(TimerWheel &owner, std::function<void()> expiryAction)
    : wheel(owner)
    , action(std::move(expiryAction))
{
}

Timer::~Timer()
{
    this->clear();
}

void Timer::set(TimePoint at)
{
    this->clear();
    this->due = at;
    this->wheel.link(*this);
}

void Timer::setAfter(Duration delay)
{
    this->set(monotonicNow() + delay);
}

void Timer::clear()
{
    if (!this->previousLink) {
        return;
    }
    *this->previousLink = this->next;
    if (this->next) {
        this->next->previousLink = this->previousLink;
    }
    this->next = nullptr;
    this->previousLink = nullptr;
    --this->wheel.activeCount;
}

TimerWheel::TimerWheel(asio::io_context &context)
    : timer(context.get_executor())
{
}

void TimerWheel::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

void TimerWheel::link(Timer &item)
{
    if (this->activeCount == 0 && !this->scheduled) {
        this->currentTick = tickOf(monotonicNow());
    }
    // Uses the slot after the due tick, so that a timer never fires early.
    const auto tick = std::max(tickOf(item.due), this->currentTick) + 1;
    auto &head = this->slots[static_cast<std::size_t>(tick) % SlotCount];
    item.next = head;
    item.previousLink = &head;
    if (head) {
        head->previousLink = &item.next;
    }
    head = &item;
    ++this->activeCount;
    this->schedule();
}

void TimerWheel::schedule()
{
    if (this->scheduled || this->stopped || this->activeCount == 0) {
        return;
    }
    this->scheduled = true;
    this->timer.expires_after(timeUntil(TimePoint((this->currentTick + 1) * Tick)));
    this->timer.async_wait([this](ErrorCode error) {
        if (!error && !this->stopped) {
            this->scheduled = false;
            this->advance();
            this->schedule();
        }
    });
}

void TimerWheel::advance()
{
    const auto now = monotonicNow();
    const auto target = tickOf(now);
    // After a long pause each slot is visited only once; runSlot() checks the due time of each timer.
    const auto first = std::max(this->currentTick + 1, target - static_cast<std::int64_t>(SlotCount) + 1);
    for (auto tick = first; tick <= target; ++tick) {
        this->currentTick = tick;
        this->runSlot(static_cast<std::size_t>(tick) % SlotCount, now);
    }
    this->currentTick = std::max(this->currentTick, target);
}

void TimerWheel::runSlot(std::size_t slot, TimePoint now)
{
    // An action may set or clear any timer, so the scan restarts after each action.
    for (auto *item = this->slots[slot]; item;) {
        if (item->due > now) {
            item = item->next;
            continue;
        }
        item->clear();
        item->action();
        item = this->slots[slot];
    }
}

} // namespace Verbenadock::Proxy::internal
