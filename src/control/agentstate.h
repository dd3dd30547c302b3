#ifndef VERBENADOCK_CONTROL_AGENTSTATE_H
#define VERBENADOCK_CONTROL_AGENTSTATE_H

#include "bundlesync.h"
#include "draintable.h"
#include "epochkeeper.h"
#include "evidencepool.h"
#include "verdicttable.h"

namespace Verbenadock::Control {

struct AgentReducer::State
{
    State(AgentReducerSettings newSettings, TimePoint now);

    void handle(const LogRecordsRead &event);
    void handle(const LogUnavailable &event);
    void handle(const VmListRead &event);
    void handle(const PeerConnected &event);
    void handle(const PeerMessageReceived &event);
    void handle(const PeerDisconnected &event);
    void handle(const EntryConnected &event);
    void handle(const EntryDisconnected &event);
    void handle(const EvidenceReceived &event);
    void handle(const DrainsReceived &event);
    void mergeDrains(TimePoint now, const DrainNotice &notice, const std::string &from);
    void sendLeavingUpdate();
    void handle(const EpochWanted &event);
    void handle(const EpochRecordsRead &event);
    void handle(const EpochsUnavailable &event);
    void handle(const EpochAppendEnded &event);
    void handle(const AgentTimerExpired &event);

    void receive(TimePoint now, const std::string &peer, const HealthVerdicts &message);
    void receiveEpochMessage(const PeerMessageReceived &event);
    void bundlesChanged(const std::vector<std::string> &names);
    void sendToEntry(Message message);
    void sendConfiguration(const std::vector<std::string> &names);
    void evaluateEvidence(TimePoint now);
    void publish(TimePoint now, HealthVerdicts message);
    void refreshVerdicts(TimePoint now);
    void reportVerdicts(const std::vector<UpstreamVerdict> &changes);
    void flood(const HealthVerdicts &message, const std::string &from);
    void carryOut(const Membership::Effects &effects);
    void disconnectIdlePeers(TimePoint now);
    /// Returns the queued effects, with ConnectPeer before the first send to each peer that has no stream. Drops
    /// messages to peers that have neither a stream nor a known address.
    AgentEffects takeEffects(TimePoint now);

    AgentReducerSettings settings;
    AgentCounters counters;
    Membership::Detector membership;
    internal::BundleSync bundles;
    internal::EpochKeeper epochs;
    internal::EvidencePool pool;
    internal::VerdictTable verdicts;
    /// Time of the connection or of the last send, by peer; contains every peer with a stream.
    std::map<std::string, TimePoint> streamLastUsed;
    /// Addresses of upstreams that the VM list reports as leaving.
    std::vector<std::string> leavingUpstreams;
    internal::DrainTable drains;
    std::uint64_t lastSequence;
    TimePoint nextRefresh;
    TimePoint nextCleanup;
    bool publishedUnhealthy = false;
    bool entryConnected = false;
    AgentEffects effects;
};

} // namespace Verbenadock::Control

#endif
