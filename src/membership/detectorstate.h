#ifndef VERBENADOCK_MEMBERSHIP_DETECTORSTATE_H
#define VERBENADOCK_MEMBERSHIP_DETECTORSTATE_H

#include "membertable.h"
#include "updatequeue.h"

namespace Verbenadock::Membership {

namespace internal {

/// A heartbeat that waits for a sign of life.
struct Probe
{
    std::uint64_t sequence = 0;
    /// Whether other members were asked.
    bool indirect = false;
    TimePoint deadline;
};

/// A member that heartbeats are exchanged with.
struct Link
{
    /// Whether it is an own neighbour; otherwise this member is a neighbour of it.
    bool chosen = false;
    /// Whether the last probe failed, also through others.
    bool failing = false;
    TimePoint lastHeard;
    /// When the peer last sent a heartbeat of its own.
    TimePoint lastPing;
    std::optional<Probe> probe;
};

/// A check on behalf of another member.
struct RelayedProbe
{
    std::string asker;
    std::string target;
    std::uint64_t askerSequence = 0;
    TimePoint deadline;
};

} // namespace internal

struct Detector::Implementation
{
    Implementation(DetectorSettings newSettings, Identity newSelf, std::uint64_t newIncarnation, TimePoint now);

    // Probing
    void noticePause(TimePoint now);
    void startRound(TimePoint now);
    void startUrgentRound(TimePoint now);
    void tryDeadMember(TimePoint now);
    void startProbe(TimePoint now, const std::string &peer);
    void expireProbes(TimePoint now);
    void askOthers(TimePoint now, const std::string &peer, internal::Probe &probe);
    void expireRelayedProbes(TimePoint now);
    void accuse(TimePoint now, const std::string &peer);
    void expireSuspicions(TimePoint now);
    bool mayAccuse(TimePoint now) const;
    unsigned suspicionFactor() const;
    /// Longest silence of a peer that sends a heartbeat in each interval.
    Duration silenceBound() const;
    void chooseNeighbours(TimePoint now);

    // Messages
    void heard(TimePoint now, const std::string &from);
    void handle(TimePoint now, const std::string &from, const Ping &ping);
    void handle(TimePoint now, const std::string &from, const Ack &ack);
    void handle(TimePoint now, const std::string &from, const ProbeRequest &request);
    void handle(TimePoint now, const std::string &from, const ProbeAnswer &answer);
    void applyAll(TimePoint now, const std::string &from, const std::vector<Update> &updates);
    /// What is known better here than in the updates.
    std::vector<Update> corrections(const std::vector<Update> &updates) const;
    void apply(TimePoint now, Update update);
    void refute(TimePoint now, const Update &accusation);
    void spread(const Update &update);
    void requestUrgentRound();
    std::vector<Update> updatesFor(const std::string &peer);
    void send(const std::string &to, Message message);
    Update ownUpdate() const;
    Effects takeEffects();

    DetectorSettings settings;
    Identity self;
    std::uint64_t incarnation;
    internal::MemberTable table;
    internal::UpdateQueue queue;
    std::map<std::string, internal::Link> links;
    std::map<std::uint64_t, internal::RelayedProbe> relayedProbes;
    std::uint64_t lastSequence = 0;
    TimePoint nextRound;
    TimePoint nextDeadProbe;
    TimePoint lastUrgentRound;
    std::optional<TimePoint> urgentRound;
    std::string lastDeadProbe;
    /// Set by a pause until another member is heard.
    std::optional<TimePoint> quietUntil;
    Effects effects;
};

} // namespace Verbenadock::Membership

#endif
