#include "updatequeue.h"

#include <algorithm>

namespace Verbenadock::Membership::internal {

void UpdateQueue::push(const Update &update, std::size_t transmissions)
{
    this->items[update.member.id] = QueuedUpdate{.update = update, .remaining = transmissions, .informedPeers = {}};
}

void UpdateQueue::markInformed(const Update &update, const std::string &peer)
{
    const auto found = this->items.find(update.member.id);
    if (found != this->items.end() && found->second.update == update) {
        found->second.informedPeers.insert(peer);
    }
}

std::vector<Update> UpdateQueue::take(const std::string &peer, std::size_t limit)
{
    std::vector<QueuedUpdate *> order;
    order.reserve(this->items.size());
    for (auto &[id, item] : this->items) {
        if (!item.informedPeers.contains(peer)) {
            order.push_back(&item);
        }
    }
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(limit, order.size()));
    std::partial_sort(order.begin(), end, order.end(), [](const QueuedUpdate *left, const QueuedUpdate *right) {
        return left->remaining != right->remaining ? left->remaining > right->remaining
                                                   : left->update.member.id < right->update.member.id;
    });
    std::vector<Update> taken;
    for (auto item = order.begin(); item != end; ++item) {
        taken.push_back((*item)->update);
        --(*item)->remaining;
        (*item)->informedPeers.insert(peer);
    }
    std::erase_if(this->items, [](const auto &item) {
        return item.second.remaining == 0;
    });
    return taken;
}

} // namespace Verbenadock::Membership::internal
