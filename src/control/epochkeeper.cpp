#include "epochkeeper.h"

#include "verbenadock/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbenadock::Control::internal {

namespace {

constexpr std::size_t MaxRecordsPerRead = 100;
constexpr Duration MaxPollDelay = std::chrono::seconds(5);
// Changes within this interval share an epoch, so that a restart of many VMs needs few appends.
constexpr Duration BatchInterval = std::chrono::seconds(1);
constexpr std::size_t PreferredAppenders = 2;
// The other members append only if the preferred appenders did not.
constexpr Duration FallbackDelay = std::chrono::seconds(3);
constexpr Duration FallbackSpread = std::chrono::seconds(5);
// An append is retried after this time if its record does not appear in the stream.
constexpr Duration AppendRetryDelay = std::chrono::seconds(2);
constexpr Duration ExchangeInterval = std::chrono::seconds(1);
// Time to wait for the epochs of peers when the beginning of the stream is no longer retained.
constexpr Duration PeerAnswerTimeout = std::chrono::seconds(5);

Keys::WallTime toWallTime(std::uint64_t milliseconds)
{
    return Keys::WallTime(std::chrono::milliseconds(milliseconds));
}

KeyEpochRecord toMessage(const Keys::KnownEpoch &known)
{
    return {.record = Keys::encodeEpoch(known.epoch),
            .knownBy = static_cast<std::uint64_t>(known.knownBy.time_since_epoch().count())};
}

} // namespace

EpochKeeper::EpochKeeper(const AgentReducerSettings &settings, TimePoint now)
    : vmId(settings.vmId)
    , pollInterval(settings.logPollInterval)
    , pollDelay(settings.logPollInterval)
    , startedAt(now)
    , nextRead(now)
    , nextExchange(now + ExchangeInterval)
{
}

bool EpochKeeper::applyRecord(TimePoint now, Keys::WallTime wall, const std::string &record, bool afterGap)
{
    if (afterGap && this->log.newest()) {
        try {
            // This agent has missed the epochs in between, so that the record cannot continue its history.
            if (Keys::decodeEpoch(record).replaces > this->log.newest()->number) {
                this->log = Keys::EpochLog();
            }
        } catch (const Keys::EpochError &) {
            // Ignored here; apply() counts the invalid record.
        }
    }
    return this->log.apply(now, wall, record) == Keys::EpochResult::Accepted;
}

void EpochKeeper::publishNewest(const std::string &source,
                                const std::vector<std::string> &linked,
                                AgentEffects &effects)
{
    this->appendAt.reset();
    this->removeSettledMembers();
    const auto known = this->log.epochs();
    const auto &newest = known.back();
    effects.emplace_back(ReportAgentChange{
        EpochChanged{.epoch = newest.epoch.number, .members = newest.epoch.members.size(), .source = source}});
    effects.emplace_back(SendToEntry{this->known()});
    for (const auto &peer : linked) {
        if (peer != source) {
            effects.emplace_back(SendToPeer{peer, KeyEpochs{false, {toMessage(newest)}}});
        }
    }
}

void EpochKeeper::handle(const EpochRecordsRead &event, const std::vector<std::string> &linked, AgentEffects &effects)
{
    this->reading = false;
    this->available = true;
    this->pollDelay = this->pollInterval;
    bool gap = event.first > this->offset;
    this->offset = std::max(this->offset, event.first);
    bool changed = false;
    for (const auto &record : event.records) {
        if (record.offset < this->offset) {
            continue;
        }
        this->offset = record.offset + 1;
        changed = this->applyRecord(event.at, event.wall, record.data, gap) || changed;
        gap = false;
    }
    this->streamEnd = event.next;
    const bool more = this->offset < event.next && !event.records.empty();
    this->readToEnd = this->readToEnd || !more;
    this->nextRead = more ? event.at : event.at + this->pollInterval;
    if (changed) {
        this->publishNewest({}, linked, effects);
    }
}

void EpochKeeper::handle(const EpochsUnavailable &event)
{
    this->reading = false;
    this->available = false;
    this->nextRead = event.at + this->pollDelay;
    this->pollDelay = std::min(this->pollDelay * 2, MaxPollDelay);
}

void EpochKeeper::handle(const EpochAppendEnded &event)
{
    this->appending = false;
    this->nextRead = event.at;
}

