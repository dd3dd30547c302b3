#ifndef VERBENADOCK_MEASURE_PROMISESTRAFFIC_H
#define VERBENADOCK_MEASURE_PROMISESTRAFFIC_H

#include "load.h"

namespace Verbenadock::Measure {

enum class CallKind {
    Search,
    Claim,
    Upload,
};

/// One time that a caller sent a request.
struct CallTry
{
    TimePoint startedAt;
    TimePoint endedAt;
    Endpoint target;
    bool connected = false;
    LoadOutcome outcome = LoadOutcome::Broken;
    unsigned status = 0;

    auto operator<=>(const CallTry &) const = default;
};

/// A request of a caller with all that it was told. Searches and claims are sent once; a try that could not connect is
/// repeated. Uploads are repeated as well when they are told not-run.
struct Call
{
    CallKind kind = CallKind::Search;
    std::string workId;
    std::string path;
    /// Size of the padding that the answer must have.
    std::size_t padding = 0;
    std::size_t bodyBytes = 0;
    /// xxHash64 of the body, as the upstreams record it.
    std::string bodyHash;
    std::vector<CallTry> tries;
    /// The answer looked whole and was not, or belongs to another request.
    bool incomplete = false;
    bool crossed = false;

    auto operator<=>(const Call &) const = default;
};

struct TrafficPlan
{
    std::vector<Endpoint> entries;
    Endpoint balancer;
    /// Paths of the services for searches, claims and uploads, such as "/katalog".
    std::string searches;
    std::string claims;
    std::string uploads;
    std::uint64_t seed = 1;
    Duration length{0};
};

/// Sends the traffic of a deployment, half through the balancer and half to the entries, until the last call ended.
boost::asio::awaitable<std::vector<Call>> runTraffic(TrafficPlan plan);

} // namespace Verbenadock::Measure

#endif
