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

/// The members to query before a key runs for the first time.
struct FenceTargets
{
    /// Live members, each with the ended processes that may have handed the key over to it.
    std::map<MemberId, std::vector<MemberId>> members;
    /// Ended processes whose record of the key, if any, is lost.
    std::vector<MemberId> lost;

    bool empty() const
    {
        return this->members.empty() && this->lost.empty();
    }
};

/// The known epochs, the confirmations of members, and the completed hand-overs.
class Ownership
{
public:
    Ownership(MemberId ownId, Duration keyWindow);

    /// Adds epochs. Returns true when the newest epoch changed.
    bool addEpochs(TimePoint now, const std::vector<KnownEpoch> &known);
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

    /// The processes that may have run the key within the window, and fencedBy if given.
    FenceTargets fenceTargets(TimePoint now, const Key &key, const std::optional<MemberId> &fencedBy) const;
    /// Whether the records of an ended process for the key were handed over to this process.
    bool covers(const MemberId &gone, const Key &key) const;
    /// A wall-clock time at which the process had ended; nothing when no such time is known.
    std::optional<WallTime> goneBy(const MemberId &member) const;

    std::vector<Transfer> transfers() const;
    std::size_t epochCount() const;

private:
    struct EpochEntry
    {
        KnownEpoch known;
        TimePoint learnedAt{};
    };
    struct Confirmation
    {
        EpochNumber epoch = 0;
        TimePoint at{};
    };

    const EpochEntry *firstEpochWithout(const MemberId &member) const;
    bool goneForWindow(TimePoint now, const MemberId &member) const;
    EpochNumber confirmedForWindow(TimePoint now, const MemberId &member) const;
    std::optional<MemberId> currentHolder(const MemberId &gone, const Key &key) const;
    void addTarget(FenceTargets &targets, const MemberId &member, const Key &key) const;

    MemberId self;
    Duration window;
    std::map<EpochNumber, EpochEntry> epochs;
    std::map<MemberId, std::vector<Confirmation>> confirmations;
    std::map<Transfer, TimePoint> receivedTransfers;
};

} // namespace Verbenadock::Keys::Internal

#endif