void EpochKeeper::handle(const EpochWanted &event, const std::vector<std::string> &linked, AgentEffects &effects)
{
    const auto newest = this->log.newest();
    if (newest && newest->number >= event.epoch) {
        effects.emplace_back(SendToEntry{this->known()});
        return;
    }
    this->nextRead = event.at;
    for (const auto &peer : linked) {
        effects.emplace_back(SendToPeer{peer, KeyEpochRequest{event.epoch}});
    }
}

void EpochKeeper::handle(TimePoint now,
                         const std::string &from,
                         const KeyEpochs &message,
                         const std::vector<std::string> &linked,
                         AgentEffects &effects)
{
    bool changed = false;
    // The next exchange fills a gap before a single new epoch; a gap before a complete list is permanent.
    for (const auto &epoch : message.epochs) {
        changed
            = this->applyRecord(
                  now, toWallTime(epoch.knownBy), epoch.record, message.complete && &epoch == &message.epochs.front())
              || changed;
    }
    if (changed) {
        ++this->totals.fromPeers;
        this->publishNewest(from, linked, effects);
    }
}

void EpochKeeper::handle(const std::string &from, const KeyEpochRequest &request, AgentEffects &effects) const
{
    const auto newest = this->log.newest();
    if (newest && newest->number >= request.epoch) {
        effects.emplace_back(SendToPeer{from, this->known()});
    }
}

void EpochKeeper::handle(const std::string &from,
                         const KeyMembers &message,
                         const std::vector<std::string> &linked,
                         AgentEffects &effects)
{
    KeyMembers newMembers;
    for (const auto &member : message.members) {
        if (this->addAnnouncedMember(member)) {
            newMembers.members.push_back(member);
        }
    }
    if (newMembers.members.empty()) {
        return;
    }
    for (const auto &peer : linked) {
        if (peer != from) {
            effects.emplace_back(SendToPeer{peer, newMembers});
        }
    }
}

bool EpochKeeper::addAnnouncedMember(const Keys::EpochMember &member)
{
    const auto newest = this->log.newest();
    const bool settled = newest && std::any_of(newest->members.begin(), newest->members.end(), [&](const auto &known) {
                             return known.vm == member.vm && known.incarnation >= member.incarnation;
                         });
    const auto found = this->announced.find(member.vm);
    if (settled || (found != this->announced.end() && found->second.incarnation >= member.incarnation)) {
        return false;
    }
    this->announced[member.vm] = member;
    return true;
}

void EpochKeeper::removeSettledMembers()
{
    const auto newest = this->log.newest();
    for (const auto &member : newest->members) {
        const auto found = this->announced.find(member.vm);
        if (found != this->announced.end() && found->second.incarnation <= member.incarnation) {
            this->announced.erase(found);
        }
    }
}

void EpochKeeper::list(const std::vector<Membership::Identity> &members)
{
    this->listed.clear();
    for (const auto &member : members) {
        this->listed.insert(member.id);
        this->everListed.insert(member.id);
    }
    std::erase_if(this->announced, [&](const auto &item) {
        return this->everListed.contains(item.first) && !this->listed.contains(item.first);
    });
}

void EpochKeeper::introduceEntry(const Hello &hello, const std::vector<std::string> &linked, AgentEffects &effects)
{
    if (hello.address.empty()) {
        return;
    }
    this->ownEntry = Keys::EpochMember{
        .vm = this->vmId, .incarnation = hello.incarnation, .address = hello.address, .dataCentre = hello.dataCentre};
    if (this->addAnnouncedMember(*this->ownEntry)) {
        for (const auto &peer : linked) {
            effects.emplace_back(SendToPeer{peer, KeyMembers{{*this->ownEntry}}});
        }
    }
}

void EpochKeeper::peerConnected(const std::string &peer, AgentEffects &effects) const
{
    if (this->log.newest()) {
        effects.emplace_back(SendToPeer{peer, this->known()});
    }
}

