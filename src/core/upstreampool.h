#ifndef VERBENADOCK_CORE_UPSTREAMPOOL_H
#define VERBENADOCK_CORE_UPSTREAMPOOL_H

#include "evenload.h"
#include "loadreports.h"
#include "random.h"
#include "requesttable.h"
#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/identifiers.h"
#include "verbenadock/bundle/bundle.h"
#include "verbenadock/core/effect.h"
#include "verbenadock/core/event.h"
#include "verbenadock/health/servicedetector.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Verbenadock::Core::Internal {

/// State of one upstream as seen by this entry.
struct UpstreamState
{
    UpstreamKey key;
    Endpoint endpoint;
    /// See Bundles::Upstream.
    std::string instance;
    unsigned slots = 1;
    std::string dataCentre;
    bool ownDataCentre = false;
    bool configured = true;
    bool leaving = false;
    /// The upstream announced that it is leaving; it gets no new requests before this time.
    TimePoint drainingUntil{};
    /// The upstream asked this entry for a pause; it gets no requests before this time.
    TimePoint pausedUntil{};
    /// Backoff after shed requests or failed connections; the upstream gets no new requests before this time.
    TimePoint backOffUntil{};
    Duration backOff{0};
    /// Adaptive concurrency limit: halved when requests are shed, at most the slots.
    double concurrency = 1;
    unsigned inFlight = 0;
    /// Reported requests in flight of the other entries of the data centre.
    unsigned otherEntriesInFlight = 0;
    Health::Admission admission;
    /// Time of the last success seen by this entry; reset by a failure.
    TimePoint lastSuccessAt{};
    /// Successes seen by this entry until then, where older ones count less; zero after a failure.
    double successes = 0;
    /// Until this time requests use new connections, since idle ones may be dead.
    TimePoint connectionsSuspectUntil{};
    /// Until this time the load of the upstream gets a penalty, since it did not answer this entry in time or was
    /// unreachable.
    TimePoint pathSuspectUntil{};
    /// Until this time the upstream is slow after its start.
    TimePoint warmUntil{};
    /// Sum of the recent latencies in seconds, and their number; older ones count less.
    double latencySum = 0;
    double latencyCount = 0;
    TimePoint latencyAt{};
};

/// What an upstream announced about itself. It is kept apart from the state, because the state is reset when the
/// upstream is configured differently, and because an upstream may be absent from the configuration for a while.
struct UpstreamNotice
{
    TimePoint leavingUntil{};
    TimePoint pausedUntil{};
    /// Time at which the upstream was removed from the configuration.
    std::optional<TimePoint> absentSince;
};

/// Why an upstream gets no request.
enum class Obstacle {
    Leaving,
    Paused,
    /// Judged unhealthy.
    Withdrawn,
    BackingOff,
    /// It gets single requests that may be repeated.
    OnTrial,
    /// It gets a part of its usual requests.
    OnProbation,
    /// This entry has as many requests in flight there as it may have.
    AtLimit,
    /// A further request would wait too long there.
    Full,
};

/// End of the first pause of an upstream.
struct PauseEnd
{
    TimePoint at;
    /// Slots of the upstream.
    unsigned slots = 0;

    auto operator<=>(const PauseEnd &) const = default;
};

/// Upstreams of one service with load balancing, which is implemented in upstreamchoice.cpp and evenchoice.cpp.
///
/// Usage: configure(); pick() an upstream, then start() on it and finish() when the attempt ends.
class UpstreamPool
{
public:
    /// Replaces the upstreams; those whose id, endpoint, slots and data centre are unchanged keep their state.
    void configure(const std::string &bundle,
                   const Bundles::Service *service,
                   const std::string &ownDataCentre,
                   TimePoint now);

    /// Selects an upstream that may take the request now: the less loaded of two random ones, or with a preference for
    /// the own data centre as described at pickPreferringLocal().
    std::optional<std::uint32_t> pick(const Request &request, TimePoint now, Random &random) const;

    /// Whether a request for which the upstream was selected earlier may be sent there now.
    bool maySend(const Request &request, std::uint32_t upstream, TimePoint now) const;

