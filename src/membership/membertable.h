#ifndef VERBENADOCK_MEMBERSHIP_MEMBERTABLE_H
#define VERBENADOCK_MEMBERSHIP_MEMBERTABLE_H

#include "verbenadock/membership/detector.h"

#include <map>
#include <set>

namespace Verbenadock::Membership::internal {

/// State of another member in the local view.
struct MemberRecord
{
    Update update;
    /// Start of the current state or incarnation, or of the restarted suspicion timeout.
    TimePoint since;
    /// Members that suspect this one in its current incarnation.
    std::set<std::string> observers;
    bool listed = false;
};

/// Result of applying an update to the table.
enum class Change {
    None,
    /// A new member, or a new incarnation in the same state, possibly with a new address.
    Refreshed,
    /// A further observer confirms a suspicion.
    Confirmed,
    /// The member moved to another state.
    State,
};

/// The local view of the other members.
class MemberTable
{
public:
    explicit MemberTable(const DetectorSettings &newSettings);

    /// Takes over the VM list. Returns true if a member was added.
    bool list(TimePoint now, const std::vector<Identity> &members, const std::string &self);

    Change apply(TimePoint now, const Update &update);

    /// Suspects whose suspicion timeout, multiplied by `factor`, has expired.
    std::vector<std::string> expiredSuspicions(TimePoint now, unsigned factor) const;
    std::optional<TimePoint> nextSuspicionDeadline(unsigned factor) const;
    /// Restarts the timeouts of all suspicions.
    void restartSuspicions(TimePoint now);
    void restartSuspicion(const std::string &id, TimePoint now);

    /// Removes members that have been dead for `deadRetention` and that the VM list no longer names.
    void removeExpiredTombstones(TimePoint now);

    const MemberRecord *find(const std::string &id) const;
    const std::map<std::string, MemberRecord> &all() const;
    /// Ids of the dead members if `dead` is set, otherwise of the alive and suspect ones, in ascending order.
    std::vector<std::string> ids(bool dead) const;

private:
    TimePoint suspicionDeadline(const MemberRecord &record, unsigned factor) const;

    DetectorSettings settings;
    std::map<std::string, MemberRecord> records;
};

} // namespace Verbenadock::Membership::internal

#endif