void EpochKeeper::expire(TimePoint now,
                         const std::vector<std::string> &linked,
                         const std::vector<std::string> &live,
                         AgentEffects &effects)
{
    if (!this->reading && this->nextRead <= now) {
        this->reading = true;
        effects.emplace_back(ReadEpochs{.from = this->offset, .limit = MaxRecordsPerRead});
    }
    if (this->nextExchange <= now) {
        this->nextExchange = now + ExchangeInterval;
        this->log.prune(now);
        const auto newest = this->log.newest();
        // Announces the own entry again after a wrong VM list removed it, or when earlier announcements were lost.
        const bool missing = this->ownEntry && this->addAnnouncedMember(*this->ownEntry);
        const bool waiting = this->announced.contains(this->vmId);
        for (const auto &peer : linked) {
            effects.emplace_back(SendToPeer{peer, KeyEpochRequest{newest ? newest->number + 1 : 1}});
            if (missing || waiting) {
                effects.emplace_back(SendToPeer{peer, KeyMembers{{*this->ownEntry}}});
            }
        }
    }
    this->propose(now, live, effects);
}

std::vector<Keys::EpochMember> EpochKeeper::nextEpochMembers() const
{
    std::map<std::string, Keys::EpochMember> wanted;
    if (const auto newest = this->log.newest()) {
        for (const auto &member : newest->members) {
            wanted[member.vm] = member;
        }
    }
    for (const auto &[vm, member] : this->announced) {
        if (this->listed.contains(vm)) {
            wanted[vm] = member;
        }
    }
    std::vector<Keys::EpochMember> members;
    for (const auto &[vm, member] : wanted) {
        // A VM counts as missing only if an earlier list contained it.
        if (!this->everListed.contains(vm) || this->listed.contains(vm)) {
            members.push_back(member);
        }
    }
    return members;
}

void EpochKeeper::propose(TimePoint now, const std::vector<std::string> &live, AgentEffects &effects)
{
    const auto newest = this->log.newest();
    // Each record starts at most one epoch, so that a number above every record offset has never been used.
    const auto replaces = newest ? newest->number : this->streamEnd;
    const bool mayStartHistory = newest || this->streamEnd == 0 || now - this->startedAt >= PeerAnswerTimeout;
    auto members = this->nextEpochMembers();
    const bool due = this->readToEnd && mayStartHistory && !members.empty() && (!newest || newest->members != members);
    if (!due) {
        this->appendAt.reset();
        return;
    }
    const auto epoch = replaces + 1;
    if (!this->appendAt) {
        const auto spread = XXH3_64bits_withSeed(this->vmId.data(), this->vmId.size(), epoch)
                            % static_cast<std::uint64_t>(FallbackSpread.count());
        const auto fallbackDelay = FallbackDelay + Duration(static_cast<Duration::rep>(spread));
        this->appendAt = now + BatchInterval + (this->isPreferredAppender(live, epoch) ? Duration(0) : fallbackDelay);
    }
    if (*this->appendAt <= now && !this->appending) {
        this->appending = true;
        this->appendAt = now + AppendRetryDelay;
        ++this->totals.appended;
        effects.emplace_back(
            AppendEpoch{Keys::encodeEpoch({.number = epoch, .replaces = replaces, .members = std::move(members)})});
    }
}

bool EpochKeeper::isPreferredAppender(const std::vector<std::string> &live, std::uint64_t epoch) const
{
    const auto first = Membership::rendezvous("key-epochs/" + std::to_string(epoch), live, PreferredAppenders);
    return std::find(first.begin(), first.end(), this->vmId) != first.end();
}

TimePoint EpochKeeper::nextDeadline() const
{
    auto next = this->reading ? this->nextExchange : std::min(this->nextExchange, this->nextRead);
    if (this->appendAt && !this->appending) {
        next = std::min(next, *this->appendAt);
    }
    return next;
}

KeyEpochs EpochKeeper::known() const
{
    KeyEpochs message{true, {}};
    for (const auto &known : this->log.epochs()) {
        message.epochs.push_back(toMessage(known));
    }
    return message;
}

const Keys::EpochLog &EpochKeeper::epochs() const
{
    return this->log;
}

const EpochKeeper::Totals &EpochKeeper::counts() const
{
    return this->totals;
}

std::size_t EpochKeeper::pendingMembers() const
{
    return this->announced.size();
}

std::uint64_t EpochKeeper::nextOffset() const
{
    return this->offset;
}

bool EpochKeeper::logAvailable() const
{
    return this->available;
}

} // namespace Verbenadock::Control::internal
