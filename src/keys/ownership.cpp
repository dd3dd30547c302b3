#include "ownership.h"

#include <algorithm>

// Proof sketch that two owners never run the same key within the window. It relies on these facts:
//
// F1  Epochs are totally ordered and equal everywhere: the log keeps one order, and the fold is deterministic.
// F2  An epoch leaves out a known process only when the process has ended: its VM is absent from the platform's list
//     after it was listed, or a newer incarnation of the entry on that VM runs. Incarnations of a VM only rise.
// F3  A process runs a key for the first time only while it is the owner under the newest epoch that it knows, and
//     the newest epoch that a process knows never goes back.
// F4  A process replies for its own table only, and refuses messages for another incarnation.
// F5  A fence for a key is kept at least until the process knows the epoch of the fence.
// F6  A process learns of each epoch under which a process may still act that has not confirmed a newer epoch.
// F7  Clocks of callers and VMs differ by at most KeySettings::clockDifference (for UUIDv7 keys only).
//
// Let A run a key under epoch a, and let B start it under epoch b within the window. When a = b, F1 gives A = B, and
// the table of that process decides. When a < b, B asks A (F6) unless A has confirmed a newer epoch than a for the
// whole window, in which case A did not run the key under a within the window (F3). A's reply is its record, or a fence
// after which A does not run the key until it asks B (F5). When A has ended (F2), it runs no key any more; its record
// is with its successor when each hand-over from A to the successor was complete, otherwise only a key that was created
// after A had ended is run (F7). When a > b, A asked B before it ran the key, and B is fenced. A process that does not
// respond is never considered ended: the request is refused.

