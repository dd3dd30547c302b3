// Heartbeats, indirect probes and suspicions.

#include "detectorstate.h"
#include "verbenadock/membership/rendezvous.h"

#include <algorithm>

namespace Verbenadock::Membership {

using internal::Link;
using internal::Probe;

void Detector::Implementation::detectPause(TimePoint now)
{
    // A round is due in every heartbeat interval, so a late round shows that the process was paused.
    if (now - this->nextRound <= this->settings.pauseThreshold) {
        return;
    }
    this->graceUntil = now + this->settings.pauseGrace;
    this->nextRound = now;
    this->relayedProbes.clear();
    for (auto &[peer, link] : this->links) {
        link.lastContact = now;
        link.failing = false;
        link.probe.reset();
    }
    this->table.restartSuspicions(now);
}

void Detector::Implementation::startRound(TimePoint now)
{
    this->nextRound = now + this->settings.heartbeatInterval;
    this->lastUrgentRound = now;
    this->urgentRound.reset();
    this->table.removeExpiredTombstones(now);
    std::erase_if(this->links, [&](const auto &item) {
        const auto *record = this->table.find(item.first);
        return record == nullptr || record->update.state == State::Dead;
    });
    // A peer that is not a neighbour but selected this member as one is probed only when its heartbeats stop.
    for (auto &[peer, link] : this->links) {
        if (!link.probe && (link.isNeighbour || now - link.lastContact > this->maxSilence())) {
            this->startProbe(now, peer);
        }
    }
}

void Detector::Implementation::startUrgentRound(TimePoint now)
{
    this->lastUrgentRound = now;
    this->urgentRound.reset();
    for (const auto &[peer, link] : this->links) {
        this->send(peer, Ping{.sequence = ++this->lastSequence, .updates = this->takeUpdatesFor(peer)});
    }
}

void Detector::Implementation::startProbe(TimePoint now, const std::string &peer)
{
    const std::uint64_t sequence = ++this->lastSequence;
    this->links[peer].probe
        = Probe{.sequence = sequence, .indirect = false, .deadline = now + this->settings.ackTimeout};
    this->send(peer, Ping{.sequence = sequence, .updates = this->takeUpdatesFor(peer)});
}

void Detector::Implementation::probeDeadMember(TimePoint now)
{
    this->nextDeadProbe = now + this->settings.deadProbeInterval;
    const auto dead = this->table.ids(true);
    if (dead.empty()) {
        return;
    }
    auto next = std::upper_bound(dead.begin(), dead.end(), this->lastProbedDeadMember);
    if (next == dead.end()) {
        next = dead.begin();
    }
    this->lastProbedDeadMember = *next;
    this->send(*next, Ping{.sequence = ++this->lastSequence, .updates = this->takeUpdatesFor(*next)});
}

void Detector::Implementation::expireProbes(TimePoint now)
{
    std::vector<std::string> failed;
    for (auto &[peer, link] : this->links) {
        if (!link.probe || link.probe->deadline > now) {
            continue;
        }
        if (!link.probe->indirect) {
            this->startIndirectProbe(now, peer, *link.probe);
            continue;
        }
        link.probe.reset();
        if (this->maySuspect(now)) {
            link.failing = true;
            failed.push_back(peer);
        }
    }
    for (const auto &peer : failed) {
        this->raiseSuspicion(now, peer);
    }
}

void Detector::Implementation::startIndirectProbe(TimePoint now, const std::string &peer, Probe &probe)
{
    probe.indirect = true;
    probe.deadline = now + this->settings.indirectTimeout;
    this->effects.emplace_back(ResetConnection{peer});
    this->send(peer, Ping{.sequence = probe.sequence, .updates = this->takeUpdatesFor(peer)});
    std::vector<std::string> candidates;
    for (const auto &[id, link] : this->links) {
        if (id != peer && !link.failing && !link.probe) {
            candidates.push_back(id);
        }
    }
    if (candidates.size() < this->settings.indirectProbes) {
        candidates = this->table.ids(false);
        std::erase(candidates, peer);
    }
    // The sequence in the key selects different relays for each probe, so that a faulty relay does not decide the
    // result repeatedly.
    const std::string key = this->self.id + '/' + std::to_string(probe.sequence);
    for (const auto &relay : rendezvous(key, candidates, this->settings.indirectProbes)) {
        this->send(relay, ProbeRequest{.target = peer, .sequence = probe.sequence});
    }
}

void Detector::Implementation::expireRelayedProbes(TimePoint now)
{
    std::erase_if(this->relayedProbes, [&](const auto &item) {
        const auto &probe = item.second;
        if (probe.deadline > now) {
            return false;
        }
        this->send(probe.requester,
                   ProbeAnswer{.target = probe.target, .sequence = probe.requesterSequence, .alive = false});
        return true;
    });
}

void Detector::Implementation::raiseSuspicion(TimePoint now, const std::string &peer)
{
    const auto *record = this->table.find(peer);
    if (record == nullptr) {
        return;
    }
    Update suspicion = record->update;
    suspicion.state = State::Suspect;
    suspicion.observer = this->self.id;
    this->apply(now, suspicion);
}

void Detector::Implementation::expireSuspicions(TimePoint now)
{
    if (!this->maySuspect(now)) {
        return;
    }
    for (const auto &id : this->table.expiredSuspicions(now, this->suspicionFactor())) {
        const auto link = this->links.find(id);
        const auto &record = *this->table.find(id);
        if (link != this->links.end() && link->second.lastContact > record.since) {
            // A message arrived after the suspicion, so a refutation is expected to follow.
            this->table.restartSuspicion(id, now);
            continue;
        }
        Update verdict = record.update;
        verdict.state = State::Dead;
        verdict.observer.clear();
        this->apply(now, verdict);
    }
}

bool Detector::Implementation::maySuspect(TimePoint now) const
{
    return !this->graceUntil || now >= *this->graceUntil;
}

unsigned Detector::Implementation::suspicionFactor() const
{
    std::size_t neighbours = 0;
    std::size_t failing = 0;
    for (const auto &[peer, link] : this->links) {
        neighbours += link.isNeighbour ? 1 : 0;
        failing += link.isNeighbour && link.failing ? 1 : 0;
    }
    // With fewer neighbours, one or two failures would already be a majority.
    constexpr std::size_t MinNeighbours = 3;
    const bool majorityFailing = neighbours >= MinNeighbours && failing * 2 > neighbours;
    return majorityFailing ? this->settings.selfSuspicionFactor : 1;
}

Duration Detector::Implementation::maxSilence() const
{
    return this->settings.heartbeatInterval + this->settings.ackTimeout;
}

void Detector::Implementation::selectNeighbours(TimePoint now)
{
    const auto selected = rendezvous(this->self.id, this->table.ids(false), this->settings.neighbours);
    for (auto &[peer, link] : this->links) {
        link.isNeighbour = false;
    }
    for (const auto &peer : selected) {
        auto [position, isNew] = this->links.try_emplace(peer);
        position->second.isNeighbour = true;
        if (isNew) {
            position->second.lastContact = now;
        }
    }
    // Links to former neighbours stay until an acknowledgement shows that the peer sends no heartbeats of its own,
    // because the peer may have selected this member.
}

} // namespace Verbenadock::Membership
