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

struct OpenRequest
{
    Key key;
    Fingerprint fingerprint;
    WallTime wall{};
    bool forwarded = false;
    /// The epoch under which the request was last forwarded.
    EpochNumber sentUnder = 0;
    /// Set while the request waits for an epoch that a peer named.
    std::optional<TimePoint> epochDeadline;
};

/// The reducer's decisions. The functions are spread over engine.cpp, fence.cpp and handover.cpp.
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

    // engine.cpp
    void route(RequestId request);
    void routeAgain(const std::vector<RequestId> &waiting);
    void decideHere(RequestId request);
    void start(RequestId request, Entry *entry);
    void reset(Entry &entry);
    void answer(const Entry &entry, RequestId request);
    void refuse(RequestId request, Outcome outcome, Reason reason, bool requestNotRun = true);
    void refuseNotOwner(RequestId request);
    void refuseWaiting(Entry &entry, Outcome outcome, Reason reason);
    void answerWaiting(Entry &entry);
    void end(Entry &entry, Stage stage, std::optional<StoredAnswer> kept, Duration age);
    void expire();
    void expireKeys();
    void expireEpochWaits();
    void fetchIfNewer(EpochNumber epoch);

    // fence.cpp
    void ask(Entry &entry);
    void send(Entry &entry, const Inquiry &inquiry);
    std::vector<RequestId> abortAsking(Entry &entry);
    void note(Entry &entry, const FenceReply &reply);
    void execute(Entry &entry);
    void conclude(Entry &entry);
    void adopt(Entry &entry, const KeyRecord &record);
    bool madeAfter(const Entry &entry, const MemberId &gone) const;
    Entry *findAsking(std::uint64_t id, const MemberId &member);
    void reply(const FenceRequest &request, FenceVerdict verdict, std::optional<KeyRecord> record = std::nullopt);
    KeyRecord recordOf(const Entry &entry) const;

    // handover.cpp
    void continueStopping();
    void handOver();
    void sendParts(const EpochMember &member, std::vector<KeyRecord> records);
    bool takeOver(const KeyRecord &record);

    struct Incoming
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
    std::unordered_map<RequestId, OpenRequest> requests;
    /// Keys of the requests that run here.
    std::unordered_map<RequestId, Key> executing;
    /// By id of the question.
    std::map<std::uint64_t, Key> questions;
    std::set<std::pair<TimePoint, std::uint64_t>> questionDeadlines;
    std::set<std::pair<TimePoint, RequestId>> epochDeadlines;
    /// Epochs under which the running keys started.
    std::multiset<EpochNumber> runningEpochs;
    std::map<std::pair<MemberId, EpochNumber>, Incoming> incoming;
    std::optional<Stopping> stopping;
    std::uint64_t lastQuestion = 0;
};

} // namespace Verbenadock::Keys::Internal

#endif
