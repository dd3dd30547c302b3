#include "membertable.h"

#include <algorithm>

namespace Verbenadock::Membership::internal {

namespace {

// More observers than this shorten the timeout no further, and their agreement is not passed on.
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
        // Any incarnation that the member names itself is higher than zero.
        const Update unknown{.member = member, .incarnation = 0, .state = State::Alive, .observer = {}};
        const auto [position, isNew]
            = this->records.try_emplace(member.id, Record{.update = unknown, .since = now, .observers = {}});
        position->second.listed = true;
        added = added || isNew;
    }
    return added;
}

Change MemberTable::apply(TimePoint now, const Update &update)
{
    const auto found = this->records.find(update.member.id);
    if (found == this->records.end()) {
        // An old rumour must not bring back a member that was forgotten.
        if (update.state == State::Dead) {
            return Change::None;
        }
        Record record{.update = update, .since = now, .observers = {}};
        if (update.state == State::Suspect) {
            record.observers.insert(update.observer);
        }
        this->records.emplace(update.member.id, std::move(record));
        return Change::Refreshed;
    }
    auto &record = found->second;
    const auto &known = record.update;
    const bool newer = update.incarnation > known.incarnation
                       || (update.incarnation == known.incarnation && update.state > known.state);
    if (newer) {
        const bool changed = update.state != known.state;
        if (changed || update.incarnation != known.incarnation) {
            record.since = now;
            record.observers.clear();
        }
        record.update = update;
        if (update.state == State::Suspect) {
            record.observers.insert(update.observer);
        }
        return changed ? Change::State : Change::Refreshed;
    }
    const bool agrees = update.incarnation == known.incarnation && update.state == State::Suspect
                        && known.state == State::Suspect && record.observers.size() < MaxObservers;
    return agrees && record.observers.insert(update.observer).second ? Change::Supported : Change::None;
}

TimePoint MemberTable::overdueAt(const Record &record, unsigned factor) const
{
    const auto agreeing = static_cast<Duration::rep>(std::clamp<std::size_t>(record.observers.size(), 1, MaxObservers));
    const Duration range = this->settings.maxSuspicionTimeout - this->settings.minSuspicionTimeout;
    const Duration timeout = this->settings.maxSuspicionTimeout - range * (agreeing - 1) / (MaxObservers - 1);
    return record.since + timeout * factor;
}

std::vector<std::string> MemberTable::overdue(TimePoint now, unsigned factor) const
{
    std::vector<std::string> found;
    for (const auto &[id, record] : this->records) {
        if (record.update.state == State::Suspect && this->overdueAt(record, factor) <= now) {
            found.push_back(id);
        }
    }
    return found;
}

std::optional<TimePoint> MemberTable::nextOverdue(unsigned factor) const
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, record] : this->records) {
        if (record.update.state == State::Suspect) {
            const auto at = this->overdueAt(record, factor);
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

void MemberTable::forget(TimePoint now)
{
    std::erase_if(this->records, [&](const auto &item) {
        const auto &record = item.second;
        return record.update.state == State::Dead && !record.listed
               && now - record.since >= this->settings.deadRetention;
    });
}

const Record *MemberTable::find(const std::string &id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

const std::map<std::string, Record> &MemberTable::all() const
{
    return this->records;
}

std::vector<std::string> MemberTable::ids(bool dead) const
{
    std::vector<std::string> found;
    for (const auto &[id, record] : this->records) {
        if ((record.update.state == State::Dead) == dead) {
            found.push_back(id);
        }
    }
    return found;
}

} // namespace Verbenadock::Membership::internal
