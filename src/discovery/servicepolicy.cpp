#include "servicepolicy.h"

#include <algorithm>
#include <utility>

namespace Verbenadock::Discovery::internal {

namespace {

// A round trip between data centres takes 3 ms. A connect that takes longer than the retransmission of a lost packet
// means that the upstream is unreachable.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
// A claim must not be abandoned before its deadline, since it cannot be retried.
constexpr Duration RequestTimeout = std::chrono::seconds(10);
// Answers and uploads are buffered whole, so that a shed request can be retried at another upstream.
constexpr std::size_t HoldBackBytes = 128 * 1024;
constexpr std::size_t ReplayBytes = 1024 * 1024;
// The platform allows the fleet to retry 20% of the requests of a service. The difference to 20% is a margin for
// requests that several entries miscount.
constexpr double RetryPercent = 17;
constexpr double HedgePercent = 3;
// The platform grants a fixed number in addition to the percentage. The rest is a margin for attempts that entries
// report late.
constexpr double UsableAllowanceShare = 0.85;
// The fleet-wide reserve replaces the reserve of each entry.
constexpr double RetryReserve = 0;
constexpr double RetryReservePerSecond = 0;
constexpr double TokenLimit = 2;
// The pooled evidence of all entries decides. An entry by itself only acts on failures that no other entry sees, such
// as a broken network path.
constexpr Bundles::Detection PooledDetection{.samplesBetweenFalseAlarms = 5000,
                                             .failureRate = 0.6,
                                             .slowFactor = 4,
                                             .firstEjection = std::chrono::seconds(3),
                                             .longestEjection = std::chrono::seconds(8),
                                             .poolDecides = true};
// Upstreams are at most 43% in use, and ejected upstreams still get single requests on probation.
constexpr double FloorPercent = 40;

bool routesTo(const Bundles::Route &route, const std::string &service)
{
    return route.service == service
           || std::any_of(route.split.begin(), route.split.end(), [&service](const Bundles::WeightedService &part) {
                  return part.service == service;
              });
}

/// Whether customers compete for capacity or requests differ much in their work, so that counts of requests are a poor
/// measure of load.
bool hasUnevenRequests(const Bundles::Bundle &bundle)
{
    return !bundle.customers.empty()
           || std::any_of(bundle.routes.begin(), bundle.routes.end(), [](const Bundles::Route &route) {
                  return route.hasLargeAnswers;
              });
}

} // namespace

Bundles::Upstream makeUpstream(const UpstreamEntry &entry)
{
    Bundles::Upstream upstream;
    // A process that restarts with the same instance name is a different upstream for the detector and the connection
    // pool.
    upstream.id = entry.instance + "@" + std::to_string(entry.startedAt);
    upstream.endpoint = entry.endpoint;
    upstream.dataCentre = entry.dataCentre;
    upstream.slots = entry.slots;
    upstream.instance = entry.instance;
    upstream.remainingWarmUp = entry.remainingWarmUp;
    return upstream;
}

Bundles::Service makeService(const ConfiguredService &configured,
                             const RetryAllowance &allowance,
                             const Bundles::Bundle &bundle,
                             std::vector<Bundles::Upstream> upstreams)
{
    Bundles::Service service;
    service.name = configured.name;
    service.upstreams = std::move(upstreams);
    for (auto &upstream : service.upstreams) {
        upstream.connectionLimit = configured.connectionLimit;
    }
    service.timeouts = {.connect = ConnectTimeout, .firstByte = RequestTimeout, .total = RequestTimeout};
    service.detection = PooledDetection;
    service.floorPercent = FloorPercent;
    const bool hasTrials
        = std::any_of(bundle.routes.begin(), bundle.routes.end(), [&service](const Bundles::Route &route) {
              return route.idempotent && routesTo(route, service.name);
          });
    service.detection.trialPatience = hasTrials ? service.detection.trialPatience : 0;
    service.budgets = {.retryPercent = RetryPercent,
                       .hedgePercent = HedgePercent,
                       .retryReserve = RetryReserve,
                       .retryReservePerSecond = RetryReservePerSecond,
                       .tokenLimit = TokenLimit,
                       .coversAllAttempts = true,
                       .fleetReserve = static_cast<unsigned>(allowance.attempts * UsableAllowanceShare),
                       .fleetWindow = allowance.window};
    service.holdBackBytes = HoldBackBytes;
    service.replayBytes = ReplayBytes;
    service.prefersOwnDataCentre = true;
    service.idsNameProcesses = true;
    if (hasUnevenRequests(bundle)) {
        service.balancing = Bundles::Balancing::Even;
        service.sharing = Bundles::Sharing::Fair;
    }
    return service;
}

} // namespace Verbenadock::Discovery::internal
