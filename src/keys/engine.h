#ifndef VERBENADOCK_KEYS_ENGINE_H
#define VERBENADOCK_KEYS_ENGINE_H

#include "keytable.h"
#include "ownership.h"
#include "verbenadock/keys/keyreducer.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Verbenadock::Keys::Internal {

struct PendingRequest
{
    Key key;
    Fingerprint fingerprint;
    WallTime wall{};
    bool forwarded = false;
    /// The epoch under which the request was last forwarded.
    EpochNumber forwardedEpoch = 0;
    /// Set while the request waits for an epoch that a peer named.
    std::optional<TimePoint> epochDeadline;
};

/// Implements the decisions of KeyReducer. Member functions are defined in engine.cpp, fence.cpp and handover.cpp.
class Engine
{
public:
    explicit Engine(KeySettings initial);

    Effects apply(const Event &event);
    std::optional<TimePoint> nextDeadline() const;
    EpochNumber confirmedEpoch() const;
    std::string dump(TimePoint at) const;

private:
    void on(const KeyedRequestArrived &event);
    void on(const ExecutionEnded &event);
    void on(const ForwardEnded &event);
    void on(const RequestAbandoned &event);
    void on(const PeerConfirmed &event);
    void on(const EpochsChanged &event);
    void on(const FenceRequested &event);
    void on(const FenceReplied &event);
    void on(const FenceFailed &event);
    void on(const HandOverReceived &event);
    void on(const HandOverEnded &event);
    void on(const StopRequested &event);
    void on(const TimerExpired &event);

    // Defined in engine.cpp.
    void route(RequestId request);
    void reroute(const std::vector<RequestId> &waiting);
    void decideLocally(RequestId request);
    void startRequest(RequestId request, Entry *entry);
    void resetEntry(Entry &entry);
    void answerFromEntry(const Entry &entry, RequestId request);
    void refuse(RequestId request, Outcome outcome, Reason reason, bool requestNotRun = true);
    void refuseNotOwner(RequestId request);
    void refuseWaiting(Entry &entry, Outcome outcome, Reason reason);
    void answerWaiting(Entry &entry);
    void recordOutcome(Entry &entry, Stage stage, std::optional<StoredAnswer> kept, Duration age);
    void expire();
    void expireKeys();
    void expireEpochWaits();
    void fetchIfNewer(EpochNumber epoch);

    // Defined in fence.cpp.
    void queryEarlierOwners(Entry &entry);
    void sendQuery(Entry &entry, const FenceTargets &targets);
    std::vector<RequestId> abortQuery(Entry &entry);
    void processReply(Entry &entry, const FenceReply &reply);
    void execute(Entry &entry);
    void concludeQuery(Entry &entry);
    void adoptRecord(Entry &entry, const KeyRecord &record);
    bool createdAfter(const Entry &entry, const MemberId &gone) const;
    Entry *findQueried(std::uint64_t id, const MemberId &member);
    void reply(const FenceRequest &request, FenceVerdict verdict, std::optional<KeyRecord> record = std::nullopt);
    KeyRecord recordOf(const Entry &entry) const;

    // Defined in handover.cpp.
    void continueStopping();
    void handOver();
    void sendParts(const EpochMember &member, std::vector<KeyRecord> records);
    bool mergeRecord(const KeyRecord &record);

    struct IncomingHandOver
    {
        std::set<std::uint32_t> parts;
        std::vector<Transfer> transfers;
    };
    struct Stopping
    {
        bool handedOver = false;
        bool completed = false;
        TimePoint deadline{};
        std::set<std::pair<MemberId, std::uint32_t>> outstanding;
    };

    KeySettings settings;
    TimePoint now{};
    Effects effects;
    Ownership ownership;
    KeyTable table;
    std::unordered_map<RequestId, PendingRequest> requests;
    /// Keys by the request that runs here.
    std::unordered_map<RequestId, Key> executing;
    /// Keys by the id of their fence query.
    std::map<std::uint64_t, Key> queries;
    std::set<std::pair<TimePoint, std::uint64_t>> queryDeadlines;
    std::set<std::pair<TimePoint, RequestId>> epochDeadlines;
    /// Start epochs of all running keys.
    std::multiset<EpochNumber> runningEpochs;
    std::map<std::pair<MemberId, EpochNumber>, IncomingHandOver> incoming;
    std::optional<Stopping> stopping;
    std::uint64_t lastQueryId = 0;
};

} // namespace Verbenadock::Keys::Internal

#endif
