#ifndef VERBENADOCK_MEMBERSHIP_DETECTORSTATE_H
#define VERBENADOCK_MEMBERSHIP_DETECTORSTATE_H

#include "membertable.h"
#include "updatequeue.h"

namespace Verbenadock::Membership {

namespace internal {

/// A heartbeat that has not been acknowledged yet.
struct Probe
{
    std::uint64_t sequence = 0;
    /// Set when the direct probe timed out and relays were asked to probe the peer.
    bool indirect = false;
    TimePoint deadline;
};

/// A member that heartbeats are exchanged with.
struct Link
{
    /// True if this member selected the peer as a neighbour, false if only the peer selected this member.
    bool isNeighbour = false;
    /// True if the last probe failed both directly and through the relays.
    bool failing = false;
    TimePoint lastContact;
    /// Time of the last heartbeat that the peer sent, as opposed to an acknowledgement.
    TimePoint lastPing;
    std::optional<Probe> probe;
};

/// A probe on behalf of another member.
struct RelayedProbe
{
    std::string requester;
    std::string target;
    std::uint64_t requesterSequence = 0;
    TimePoint deadline;
};

} // namespace internal

struct Detector::Implementation
{
    Implementation(DetectorSettings newSettings, Identity newSelf, std::uint64_t newIncarnation, TimePoint now);

    // Probing
    void detectPause(TimePoint now);
    void startRound(TimePoint now);
    void startUrgentRound(TimePoint now);
    void probeDeadMember(TimePoint now);
    void startProbe(TimePoint now, const std::string &peer);
    void expireProbes(TimePoint now);
    void startIndirectProbe(TimePoint now, const std::string &peer, internal::Probe &probe);
    void expireRelayedProbes(TimePoint now);
    void raiseSuspicion(TimePoint now, const std::string &peer);
    void expireSuspicions(TimePoint now);
    bool maySuspect(TimePoint now) const;
    unsigned suspicionFactor() const;
    /// Longest time between two messages of a healthy peer that sends a heartbeat in each interval.
    Duration maxSilence() const;
    void selectNeighbours(TimePoint now);

    // Messages
    void recordContact(TimePoint now, const std::string &from);
    void handle(TimePoint now, const std::string &from, const Ping &ping);
    void handle(TimePoint now, const std::string &from, const Ack &ack);
    void handle(TimePoint now, const std::string &from, const ProbeRequest &request);
    void handle(TimePoint now, const std::string &from, const ProbeAnswer &answer);
    void applyUpdates(TimePoint now, const std::string &from, const std::vector<Update> &updates);
    /// Local updates that supersede suspect or dead entries of `updates` with a higher incarnation.
    std::vector<Update> corrections(const std::vector<Update> &updates) const;
    void apply(TimePoint now, Update update);
    void refute(TimePoint now, const Update &receivedUpdate);
    void enqueueUpdate(const Update &update);
    void requestUrgentRound();
    std::vector<Update> takeUpdatesFor(const std::string &peer);
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
    std::string lastProbedDeadMember;
    /// End of the grace period after a pause; reset by the first message from another member.
    std::optional<TimePoint> graceUntil;
    Effects effects;
};

} // namespace Verbenadock::Membership

#endif
