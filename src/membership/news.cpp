// Messages from other members and the news in them.

#include "detectorstate.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace Verbenadock::Membership {

void Detector::Implementation::heard(TimePoint now, const std::string &from)
{
    this->quietUntil.reset();
    const auto found = this->links.find(from);
    if (found == this->links.end()) {
        return;
    }
    const bool suspectedItself = this->suspicionFactor() > 1;
    found->second.lastHeard = now;
    found->second.failing = false;
    found->second.probe.reset();
    if (suspectedItself && this->suspicionFactor() == 1) {
        // The fault was here, so the others get the time to refute what was suspected meanwhile.
        this->table.restartSuspicions(now);
    }
}

void Detector::Implementation::handle(TimePoint now, const std::string &from, const Ping &ping)
{
    this->applyAll(now, from, ping.updates);
    const auto *record = this->table.find(from);
    if (record != nullptr && record->update.state != State::Dead) {
        auto &link = this->links[from];
        link.lastHeard = now;
        link.lastPing = now;
    }
    auto updates = this->updatesFor(from);
    for (auto &correction : this->corrections(ping.updates)) {
        if (std::find(updates.begin(), updates.end(), correction) == updates.end()) {
            updates.push_back(std::move(correction));
        }
    }
    this->send(from, Ack{.sequence = ping.sequence, .updates = std::move(updates)});
}

void Detector::Implementation::handle(TimePoint now, const std::string &from, const Ack &ack)
{
    this->applyAll(now, from, ack.updates);
    const auto link = this->links.find(from);
    if (link != this->links.end() && !link->second.chosen && now - link->second.lastPing > this->silenceBound()) {
        // The peer is alive and has other neighbours now.
        this->links.erase(link);
    }
    const auto probe = this->relayedProbes.find(ack.sequence);
    if (probe == this->relayedProbes.end() || probe->second.target != from) {
        return;
    }
    this->send(probe->second.asker,
               ProbeAnswer{.target = from, .sequence = probe->second.askerSequence, .alive = true});
    this->relayedProbes.erase(probe);
}

void Detector::Implementation::handle(TimePoint now, const std::string &from, const ProbeRequest &request)
{
    // The bound protects against a peer that asks without end; each neighbour has one request open at most.
    constexpr std::size_t MaxRelayedProbes = 256;
    if (this->table.find(request.target) == nullptr || this->relayedProbes.size() >= MaxRelayedProbes) {
        this->send(from, ProbeAnswer{.target = request.target, .sequence = request.sequence, .alive = false});
        return;
    }
    const std::uint64_t sequence = ++this->lastSequence;
    this->relayedProbes[sequence] = {.asker = from,
                                     .target = request.target,
                                     .askerSequence = request.sequence,
                                     .deadline = now + this->settings.ackTimeout};
    this->send(request.target, Ping{.sequence = sequence, .updates = this->updatesFor(request.target)});
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

void Detector::Implementation::applyAll(TimePoint now, const std::string &from, const std::vector<Update> &updates)
{
    for (const auto &update : updates) {
        this->apply(now, update);
        this->queue.noteKnown(update, from);
    }
}

std::vector<Update> Detector::Implementation::corrections(const std::vector<Update> &updates) const
{
    // A peer that missed a refutation would otherwise act on its suspicion.
    std::vector<Update> better;
    for (const auto &update : updates) {
        const auto *record = this->table.find(update.member.id);
        if (record != nullptr && update.state != State::Alive && record->update.incarnation > update.incarnation) {
            better.push_back(record->update);
        }
    }
    return better;
}

void Detector::Implementation::apply(TimePoint now, Update update)
{
    if (update.member.id == this->self.id) {
        this->refute(now, update);
        return;
    }
    const auto link = this->links.find(update.member.id);
    if (update.state == State::Dead && link != this->links.end()
        && now - link->second.lastHeard < this->silenceBound()) {
        // This member hears it directly, so the sender is wrong; the accused is told with the next message to it.
        update.state = State::Suspect;
    }
    const auto change = this->table.apply(now, update);
    if (change == internal::Change::None) {
        return;
    }
    const auto &known = this->table.find(update.member.id)->update;
    this->spread(known.state == State::Suspect ? update : known);
    if (change == internal::Change::State || change == internal::Change::Supported) {
        this->requestUrgentRound();
    }
    if (change == internal::Change::Supported) {
        return;
    }
    this->effects.emplace_back(MemberChanged{known});
    if (known.state == State::Dead) {
        this->links.erase(known.member.id);
    }
    this->chooseNeighbours(now);
}

void Detector::Implementation::refute(TimePoint /*now*/, const Update &accusation)
{
    // An incarnation above the own one comes from before a restart, when the clock was ahead of the present one.
    const bool fromBefore = accusation.state == State::Alive && accusation.incarnation > this->incarnation;
    if (accusation.state == State::Alive && !fromBefore) {
        return;
    }
    if (accusation.incarnation >= this->incarnation) {
        this->incarnation = accusation.incarnation + 1;
    }
    this->spread(this->ownUpdate());
    this->requestUrgentRound();
}

void Detector::Implementation::spread(const Update &update)
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

std::vector<Update> Detector::Implementation::updatesFor(const std::string &peer)
{
    auto updates = this->queue.take(peer, this->settings.maxUpdatesPerMessage);
    const auto *record = this->table.find(peer);
    const bool accused = record != nullptr && record->update.state != State::Alive;
    const bool included = std::any_of(updates.begin(), updates.end(), [&](const Update &update) {
        return update.member.id == peer;
    });
    if (accused && !included) {
        // The accused can refute only what it hears.
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