    /// Whether any upstream could take the request once a slot becomes free or a backoff ends.
    bool couldServe(const Request &request, TimePoint now) const;

    /// The first end of a pause after which an upstream could take the request.
    std::optional<PauseEnd> nextPauseEnd(const Request &request, TimePoint now) const;

    /// The first end of a pause, if all upstreams that would otherwise get requests are paused.
    std::optional<PauseEnd> endOfFullPause(TimePoint now) const;

    std::size_t countInService(TimePoint now) const;

    /// Why the upstream gets no request, or fewer than others; nothing if only its load and data centre count.
    std::optional<Obstacle> obstacle(std::uint32_t upstream, TimePoint now) const;

    /// Whether the load is so high that a further request would miss its target latency.
    bool isFull(std::uint32_t upstream, TimePoint now) const;

    /// Whether the detector limits any upstream.
    bool anyRestricted() const;

    /// Whether the reported load leaves a free slot, so that a request would not be queued by the upstream.
    bool hasFreeSlot(std::uint32_t upstream) const;

    void start(std::uint32_t upstream, TimePoint now);
    void finish(std::uint32_t upstream, TimePoint now);

    /// Stores the load of another data centre in requests per slot, which is used for some seconds.
    void noteDataCentreLoad(const std::string &dataCentre, double load, TimePoint now);
    void noteOtherEntriesLoad(const LoadChanged &change);
    void noteSuccess(std::uint32_t upstream, TimePoint now);
    /// The upstream answered a request whose latency does not depend on the caller.
    void noteLatency(std::uint32_t upstream, Duration latency, TimePoint now);
    void noteFailure(std::uint32_t upstream);
    void noteShed(std::uint32_t upstream, TimePoint now, Random &random);
    void noteUnreachable(std::uint32_t upstream, TimePoint now, Random &random);
    /// A request got no answer within the usual latency.
    void noteOverdue(std::uint32_t upstream, TimePoint now);
    void noteStaleConnection(const std::string &upstream, TimePoint now);
    /// The server at the upstream's address is another one. Returns true when the upstream was in use before.
    bool noteMisdirected(std::uint32_t upstream, TimePoint now);
    /// The upstream announced that it is leaving. Returns true when it had not announced this before.
    bool noteLeaving(const std::string &upstream, TimePoint until, TimePoint now);
    /// The upstream asked for a pause. Returns true when it had not paused before.
    bool notePause(const std::string &upstream, TimePoint until, TimePoint now);
    /// Whether announcements of upstreams that are not configured have to be kept.
    bool remembersAnnouncements(TimePoint now);

    /// Replaces the leaving addresses and endpoints (ADDRESS:PORT). An upstream that stops leaving also stops draining.
    void setLeaving(const std::unordered_set<std::string> &addresses);

    /// Ids of the upstreams that are leaving or draining.
    std::vector<std::string> leavingIds(TimePoint now) const;

    std::optional<TimePoint> nextBackOffEnd(TimePoint now) const;
    std::optional<TimePoint> nextDrainEnd(TimePoint now) const;
    std::optional<TimePoint> nextPauseEnd(TimePoint now) const;

    /// Reads the admissions again from the detector: of the restricted upstreams, or of all.
    void refreshRestricted(const Health::ServiceDetector &detector, TimePoint now);
    void refreshAdmissions(const Health::ServiceDetector &detector, TimePoint now);

