#include "membertable.h"

#include <algorithm>

namespace Verbenadock::Membership::internal {

namespace {

// Confirmations by further observers neither shorten the suspicion timeout nor are gossiped.
constexpr std::size_t MaxObservers = 3;

} // namespace

MemberTable::MemberTable(const DetectorSettings &newSettings)
    : settings(newSettings)
{
}

bool MemberTable::list(TimePoint now, const std::vector<Identity> &members, const std::string &self)
{
    bool added = false;
    for (auto &[id, record] : this->records) {
        record.listed = false;
    }
    for (const auto &member : members) {
        if (member.id == self) {
            continue;
        }
        // Members start with an incarnation above zero, so that their own updates supersede this placeholder.
        const Update placeholder{.member = member, .incarnation = 0, .state = State::Alive, .observer = {}};
        const auto [position, isNew]
            = this->records.try_emplace(member.id, MemberRecord{.update = placeholder, .since = now, .observers = {}});
        position->second.listed = true;
        added = added || isNew;
    }
    return added;
}

Change MemberTable::apply(TimePoint now, const Update &update)
{
    const auto found = this->records.find(update.member.id);
    if (found == this->records.end()) {
        // A stale dead update must not add a member again whose tombstone was removed.
        if (update.state == State::Dead) {
            return Change::None;
        }
        MemberRecord record{.update = update, .since = now, .observers = {}};
        if (update.state == State::Suspect) {
            record.observers.insert(update.observer);
        }
        this->records.emplace(update.member.id, std::move(record));
        return Change::Refreshed;
    }
    auto &record = found->second;
    const auto &current = record.update;
    const bool newer = update.incarnation > current.incarnation
                       || (update.incarnation == current.incarnation && update.state > current.state);
    if (newer) {
        const bool stateChanged = update.state != current.state;
        if (stateChanged || update.incarnation != current.incarnation) {
            record.since = now;
            record.observers.clear();
        }
        record.update = update;
        if (update.state == State::Suspect) {
            record.observers.insert(update.observer);
        }
        return stateChanged ? Change::State : Change::Refreshed;
    }
    const bool confirms = update.incarnation == current.incarnation && update.state == State::Suspect
                          && current.state == State::Suspect && record.observers.size() < MaxObservers;
    return confirms && record.observers.insert(update.observer).second ? Change::Confirmed : Change::None;
}

TimePoint MemberTable::suspicionDeadline(const MemberRecord &record, unsigned factor) const
{
    const auto observerCount
        = static_cast<Duration::rep>(std::clamp<std::size_t>(record.observers.size(), 1, MaxObservers));
    const Duration range = this->settings.maxSuspicionTimeout - this->settings.minSuspicionTimeout;
    const Duration timeout = this->settings.maxSuspicionTimeout - range * (observerCount - 1) / (MaxObservers - 1);
    return record.since + timeout * factor;
}

std::vector<std::string> MemberTable::expiredSuspicions(TimePoint now, unsigned factor) const
{
    std::vector<std::string> expired;
    for (const auto &[id, record] : this->records) {
        if (record.update.state == State::Suspect && this->suspicionDeadline(record, factor) <= now) {
            expired.push_back(id);
        }
    }
    return expired;
}

std::optional<TimePoint> MemberTable::nextSuspicionDeadline(unsigned factor) const
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, record] : this->records) {
        if (record.update.state == State::Suspect) {
            const auto at = this->suspicionDeadline(record, factor);
            earliest = earliest ? std::min(*earliest, at) : at;
        }
    }
    return earliest;
}

void MemberTable::restartSuspicions(TimePoint now)
{
    for (auto &[id, record] : this->records) {
        if (record.update.state == State::Suspect) {
            record.since = now;
        }
    }
}

void MemberTable::restartSuspicion(const std::string &id, TimePoint now)
{
    const auto found = this->records.find(id);
    if (found != this->records.end() && found->second.update.state == State::Suspect) {
        found->second.since = now;
    }
}

void MemberTable::removeExpiredTombstones(TimePoint now)
{
    std::erase_if(this->records, [&](const auto &item) {
        const auto &record = item.second;
        return record.update.state == State::Dead && !record.listed
               && now - record.since >= this->settings.deadRetention;
    });
}

const MemberRecord *MemberTable::find(const std::string &id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

const std::map<std::string, MemberRecord> &MemberTable::all() const
{
    return this->records;
}

std::vector<std::string> MemberTable::ids(bool dead) const
{
    std::vector<std::string> matching;
    for (const auto &[id, record] : this->records) {
        if ((record.update.state == State::Dead) == dead) {
            matching.push_back(id);
        }
    }
    return matching;
}

} // namespace Verbenadock::Membership::internal
