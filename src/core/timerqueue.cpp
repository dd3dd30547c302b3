#include "timerqueue.h"

namespace Verbenadock::Core::Internal {

void TimerQueue::place(std::size_t position, const Entry &entry)
{
    this->heap[position] = entry;
    this->positions[entry.owner] = position + 1;
}

void TimerQueue::moveUp(std::size_t position)
{
    const Entry entry = this->heap[position];
    while (position > 0 && entry < this->heap[(position - 1) / 2]) {
        this->place(position, this->heap[(position - 1) / 2]);
        position = (position - 1) / 2;
    }
    this->place(position, entry);
}

void TimerQueue::moveDown(std::size_t position)
{
    const Entry entry = this->heap[position];
    while (true) {
        std::size_t child = 2 * position + 1;
        if (child >= this->heap.size()) {
            break;
        }
        if (child + 1 < this->heap.size() && this->heap[child + 1] < this->heap[child]) {
            ++child;
        }
        if (!(this->heap[child] < entry)) {
            break;
        }
        this->place(position, this->heap[child]);
        position = child;
    }
    this->place(position, entry);
}

void TimerQueue::set(std::uint32_t owner, TimePoint at)
{
    if (owner >= this->positions.size()) {
        this->positions.resize(owner + 1, 0);
    }
    if (this->positions[owner] == 0) {
        this->heap.push_back(Entry{.at = at, .owner = owner});
        this->moveUp(this->heap.size() - 1);
        return;
    }
    const auto position = this->positions[owner] - 1;
    const bool earlier = at < this->heap[position].at;
    this->heap[position].at = at;
    if (earlier) {
        this->moveUp(position);
    } else {
        this->moveDown(position);
    }
}

void TimerQueue::clear(std::uint32_t owner)
{
    if (owner >= this->positions.size() || this->positions[owner] == 0) {
        return;
    }
    const auto position = this->positions[owner] - 1;
    this->positions[owner] = 0;
    const Entry last = this->heap.back();
    this->heap.pop_back();
    if (position == this->heap.size()) {
        return;
    }
    this->place(position, last);
    this->moveUp(position);
    this->moveDown(this->positions[last.owner] - 1);
}

std::optional<TimePoint> TimerQueue::next() const
{
    return this->heap.empty() ? std::nullopt : std::optional(this->heap.front().at);
}

std::optional<std::uint32_t> TimerQueue::popDue(TimePoint now)
{
    if (this->heap.empty() || this->heap.front().at > now) {
        return std::nullopt;
    }
    const auto owner = this->heap.front().owner;
    this->clear(owner);
    return owner;
}

} // namespace Verbenadock::Core::Internal