namespace Verbenadock::Keys::Internal {

namespace {

/// Limits the search along a chain of hand-overs; each step leads to a process that stopped later.
constexpr int HandOverSteps = 64;

} // namespace

Ownership::Ownership(MemberId ownId, Duration keyWindow)
    : self(std::move(ownId))
    , window(keyWindow)
{
}

bool Ownership::addEpochs(TimePoint now, const std::vector<KnownEpoch> &known)
{
    const auto before = this->newest();
    for (const auto &epoch : known) {
        this->epochs.try_emplace(epoch.epoch.number, EpochEntry{.known = epoch, .learnedAt = now});
    }
    return this->newest() != before;
}

void Ownership::confirm(TimePoint now, const MemberId &member, EpochNumber epoch)
{
    auto &list = this->confirmations[member];
    if (list.empty() || list.back().epoch < epoch) {
        list.push_back({.epoch = epoch, .at = now});
    }
    while (list.size() > 1 && list[1].at + this->window <= now) {
        list.erase(list.begin());
    }
}

void Ownership::addTransfers(TimePoint now, const std::vector<Transfer> &added)
{
    for (const auto &transfer : added) {
        this->receivedTransfers.try_emplace(transfer, now);
    }
}

void Ownership::prune(TimePoint now)
{
    std::erase_if(this->receivedTransfers, [&](const auto &entry) {
        return entry.second + 2 * this->window <= now;
    });
    const auto unused = [&](const EpochEntry &entry) {
        const auto number = entry.known.epoch.number;
        return std::all_of(
            entry.known.epoch.members.begin(), entry.known.epoch.members.end(), [&](const EpochMember &member) {
                const auto id = member.id();
                return id == this->self || this->goneForWindow(now, id) || this->confirmedForWindow(now, id) > number;
            });
    };
    const auto newestNumber = this->newest();
    while (!this->epochs.empty() && this->epochs.begin()->first != newestNumber
           && unused(this->epochs.begin()->second)) {
        this->epochs.erase(this->epochs.begin());
    }
    std::erase_if(this->confirmations, [&](const auto &entry) {
        return this->find(entry.first) == nullptr && this->goneForWindow(now, entry.first);
    });
}

EpochNumber Ownership::newest() const
{
    return this->epochs.empty() ? 0 : this->epochs.rbegin()->first;
}

const Epoch *Ownership::newestEpoch() const
{
    return this->epochs.empty() ? nullptr : &this->epochs.rbegin()->second.known.epoch;
}

const EpochMember *Ownership::owner(const Key &key) const
{
    const auto *epoch = this->newestEpoch();
    return epoch == nullptr ? nullptr : ownerOf(*epoch, key);
}

bool Ownership::owns(const Key &key) const
{
    const auto *member = this->owner(key);
    return member != nullptr && member->id() == this->self;
}

const EpochMember *Ownership::find(const MemberId &member) const
{
    const auto *epoch = this->newestEpoch();
    if (epoch == nullptr) {
        return nullptr;
    }
    const auto found = std::find_if(epoch->members.begin(), epoch->members.end(), [&](const EpochMember &candidate) {
        return candidate.vm == member.vm && candidate.incarnation == member.incarnation;
    });
    return found == epoch->members.end() ? nullptr : &*found;
}

FenceTargets Ownership::fenceTargets(TimePoint now, const Key &key, const std::optional<MemberId> &fencedBy) const
{
    std::set<MemberId> owners;
    for (const auto &[number, entry] : this->epochs) {
        const auto *member = ownerOf(entry.known.epoch, key);
        if (number != this->newest() && member != nullptr && this->confirmedForWindow(now, member->id()) <= number) {
            owners.insert(member->id());
        }
    }
    if (fencedBy) {
        owners.insert(*fencedBy);
    }
    owners.erase(this->self);
    FenceTargets targets;
    for (const auto &member : owners) {
        if (this->find(member) != nullptr) {
            targets.members.try_emplace(member);
        } else if (!this->goneForWindow(now, member)) {
            this->addTarget(targets, member, key);
        }
    }
    return targets;
}

void Ownership::addTarget(FenceTargets &targets, const MemberId &member, const Key &key) const
{
    const auto successor = this->currentHolder(member, key);
    if (!successor || (*successor == this->self && !this->covers(member, key))) {
        targets.lost.push_back(member);
    } else if (*successor != this->self) {
        targets.members[*successor].push_back(member);
    }
}

std::optional<MemberId> Ownership::currentHolder(const MemberId &gone, const Key &key) const
{
    auto current = gone;
    for (int step = 0; step < HandOverSteps; ++step) {
        const auto last = std::find_if(this->epochs.rbegin(), this->epochs.rend(), [&](const auto &entry) {
            return entry.second.known.epoch.contains(current);
        });
        const auto *successor
            = last == this->epochs.rend() ? nullptr : successorOf(last->second.known.epoch, current.vm, key);
        if (successor == nullptr) {
            return std::nullopt;
        }
        current = successor->id();
        if (current == this->self || this->find(current) != nullptr) {
            return current;
        }
    }
    return std::nullopt;
}

bool Ownership::covers(const MemberId &gone, const Key &key) const
{
    auto current = gone;
    for (int step = 0; step < HandOverSteps; ++step) {
        std::optional<MemberId> next;
        for (auto entry = this->receivedTransfers.lower_bound({.giver = current, .epoch = 0, .receiver = {}});
             entry != this->receivedTransfers.end() && entry->first.giver == current;
             ++entry) {
            const auto epoch = this->epochs.find(entry->first.epoch);
            const auto *successor
                = epoch == this->epochs.end() ? nullptr : successorOf(epoch->second.known.epoch, current.vm, key);
            if (successor != nullptr && successor->id() == entry->first.receiver) {
                next = entry->first.receiver;
            }
        }
        if (!next || *next == this->self) {
            return next.has_value();
        }
        current = *next;
    }
    return false;
}

const Ownership::EpochEntry *Ownership::firstEpochWithout(const MemberId &member) const
{
    const EpochEntry *first = nullptr;
    for (auto entry = this->epochs.rbegin(); entry != this->epochs.rend(); ++entry) {
        if (entry->second.known.epoch.contains(member)) {
            return first;
        }
        first = &entry->second;
    }
    return nullptr;
}

bool Ownership::goneForWindow(TimePoint now, const MemberId &member) const
{
    const auto *since = this->firstEpochWithout(member);
    return since != nullptr && since->learnedAt + this->window <= now;
}

std::optional<WallTime> Ownership::goneBy(const MemberId &member) const
{
    const auto *since = this->firstEpochWithout(member);
    return since == nullptr ? std::nullopt : std::optional(since->known.knownBy);
}

EpochNumber Ownership::confirmedForWindow(TimePoint now, const MemberId &member) const
{
    const auto found = this->confirmations.find(member);
    EpochNumber number = 0;
    if (found != this->confirmations.end()) {
        for (const auto &confirmation : found->second) {
            number = confirmation.at + this->window <= now ? confirmation.epoch : number;
        }
    }
    return number;
}

std::vector<Transfer> Ownership::transfers() const
{
    std::vector<Transfer> all;
    all.reserve(this->receivedTransfers.size());
    for (const auto &[transfer, at] : this->receivedTransfers) {
        all.push_back(transfer);
    }
    return all;
}

std::size_t Ownership::epochCount() const
{
    return this->epochs.size();
}

} // namespace Verbenadock::Keys::Internal
