#include "timerqueue.h"

namespace Verbenadock::Core::Internal {

void TimerQueue::setEntry(std::size_t position, const Entry &entry)
{
    this->heap[position] = entry;
    this->positions[entry.owner] = position + 1;
}

void TimerQueue::siftUp(std::size_t position)
{
    const Entry entry = this->heap[position];
    while (position > 0 && entry < this->heap[(position - 1) / 2]) {
        this->setEntry(position, this->heap[(position - 1) / 2]);
        position = (position - 1) / 2;
    }
    this->setEntry(position, entry);
}

void TimerQueue::siftDown(std::size_t position)
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
        this->setEntry(position, this->heap[child]);
        position = child;
    }
    this->setEntry(position, entry);
}

void TimerQueue::set(std::uint32_t owner, TimePoint at)
{
    if (owner >= this->positions.size()) {
        this->positions.resize(owner + 1, 0);
    }
    if (this->positions[owner] == 0) {
        this->heap.push_back(Entry{.at = at, .owner = owner});
        this->siftUp(this->heap.size() - 1);
        return;
    }
    const auto position = this->positions[owner] - 1;
    const bool earlier = at < this->heap[position].at;
    this->heap[position].at = at;
    if (earlier) {
        this->siftUp(position);
    } else {
        this->siftDown(position);
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
    this->setEntry(position, last);
    this->siftUp(position);
    this->siftDown(this->positions[last.owner] - 1);
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
