#ifndef VERBENADOCK_MEMBERSHIP_MEMBERTABLE_H
#define VERBENADOCK_MEMBERSHIP_MEMBERTABLE_H

#include "verbenadock/membership/detector.h"

#include <map>
#include <set>

namespace Verbenadock::Membership::internal {

/// What is known of one other member.
struct Record
{
    Update update;
    /// Start of the present state.
    TimePoint since;
    /// Those that suspect it in this incarnation.
    std::set<std::string> observers;
    bool listed = false;
};

/// What an update did to the table.
enum class Change {
    None,
    /// A new member, a new incarnation or address of a live one.
    Refreshed,
    /// Another observer agrees with a suspicion.
    Supported,
    /// The state is another one.
    State,
};

/// The local view of the other members.
class MemberTable
{
public:
    explicit MemberTable(const DetectorSettings &newSettings);

    /// Returns whether a member was added.
    bool list(TimePoint now, const std::vector<Identity> &members, const std::string &self);

    Change apply(TimePoint now, const Update &update);

    /// Suspects whose time is over. The factor lengthens the timeout.
    std::vector<std::string> overdue(TimePoint now, unsigned factor) const;
    std::optional<TimePoint> nextOverdue(unsigned factor) const;
    /// Starts the timeouts of all suspicions again.
    void restartSuspicions(TimePoint now);
    void restartSuspicion(const std::string &id, TimePoint now);

    /// Removes members that have been dead for long and that the VM list no longer names.
    void forget(TimePoint now);

    const Record *find(const std::string &id) const;
    const std::map<std::string, Record> &all() const;
    /// Ids of the members that are not dead, or of those that are.
    std::vector<std::string> ids(bool dead) const;

private:
    TimePoint overdueAt(const Record &record, unsigned factor) const;

    DetectorSettings settings;
    std::map<std::string, Record> records;
};

} // namespace Verbenadock::Membership::internal

#endif
