#ifndef VERBENADOCK_MEMBERSHIP_UPDATEQUEUE_H
#define VERBENADOCK_MEMBERSHIP_UPDATEQUEUE_H

#include "verbenadock/membership/member.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Verbenadock::Membership::internal {

/// Updates to be piggybacked on heartbeats. Each update is sent a bounded number of times and at most once to a peer; a
/// newer update about a member replaces the queued one.
class UpdateQueue
{
public:
    void push(const Update &update, std::size_t transmissions);

    /// Records that the peer has sent this update itself, so that the update is not sent back.
    void markInformed(const Update &update, const std::string &peer);

    /// Returns up to `limit` updates that the peer does not have, those with the most transmissions left first.
    std::vector<Update> take(const std::string &peer, std::size_t limit);

private:
    struct QueuedUpdate
    {
        Update update;
        std::size_t remaining = 0;
        std::set<std::string> informedPeers;
    };

    std::map<std::string, QueuedUpdate> items;
};

} // namespace Verbenadock::Membership::internal

#endif
