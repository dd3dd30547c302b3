#ifndef VERBENADOCK_CORE_UPSTREAMPOOL_H
#define VERBENADOCK_CORE_UPSTREAMPOOL_H

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

/// What this entry knows of one upstream.
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
    /// The upstream announced that it drains; no new work before this time.
    TimePoint drainingUntil{};
    /// No new work before this time, because work was shed or the connection failed.
    TimePoint backOffUntil{};
    Duration backOff{0};
    /// Bound on the requests in flight that adapts to shed work, at most the slots.
    double concurrency = 1;
    unsigned inFlight = 0;
    /// Requests of the other entries of the data centre, as far as they are known.
    unsigned othersInFlight = 0;
    Health::Admission admission;
    /// The last success of this entry, unless a failure followed.
    TimePoint lastSuccessAt{};
    /// Until then requests need new connections, since idle ones may be dead.
    TimePoint connectionsSuspectUntil{};
    /// Until then this entry prefers others, since the upstream did not answer it in time or could not be reached.
    TimePoint pathSuspectUntil{};
};

/// The upstreams of one service, with the choice among them, whose functions are in upstreamchoice.cpp.
///
/// Usage: configure(); pick() an upstream, then start() on it and finish() when the attempt ends.
class UpstreamPool
{
public:
    /// Takes over the configured upstreams; known ones keep their state as long as their entry stays the same.
    void configure(const std::string &bundle, const Bundles::Service *service, const std::string &ownDataCentre);

    /// The better of two random upstreams that may take the request now.
    std::optional<std::uint32_t> pick(const Request &request, TimePoint now, Random &random) const;

    /// Whether any upstream could take such a request once slots are free or back-offs are over.
    bool couldServe(const Request &request, TimePoint now) const;

    std::size_t countInService(TimePoint now) const;

    /// Whether the upstream has so many requests that a further one would be late.
    bool isFull(std::uint32_t upstream, TimePoint now) const;

    /// Whether the detector limits any upstream.
    bool anyRestricted() const;

    /// Whether a request would surely not wait at the upstream, as far as the other entries' requests are known.
    bool hasFreeSlot(std::uint32_t upstream) const;

    void start(std::uint32_t upstream);
    void finish(std::uint32_t upstream);

    /// How busy another data centre is, in requests per slot. It counts for some seconds.
    void noteDataCentreLoad(const std::string &dataCentre, double load, TimePoint now);
    void noteOtherEntriesLoad(const LoadChanged &change);
    void noteSuccess(std::uint32_t upstream, TimePoint now);
    void noteFailure(std::uint32_t upstream);
    void noteShed(std::uint32_t upstream, TimePoint now, Random &random);
    void noteUnreachable(std::uint32_t upstream, TimePoint now, Random &random);
    /// A request got no answer within the time that is usual.
    void noteOverdue(std::uint32_t upstream, TimePoint now);
    void noteStaleConnection(const std::string &upstream, TimePoint now);
    /// Returns true when the upstream was not known to drain.
    bool noteDraining(std::uint32_t upstream, TimePoint now);

    /// Takes over the leaving addresses and endpoints (ADDRESS:PORT). One that is no longer leaving ends the drain as
    /// well.
    void setLeaving(const std::unordered_set<std::string> &addresses);

    /// Ids of the upstreams that leave or drain.
    std::vector<std::string> leavingIds(TimePoint now) const;

    std::optional<TimePoint> nextBackOffEnd(TimePoint now) const;
    std::optional<TimePoint> nextDrainEnd(TimePoint now) const;

    /// Asks the detector again for the upstreams that may not get full work, or for all.
    void refreshRestricted(const Health::ServiceDetector &detector, TimePoint now);
    void refreshAdmissions(const Health::ServiceDetector &detector, TimePoint now);

    UpstreamView view(std::uint32_t upstream) const;
    const UpstreamState &at(std::uint32_t upstream) const;
    /// Indices of the configured upstreams.
    const std::vector<std::uint32_t> &configured() const;

private:
    /// The better of the first two usable upstreams from the offset on.
    std::optional<std::uint32_t> search(const Request &request, TimePoint now, std::uint32_t offset) const;
    /// An upstream of the own data centre while one has room, otherwise one of another. Of those that have little to
    /// do, the one that answered this entry last.
    std::optional<std::uint32_t> pickPreferringLocal(const Request &request, TimePoint now, Random &random) const;
    /// The best upstreams of each kind for a request.
    struct LocalityCandidates
    {
        std::optional<std::uint32_t> local;
        std::optional<std::uint32_t> remote;
        /// One of the own data centre that gets a part of its work only.
        std::optional<std::uint32_t> limited;
        /// An idle one that was ejected.
        std::optional<std::uint32_t> lastResort;
        /// Sum of the shares of the upstreams that get a part of their work.
        double limitedShares = 0;
        unsigned localUpstreams = 0;
    };
    void addCandidate(LocalityCandidates &choice, std::uint32_t index, bool explores, TimePoint now) const;
    bool sendsToRemote(const Request &request,
                       std::uint32_t local,
                       std::uint32_t remote,
                       TimePoint now,
                       Random &random) const;
    /// Share of the requests that the healthy slots of the own data centre can take; above 1 for all.
    double localShare(TimePoint now) const;
    /// Requests per slot, as far as this entry knows.
    double estimatedLoad(const UpstreamState &upstream, TimePoint now) const;
    /// Whether the requests of all entries at the upstreams of its data centre are known.
    bool hasDetailedLoad(const UpstreamState &upstream, TimePoint now) const;
    bool isUsable(const UpstreamState &upstream, const Request &request, TimePoint now) const;
    void refreshAdmission(const Health::ServiceDetector &detector, std::uint32_t upstream, TimePoint now);
    std::uint32_t lessLoaded(std::uint32_t first, std::uint32_t second) const;
    std::uint32_t indexFor(const Bundles::Upstream &upstream);
    std::optional<TimePoint> earliestAfter(TimePoint now, TimePoint UpstreamState::*time) const;
    static void lengthenBackOff(UpstreamState &upstream,
                                Duration first,
                                Duration longest,
                                TimePoint now,
                                Random &random);

    std::vector<UpstreamState> upstreams;
    std::vector<std::uint32_t> configuredIndices;
    /// The active ones by their ids.
    std::unordered_map<std::string, std::uint32_t> indexById;
    bool prefersLocal = false;
    std::size_t dataCentres = 0;
    struct DataCentreLoad
    {
        double load = 0;
        TimePoint at{};
        /// When the requests at its upstreams were last told one by one.
        TimePoint detailedAt{};
    };
    std::map<std::string, DataCentreLoad> dataCentreLoads;
    /// Upstreams whose admission is not the full one.
    std::vector<std::uint32_t> restricted;
    /// The latest end of any drain, so that nothing is searched while none drains.
    TimePoint lastDrainEnd{};
};

} // namespace Verbenadock::Core::Internal

#endif
