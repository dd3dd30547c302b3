#include "verbenadock/membership/detector.h"

#include "detectorstate.h"
#include "verbenadock/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbenadock::Membership {

std::string_view toString(State state)
{
    switch (state) {
    case State::Alive:
        return "alive";
    case State::Suspect:
        return "suspect";
    case State::Dead:
        return "dead";
    }
    return "unknown";
}

Detector::Implementation::Implementation(DetectorSettings newSettings,
                                         Identity newSelf,
                                         std::uint64_t newIncarnation,
                                         TimePoint now)
    : settings(newSettings)
    , self(std::move(newSelf))
    , incarnation(newIncarnation)
    , table(this->settings)
    , nextDeadProbe(now + this->settings.deadProbeInterval)
    , lastUrgentRound(now)
{
    // A phase from the hash of the id keeps members that start together from sending their rounds simultaneously.
    const std::uint64_t phase = XXH3_64bits(this->self.id.data(), this->self.id.size());
    const auto interval = static_cast<std::uint64_t>(this->settings.heartbeatInterval.count());
    this->nextRound = now + Duration(phase % interval);
    this->enqueueUpdate(this->ownUpdate());
}

Detector::Detector(DetectorSettings settings, Identity self, std::uint64_t incarnation, TimePoint now)
    : implementation(std::make_unique<Implementation>(settings, std::move(self), incarnation, now))
{
}

Detector::~Detector() = default;
Detector::Detector(Detector &&) noexcept = default;
Detector &Detector::operator=(Detector &&) noexcept = default;

Effects Detector::list(TimePoint now, const std::vector<Identity> &members)
{
    auto &state = *this->implementation;
    state.detectPause(now);
    if (state.table.list(now, members, state.self.id)) {
        state.selectNeighbours(now);
    }
    return state.takeEffects();
}

Effects Detector::introduce(TimePoint now, const Identity &member, std::uint64_t incarnation)
{
    auto &state = *this->implementation;
    state.detectPause(now);
    state.apply(now, {.member = member, .incarnation = incarnation, .state = State::Alive, .observer = {}});
    state.recordContact(now, member.id);
    return state.takeEffects();
}

Effects Detector::receive(TimePoint now, const std::string &from, const Message &message)
{
    auto &state = *this->implementation;
    state.detectPause(now);
    state.recordContact(now, from);
    std::visit(
        [&](const auto &body) {
            state.handle(now, from, body);
        },
        message);
    return state.takeEffects();
}

Effects Detector::expire(TimePoint now)
{
    auto &state = *this->implementation;
    state.detectPause(now);
    state.expireProbes(now);
    state.expireRelayedProbes(now);
    state.expireSuspicions(now);
    if (state.nextRound <= now) {
        state.startRound(now);
    } else if (state.urgentRound && *state.urgentRound <= now) {
        state.startUrgentRound(now);
    }
    if (state.nextDeadProbe <= now) {
        state.probeDeadMember(now);
    }
    return state.takeEffects();
}

TimePoint Detector::nextDeadline() const
{
    const auto &state = *this->implementation;
    TimePoint earliest = std::min(state.nextRound, state.nextDeadProbe);
    if (state.urgentRound) {
        earliest = std::min(earliest, *state.urgentRound);
    }
    for (const auto &[peer, link] : state.links) {
        if (link.probe) {
            earliest = std::min(earliest, link.probe->deadline);
        }
    }
    for (const auto &[sequence, probe] : state.relayedProbes) {
        earliest = std::min(earliest, probe.deadline);
    }
    // From a pause until the next message, suspicions set no deadline of their own; each round checks them instead.
    const auto suspicionDeadline = state.table.nextSuspicionDeadline(state.suspicionFactor());
    return suspicionDeadline && !state.graceUntil ? std::min(earliest, *suspicionDeadline) : earliest;
}

std::vector<std::string> Detector::linked() const
{
    std::vector<std::string> peers;
    for (const auto &[peer, link] : this->implementation->links) {
        peers.push_back(peer);
    }
    return peers;
}

std::vector<std::string> Detector::live() const
{
    auto ids = this->implementation->table.ids(false);
    const auto &own = this->implementation->self.id;
    ids.insert(std::lower_bound(ids.begin(), ids.end(), own), own);
    return ids;
}

std::optional<Identity> Detector::identity(const std::string &id) const
{
    const auto *record = this->implementation->table.find(id);
    return record != nullptr ? std::optional(record->update.member) : std::nullopt;
}

std::uint64_t Detector::incarnation() const
{
    return this->implementation->incarnation;
}

bool Detector::suspectsItself() const
{
    return this->implementation->suspicionFactor() > 1;
}

std::vector<MemberReport> Detector::report(TimePoint now) const
{
    std::vector<MemberReport> reports;
    for (const auto &[id, record] : this->implementation->table.all()) {
        const auto link = this->implementation->links.find(id);
        const bool neighbour = link != this->implementation->links.end() && link->second.isNeighbour;
        reports.push_back(
            {.update = record.update, .age = now - record.since, .listed = record.listed, .neighbour = neighbour});
    }
    return reports;
}

} // namespace Verbenadock::Membership
