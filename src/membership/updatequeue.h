#ifndef VERBENADOCK_MEMBERSHIP_UPDATEQUEUE_H
#define VERBENADOCK_MEMBERSHIP_UPDATEQUEUE_H

#include "verbenadock/membership/member.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Verbenadock::Membership::internal {

/// Updates that ride on heartbeats. Each is passed on a bounded number of times, and once to the same peer; a newer one
/// replaces an older one.
class UpdateQueue
{
public:
    void push(const Update &update, std::size_t transmissions);

    /// The peer has sent exactly this update, so that it needs not get it.
    void noteKnown(const Update &update, const std::string &peer);

    /// Up to `limit` updates that the peer has not got yet, those passed on the fewest times first.
    std::vector<Update> take(const std::string &peer, std::size_t limit);

private:
    struct Item
    {
        Update update;
        std::size_t remaining = 0;
        std::set<std::string> informed;
    };

    std::map<std::string, Item> items;
};

} // namespace Verbenadock::Membership::internal

#endif
