#include "epochkeeper.h"

#include "verbenadock/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbenadock::Control::internal {

namespace {

constexpr std::size_t ReadLimit = 100;
constexpr Duration LongestPollDelay = std::chrono::seconds(5);
// Changes of one second share an epoch, so that a restart of many VMs costs few appends.
constexpr Duration CollectTime = std::chrono::seconds(1);
constexpr std::size_t FirstAppenders = 2;
// The other members append only when the first ones did not.
constexpr Duration LaterDelay = std::chrono::seconds(3);
constexpr Duration LaterSpread = std::chrono::seconds(5);
// An append whose record does not appear in the stream is repeated after this time.
constexpr Duration RepeatDelay = std::chrono::seconds(2);
constexpr Duration ExchangeInterval = std::chrono::seconds(1);
// Time for peers to say which epochs they know, when the beginning of the stream is no longer retained.
constexpr Duration PeerTime = std::chrono::seconds(5);

Keys::WallTime wallOf(std::uint64_t milliseconds)
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

bool EpochKeeper::take(TimePoint now, Keys::WallTime wall, const std::string &record, bool afterGap)
{
    if (afterGap && this->log.newest()) {
        try {
            // Epochs in between are lost for this agent, so its own history no longer continues.
            if (Keys::decodeEpoch(record).replaces > this->log.newest()->number) {
                this->log = Keys::EpochLog();
            }
        } catch (const Keys::EpochError &) {
            // Counted by apply().
        }
    }
    return this->log.apply(now, wall, record) == Keys::EpochResult::Accepted;
}

void EpochKeeper::accepted(const std::string &source, const std::vector<std::string> &linked, AgentEffects &effects)
{
    this->appendAt.reset();
    this->forgetSettledMembers();
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
        changed = this->take(event.at, event.wall, record.data, gap) || changed;
        gap = false;
    }
    this->streamEnd = event.next;
    const bool more = this->offset < event.next && !event.records.empty();
    this->readToEnd = this->readToEnd || !more;
    this->nextRead = more ? event.at : event.at + this->pollInterval;
    if (changed) {
        this->accepted({}, linked, effects);
    }
}

void EpochKeeper::handle(const EpochsUnavailable &event)
{
    this->reading = false;
    this->available = false;
    this->nextRead = event.at + this->pollDelay;
    this->pollDelay = std::min(this->pollDelay * 2, LongestPollDelay);
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
    // A gap before news is closed by the next exchange; one before all that a peer knows stays.
    for (const auto &epoch : message.epochs) {
        changed = this->take(
                      now, wallOf(epoch.knownBy), epoch.record, message.complete && &epoch == &message.epochs.front())
                  || changed;
    }
    if (changed) {
        ++this->totals.fromPeers;
        this->accepted(from, linked, effects);
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
    KeyMembers news;
    for (const auto &member : message.members) {
        if (this->learnMember(member)) {
            news.members.push_back(member);
        }
    }
    if (news.members.empty()) {
        return;
    }
    for (const auto &peer : linked) {
        if (peer != from) {
            effects.emplace_back(SendToPeer{peer, news});
        }
    }
}

bool EpochKeeper::learnMember(const Keys::EpochMember &member)
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

void EpochKeeper::forgetSettledMembers()
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
        this->seen.insert(member.id);
    }
    std::erase_if(this->announced, [&](const auto &item) {
        return this->seen.contains(item.first) && !this->listed.contains(item.first);
    });
}

void EpochKeeper::introduceEntry(const Hello &hello, const std::vector<std::string> &linked, AgentEffects &effects)
{
    if (hello.address.empty()) {
        return;
    }
    this->ownEntry = Keys::EpochMember{
        .vm = this->vmId, .incarnation = hello.incarnation, .address = hello.address, .dataCentre = hello.dataCentre};
    if (this->learnMember(*this->ownEntry)) {
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
        effects.emplace_back(ReadEpochs{.from = this->offset, .limit = ReadLimit});
    }
    if (this->nextExchange <= now) {
        this->nextExchange = now + ExchangeInterval;
        this->log.prune(now);
        const auto newest = this->log.newest();
        // A process that a wrong VM list removed is announced again, and one that nobody heard of for lost messages.
        const bool missing = this->ownEntry && this->learnMember(*this->ownEntry);
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

std::vector<Keys::EpochMember> EpochKeeper::wantedMembers() const
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
        // Before the first list nobody is known to be missing.
        if (!this->seen.contains(vm) || this->listed.contains(vm)) {
            members.push_back(member);
        }
    }
    return members;
}

void EpochKeeper::propose(TimePoint now, const std::vector<std::string> &live, AgentEffects &effects)
{
    const auto newest = this->log.newest();
    // A number above the offset of each record was never used, as each record starts one epoch at most.
    const auto replaces = newest ? newest->number : this->streamEnd;
    const bool mayBegin = newest || this->streamEnd == 0 || now - this->startedAt >= PeerTime;
    auto members = this->wantedMembers();
    const bool due = this->readToEnd && mayBegin && !members.empty() && (!newest || newest->members != members);
    if (!due) {
        this->appendAt.reset();
        return;
    }
    const auto epoch = replaces + 1;
    if (!this->appendAt) {
        const auto spread = XXH3_64bits_withSeed(this->vmId.data(), this->vmId.size(), epoch)
                            % static_cast<std::uint64_t>(LaterSpread.count());
        const auto later = LaterDelay + Duration(static_cast<Duration::rep>(spread));
        this->appendAt = now + CollectTime + (this->appendsFirst(live, epoch) ? Duration(0) : later);
    }
    if (*this->appendAt <= now && !this->appending) {
        this->appending = true;
        this->appendAt = now + RepeatDelay;
        ++this->totals.appended;
        effects.emplace_back(
            AppendEpoch{Keys::encodeEpoch({.number = epoch, .replaces = replaces, .members = std::move(members)})});
    }
}

bool EpochKeeper::appendsFirst(const std::vector<std::string> &live, std::uint64_t epoch) const
{
    const auto first = Membership::rendezvous("key-epochs/" + std::to_string(epoch), live, FirstAppenders);
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