    UpstreamView view(std::uint32_t upstream) const;
    const UpstreamState &at(std::uint32_t upstream) const;
    /// Indices of the configured upstreams.
    const std::vector<std::uint32_t> &configured() const;

private:
    /// Scans the upstreams from the offset and returns the less loaded of the first two usable ones.
    std::optional<std::uint32_t> search(const Request &request, TimePoint now, std::uint32_t offset) const;
    /// Prefers local upstreams while one has room, and among nearly idle ones the one with the most recent success.
    std::optional<std::uint32_t> pickPreferringLocal(const Request &request, TimePoint now, Random &random) const;
    /// Best upstream of each kind for a request; local means in the own data centre.
    struct LocalityCandidates
    {
        std::optional<std::uint32_t> local;
        std::optional<std::uint32_t> remote;
        /// Local upstream whose admission is limited to a share of its usual work.
        std::optional<std::uint32_t> limited;
        /// Idle upstream that was ejected.
        std::optional<std::uint32_t> lastResort;
        /// Sum of the admitted shares of the local upstreams with limited admission.
        double limitedShares = 0;
        unsigned localUpstreams = 0;
    };
    void addCandidate(LocalityCandidates &choice, std::uint32_t index, bool exploring, TimePoint now) const;
    // evenchoice.cpp
    /// Random choice that makes the load even; nothing if no upstream with full admission is usable.
    std::optional<std::uint32_t> pickEvenly(const Request &request, TimePoint now, Random &random) const;
    /// Fills the list with the usable upstreams with full admission, inside or outside the own data centre.
    void collectCandidates(EvenLoad &list, bool local, const Request &request, TimePoint now) const;
    /// Requests expected to be in flight at an upstream of the own data centre or of another one, before those that
    /// other entries have sent since the last report.
    double expectedRequests(const UpstreamState &upstream, TimePoint now) const;
    double expectedRemoteRequests(const UpstreamState &upstream, TimePoint now) const;
    /// Requests of the other entries that run in the own data centre as far as known.
    double runningRequestsOfOthers() const;
    /// Slots of the upstream by its speed relative to its siblings.
    double effectiveSlots(const UpstreamState &upstream, TimePoint now) const;
    /// Part of the requests to send to other data centres, 0 to 1, by loads in requests per slot.
    static double remoteShare(const Request &request, double localLevel, double localShare, double remoteLoad);
    /// Load of the own data centre's upstreams in requests per slot.
    double meanLocalLoad() const;

    bool sendsToRemote(const Request &request,
                       std::uint32_t local,
                       std::uint32_t remote,
                       TimePoint now,
                       Random &random) const;
    /// Fraction of the requests that the healthy local slots can take; 1 or more means all.
    double localShare(TimePoint now) const;
    /// Requests per slot from own and reported requests; the report of a remote data centre counts while it is recent.
    double estimatedLoad(const UpstreamState &upstream, TimePoint now) const;
    /// Whether recent reports give the load of each upstream in the upstream's data centre.
    bool hasDetailedLoad(const UpstreamState &upstream, TimePoint now) const;
    bool isUsable(const UpstreamState &upstream, const Request &request, TimePoint now) const;
    void refreshAdmission(const Health::ServiceDetector &detector, std::uint32_t upstream, TimePoint now);
    std::uint32_t lessLoaded(std::uint32_t first, std::uint32_t second) const;
    std::uint32_t indexFor(const Bundles::Upstream &upstream);
    void keepLeaving(std::uint32_t upstream, TimePoint until);
    void forgetOldNotices(TimePoint now);
    void restoreNotices(TimePoint now);
    std::optional<TimePoint> earliestAfter(TimePoint now, TimePoint UpstreamState::*time) const;
    static void lengthenBackOff(UpstreamState &upstream,
                                Duration first,
                                Duration longest,
                                TimePoint now,
                                Random &random);

    std::vector<UpstreamState> upstreams;
    std::vector<std::uint32_t> configuredIndices;
    /// Indices of the configured upstreams by id.
    std::unordered_map<std::string, std::uint32_t> indexById;
    /// By id.
    std::unordered_map<std::string, UpstreamNotice> notices;
    bool prefersLocal = false;
    Bundles::Balancing balancing = Bundles::Balancing::LeastLoaded;
    LoadReports reports;
    /// Working memory of a choice, kept to avoid allocations.
    mutable EvenLoad localCandidates;
    mutable EvenLoad remoteCandidates;
    std::size_t dataCentres = 0;
    struct DataCentreLoad
    {
        double load = 0;
        TimePoint at{};
        /// Time of the last report of the load of a single upstream.
        TimePoint detailedAt{};
    };
    std::map<std::string, DataCentreLoad> dataCentreLoads;
    /// Indices of the upstreams without full admission.
    std::vector<std::uint32_t> restricted;
    /// Latest end of any drain; avoids a scan while no upstream is draining.
    TimePoint lastDrainEnd{};
};

} // namespace Verbenadock::Core::Internal

#endif
