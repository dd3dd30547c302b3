#ifndef VERBENADOCK_KEYS_OWNERSHIP_H
#define VERBENADOCK_KEYS_OWNERSHIP_H

#include "verbenadock/base/time.h"
#include "verbenadock/keys/epochlog.h"
#include "verbenadock/keys/message.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Verbenadock::Keys::Internal {

/// Whom to ask before a key runs for the first time.
struct Inquiry
{
    /// Live members, with the processes that are gone and may have handed the key over to them.
    std::map<MemberId, std::vector<MemberId>> ask;
    /// Processes that are gone with what they knew of the key.
    std::vector<MemberId> lost;

    bool empty() const
    {
        return this->ask.empty() && this->lost.empty();
    }
};

/// The known epochs, what members confirmed, and which tables were handed over to whom.
class Ownership
{
public:
    Ownership(MemberId ownId, Duration keyWindow);

    /// Returns true when the newest epoch changed.
    bool learn(TimePoint now, const std::vector<KnownEpoch> &known);
    void confirm(TimePoint now, const MemberId &member, EpochNumber epoch);
    void addTransfers(TimePoint now, const std::vector<Transfer> &added);
    void prune(TimePoint now);

    /// Zero when no epoch is known.
    EpochNumber newest() const;
    const Epoch *newestEpoch() const;
    /// Null when no epoch is known or the newest one has no members.
    const EpochMember *owner(const Key &key) const;
    bool owns(const Key &key) const;
    const EpochMember *find(const MemberId &member) const;

    /// The processes that may have run the key within the window, and fencedBy when there is one.
    Inquiry inquire(TimePoint now, const Key &key, const std::optional<MemberId> &fencedBy) const;
    /// Whether the own table has what the process that is gone knew of the key.
    bool covers(const MemberId &gone, const Key &key) const;
    /// A wall-clock time at which the process was gone; nothing when it is not known.
    std::optional<WallTime> goneBy(const MemberId &member) const;

    std::vector<Transfer> transfers() const;
    std::size_t epochCount() const;

private:
    struct Held
    {
        KnownEpoch known;
        TimePoint learnedAt{};
    };
    struct Confirmation
    {
        EpochNumber epoch = 0;
        TimePoint at{};
    };

    const Held *goneSince(const MemberId &member) const;
    bool goneLongAgo(TimePoint now, const MemberId &member) const;
    EpochNumber settled(TimePoint now, const MemberId &member) const;
    std::optional<MemberId> holder(const MemberId &gone, const Key &key) const;
    void add(Inquiry &inquiry, const MemberId &member, const Key &key) const;

    MemberId self;
    Duration window;
    std::map<EpochNumber, Held> epochs;
    std::map<MemberId, std::vector<Confirmation>> confirmations;
    std::map<Transfer, TimePoint> received;
};

} // namespace Verbenadock::Keys::Internal

#endif
