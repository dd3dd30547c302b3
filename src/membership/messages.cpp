// Handles messages from other members and the updates that they carry.

#include "detectorstate.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace Verbenadock::Membership {

void Detector::Implementation::recordContact(TimePoint now, const std::string &from)
{
    this->graceUntil.reset();
    const auto found = this->links.find(from);
    if (found == this->links.end()) {
        return;
    }
    const bool suspectedItself = this->suspicionFactor() > 1;
    found->second.lastContact = now;
    found->second.failing = false;
    found->second.probe.reset();
    if (suspectedItself && this->suspicionFactor() == 1) {
        // The fault was probably local, so the members that were suspected meanwhile get the full timeout to refute.
        this->table.restartSuspicions(now);
    }
}

void Detector::Implementation::handle(TimePoint now, const std::string &from, const Ping &ping)
{
    this->applyUpdates(now, from, ping.updates);
    const auto *record = this->table.find(from);
    if (record != nullptr && record->update.state != State::Dead) {
        auto &link = this->links[from];
        link.lastContact = now;
        link.lastPing = now;
    }
    auto updates = this->takeUpdatesFor(from);
    for (auto &correction : this->corrections(ping.updates)) {
        if (std::find(updates.begin(), updates.end(), correction) == updates.end()) {
            updates.push_back(std::move(correction));
        }
    }
    this->send(from, Ack{.sequence = ping.sequence, .updates = std::move(updates)});
}

void Detector::Implementation::handle(TimePoint now, const std::string &from, const Ack &ack)
{
    this->applyUpdates(now, from, ack.updates);
    const auto link = this->links.find(from);
    if (link != this->links.end() && !link->second.isNeighbour && now - link->second.lastPing > this->maxSilence()) {
        // The peer is alive but sends no heartbeats any more, so it has selected other neighbours.
        this->links.erase(link);
    }
    const auto probe = this->relayedProbes.find(ack.sequence);
    if (probe == this->relayedProbes.end() || probe->second.target != from) {
        return;
    }
    this->send(probe->second.requester,
               ProbeAnswer{.target = from, .sequence = probe->second.requesterSequence, .alive = true});
    this->relayedProbes.erase(probe);
}

void Detector::Implementation::handle(TimePoint now, const std::string &from, const ProbeRequest &request)
{
    // Bounds the memory that a misbehaving peer can use; a correct neighbour has at most one request open.
    constexpr std::size_t MaxRelayedProbes = 256;
    if (this->table.find(request.target) == nullptr || this->relayedProbes.size() >= MaxRelayedProbes) {
        this->send(from, ProbeAnswer{.target = request.target, .sequence = request.sequence, .alive = false});
        return;
    }
    const std::uint64_t sequence = ++this->lastSequence;
    this->relayedProbes[sequence] = {.requester = from,
                                     .target = request.target,
                                     .requesterSequence = request.sequence,
                                     .deadline = now + this->settings.ackTimeout};
    this->send(request.target, Ping{.sequence = sequence, .updates = this->takeUpdatesFor(request.target)});
}

void Detector::Implementation::handle(TimePoint /*now*/, const std::string & /*from*/, const ProbeAnswer &answer)
{
    const auto found = this->links.find(answer.target);
    if (found == this->links.end() || !answer.alive) {
        return;
    }
    auto &link = found->second;
    if (link.probe && link.probe->sequence == answer.sequence) {
        link.probe.reset();
        link.failing = false;
    }
}

void Detector::Implementation::applyUpdates(TimePoint now, const std::string &from, const std::vector<Update> &updates)
{
    for (const auto &update : updates) {
        this->apply(now, update);
        this->queue.markInformed(update, from);
    }
}

std::vector<Update> Detector::Implementation::corrections(const std::vector<Update> &updates) const
{
    // A peer that missed a refutation would otherwise declare the member dead when the suspicion times out.
    std::vector<Update> newer;
    for (const auto &update : updates) {
        const auto *record = this->table.find(update.member.id);
        if (record != nullptr && update.state != State::Alive && record->update.incarnation > update.incarnation) {
            newer.push_back(record->update);
        }
    }
    return newer;
}

void Detector::Implementation::apply(TimePoint now, Update update)
{
    if (update.member.id == this->self.id) {
        this->refute(now, update);
        return;
    }
    const auto link = this->links.find(update.member.id);
    if (update.state == State::Dead && link != this->links.end()
        && now - link->second.lastContact < this->maxSilence()) {
        // Messages still arrive from the member, so the dead update is treated as a suspicion. The next message to
        // the member carries the suspicion, so that the member can refute it.
        update.state = State::Suspect;
    }
    const auto change = this->table.apply(now, update);
    if (change == internal::Change::None) {
        return;
    }
    const auto &current = this->table.find(update.member.id)->update;
    this->enqueueUpdate(current.state == State::Suspect ? update : current);
    if (change == internal::Change::State || change == internal::Change::Confirmed) {
        this->requestUrgentRound();
    }
    if (change == internal::Change::Confirmed) {
        return;
    }
    this->effects.emplace_back(MemberChanged{current});
    if (current.state == State::Dead) {
        this->links.erase(current.member.id);
    }
    this->selectNeighbours(now);
}

void Detector::Implementation::refute(TimePoint /*now*/, const Update &receivedUpdate)
{
    // An alive update with a higher incarnation is from before a restart, when the clock was ahead of the current one.
    const bool fromEarlierRun = receivedUpdate.state == State::Alive && receivedUpdate.incarnation > this->incarnation;
    if (receivedUpdate.state == State::Alive && !fromEarlierRun) {
        return;
    }
    if (receivedUpdate.incarnation >= this->incarnation) {
        this->incarnation = receivedUpdate.incarnation + 1;
    }
    this->enqueueUpdate(this->ownUpdate());
    this->requestUrgentRound();
}

void Detector::Implementation::enqueueUpdate(const Update &update)
{
    const std::size_t members = this->table.all().size() + 1;
    const auto logarithm = static_cast<std::size_t>(std::bit_width(members));
    this->queue.push(update, this->settings.transmissionFactor * logarithm);
}

void Detector::Implementation::requestUrgentRound()
{
    if (!this->urgentRound) {
        this->urgentRound = this->lastUrgentRound + this->settings.urgentInterval;
    }
}

std::vector<Update> Detector::Implementation::takeUpdatesFor(const std::string &peer)
{
    auto updates = this->queue.take(peer, this->settings.maxUpdatesPerMessage);
    const auto *record = this->table.find(peer);
    const bool suspectOrDead = record != nullptr && record->update.state != State::Alive;
    const bool included = std::any_of(updates.begin(), updates.end(), [&](const Update &update) {
        return update.member.id == peer;
    });
    if (suspectOrDead && !included) {
        // A member can refute a suspicion only if the suspicion reaches it.
        updates.push_back(record->update);
    }
    return updates;
}

void Detector::Implementation::send(const std::string &to, Message message)
{
    this->effects.emplace_back(SendMessage{.to = to, .message = std::move(message)});
}

Update Detector::Implementation::ownUpdate() const
{
    return {.member = this->self, .incarnation = this->incarnation, .state = State::Alive, .observer = {}};
}

Effects Detector::Implementation::takeEffects()
{
    return std::exchange(this->effects, {});
}

} // namespace Verbenadock::Membership
