#include "servicepolicy.h"

#include <algorithm>
#include <utility>

namespace Verbenadock::Discovery::internal {

namespace {

// A round trip between data centres takes 3 ms; anything beyond a lost packet means that the upstream is away.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
// A claim must not be abandoned before its deadline, since it cannot be sent again.
constexpr Duration LongestWait = std::chrono::seconds(10);
// Answers and uploads are buffered whole, so that a shed request can go to another upstream.
constexpr std::size_t HoldBackBytes = 128 * 1024;
constexpr std::size_t ReplayBytes = 1024 * 1024;
// The fleet may send 20% of a service's requests again; a part is left for requests that several entries miscount.
constexpr double RetryPercent = 17;
constexpr double HedgePercent = 3;
// The platform grants a fixed number beside the percentage. A part is left for attempts that entries report late.
constexpr double UsedAllowance = 0.85;
// The reserve that all entries share takes the place of one for each.
constexpr double RetryReserve = 0;
constexpr double RetryReservePerSecond = 0;
constexpr double TokenLimit = 2;
// The entries' pooled evidence decides; an entry by itself only acts on what it alone sees, such as a cut path.
constexpr Bundles::Detection PooledDetection{.samplesBetweenFalseAlarms = 5000,
                                             .failureRate = 0.6,
                                             .slowFactor = 4,
                                             .firstEjection = std::chrono::seconds(3),
                                             .longestEjection = std::chrono::seconds(8),
                                             .poolDecides = true};
// Upstreams are at most 43% in use, and each one that is avoided still gets single requests on probation.
constexpr double FloorPercent = 40;

bool leadsTo(const Bundles::Route &route, const std::string &service)
{
    return route.service == service
           || std::any_of(route.split.begin(), route.split.end(), [&service](const Bundles::WeightedService &part) {
                  return part.service == service;
              });
}

} // namespace

Bundles::Upstream upstreamOf(const UpstreamEntry &entry)
{
    Bundles::Upstream upstream;
    // A process that returns under its old name is another upstream to the detector and to the connection pool.
    upstream.id = entry.instance + "@" + std::to_string(entry.startedAt);
    upstream.endpoint = entry.endpoint;
    upstream.dataCentre = entry.dataCentre;
    upstream.slots = entry.slots;
    upstream.instance = entry.instance;
    return upstream;
}

Bundles::Service serviceOf(const ConfiguredService &configured,
                           const RetryAllowance &allowance,
                           const std::vector<Bundles::Route> &routes,
                           std::vector<Bundles::Upstream> upstreams)
{
    Bundles::Service service;
    service.name = configured.name;
    service.upstreams = std::move(upstreams);
    for (auto &upstream : service.upstreams) {
        upstream.connectionLimit = configured.connectionLimit;
    }
    service.timeouts = {.connect = ConnectTimeout, .firstByte = LongestWait, .total = LongestWait};
    service.detection = PooledDetection;
    service.floorPercent = FloorPercent;
    const bool hasTrials = std::any_of(routes.begin(), routes.end(), [&service](const Bundles::Route &route) {
        return route.idempotent && leadsTo(route, service.name);
    });
    service.detection.trialPatience = hasTrials ? service.detection.trialPatience : 0;
    service.budgets = {.retryPercent = RetryPercent,
                       .hedgePercent = HedgePercent,
                       .retryReserve = RetryReserve,
                       .retryReservePerSecond = RetryReservePerSecond,
                       .tokenLimit = TokenLimit,
                       .coversAllAttempts = true,
                       .fleetReserve = static_cast<unsigned>(allowance.attempts * UsedAllowance),
                       .fleetWindow = allowance.window};
    service.holdBackBytes = HoldBackBytes;
    service.replayBytes = ReplayBytes;
    service.prefersOwnDataCentre = true;
    return service;
}

} // namespace Verbenadock::Discovery::internal
