// Heartbeats, indirect checks and suspicions.

#include "detectorstate.h"
#include "verbenadock/membership/rendezvous.h"

#include <algorithm>

namespace Verbenadock::Membership {

using internal::Link;
using internal::Probe;

void Detector::Implementation::noticePause(TimePoint now)
{
    // A round is due in every interval, so that a late one shows that the process did not run.
    if (now - this->nextRound <= this->settings.pauseThreshold) {
        return;
    }
    this->quietUntil = now + this->settings.pauseGrace;
    this->nextRound = now;
    this->relayedProbes.clear();
    for (auto &[peer, link] : this->links) {
        link.lastHeard = now;
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
    this->table.forget(now);
    std::erase_if(this->links, [&](const auto &item) {
        const auto *record = this->table.find(item.first);
        return record == nullptr || record->update.state == State::Dead;
    });
    // A peer that this member is a neighbour of is checked only when its own heartbeats stop.
    for (auto &[peer, link] : this->links) {
        if (!link.probe && (link.chosen || now - link.lastHeard > this->silenceBound())) {
            this->startProbe(now, peer);
        }
    }
}

void Detector::Implementation::startUrgentRound(TimePoint now)
{
    this->lastUrgentRound = now;
    this->urgentRound.reset();
    for (const auto &[peer, link] : this->links) {
        this->send(peer, Ping{.sequence = ++this->lastSequence, .updates = this->updatesFor(peer)});
    }
}

void Detector::Implementation::startProbe(TimePoint now, const std::string &peer)
{
    const std::uint64_t sequence = ++this->lastSequence;
    this->links[peer].probe
        = Probe{.sequence = sequence, .indirect = false, .deadline = now + this->settings.ackTimeout};
    this->send(peer, Ping{.sequence = sequence, .updates = this->updatesFor(peer)});
}

void Detector::Implementation::tryDeadMember(TimePoint now)
{
    this->nextDeadProbe = now + this->settings.deadProbeInterval;
    const auto dead = this->table.ids(true);
    if (dead.empty()) {
        return;
    }
    auto next = std::upper_bound(dead.begin(), dead.end(), this->lastDeadProbe);
    if (next == dead.end()) {
        next = dead.begin();
    }
    this->lastDeadProbe = *next;
    this->send(*next, Ping{.sequence = ++this->lastSequence, .updates = this->updatesFor(*next)});
}

void Detector::Implementation::expireProbes(TimePoint now)
{
    std::vector<std::string> failed;
    for (auto &[peer, link] : this->links) {
        if (!link.probe || link.probe->deadline > now) {
            continue;
        }
        if (!link.probe->indirect) {
            this->askOthers(now, peer, *link.probe);
            continue;
        }
        link.probe.reset();
        if (this->mayAccuse(now)) {
            link.failing = true;
            failed.push_back(peer);
        }
    }
    for (const auto &peer : failed) {
        this->accuse(now, peer);
    }
}

void Detector::Implementation::askOthers(TimePoint now, const std::string &peer, Probe &probe)
{
    probe.indirect = true;
    probe.deadline = now + this->settings.indirectTimeout;
    this->effects.emplace_back(ResetConnection{peer});
    this->send(peer, Ping{.sequence = probe.sequence, .updates = this->updatesFor(peer)});
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
    // Another pair each time, so that one bad member does not decide again and again.
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
        this->send(probe.asker, ProbeAnswer{.target = probe.target, .sequence = probe.askerSequence, .alive = false});
        return true;
    });
}

void Detector::Implementation::accuse(TimePoint now, const std::string &peer)
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
    if (!this->mayAccuse(now)) {
        return;
    }
    for (const auto &id : this->table.overdue(now, this->suspicionFactor())) {
        const auto link = this->links.find(id);
        const auto &record = *this->table.find(id);
        if (link != this->links.end() && link->second.lastHeard > record.since) {
            // Heard after the suspicion: its refutation is under way.
            this->table.restartSuspicion(id, now);
            continue;
        }
        Update verdict = record.update;
        verdict.state = State::Dead;
        verdict.observer.clear();
        this->apply(now, verdict);
    }
}

bool Detector::Implementation::mayAccuse(TimePoint now) const
{
    return !this->quietUntil || now >= *this->quietUntil;
}

unsigned Detector::Implementation::suspicionFactor() const
{
    std::size_t chosen = 0;
    std::size_t failing = 0;
    for (const auto &[peer, link] : this->links) {
        chosen += link.chosen ? 1 : 0;
        failing += link.chosen && link.failing ? 1 : 0;
    }
    // With one or two neighbours a single failure would already be most of them.
    constexpr std::size_t FewestNeighbours = 3;
    const bool mostFail = chosen >= FewestNeighbours && failing * 2 > chosen;
    return mostFail ? this->settings.selfSuspicionFactor : 1;
}

Duration Detector::Implementation::silenceBound() const
{
    return this->settings.heartbeatInterval + this->settings.ackTimeout;
}

void Detector::Implementation::chooseNeighbours(TimePoint now)
{
    const auto chosen = rendezvous(this->self.id, this->table.ids(false), this->settings.neighbours);
    for (auto &[peer, link] : this->links) {
        link.chosen = false;
    }
    for (const auto &peer : chosen) {
        auto [position, isNew] = this->links.try_emplace(peer);
        position->second.chosen = true;
        if (isNew) {
            position->second.lastHeard = now;
        }
    }
    // Peers that are no neighbour any more get the chance to show that this member is a neighbour of theirs.
}

} // namespace Verbenadock::Membership
