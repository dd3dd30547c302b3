#ifndef VERBENADOCK_BUNDLE_BUNDLE_H
#define VERBENADOCK_BUNDLE_BUNDLE_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"
#include "verbenadock/bundle/customer.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Verbenadock::Bundles {

/// One server of a service.
struct Upstream
{
    std::string id;
    Endpoint endpoint;
    std::string dataCentre;
    /// Number of requests that the upstream runs concurrently.
    unsigned slots = 1;
    /// Number of connections that the upstream accepts from the whole fleet.
    unsigned connectionLimit = 300;
    /// Identity of the server process. Requests carry this name, so that another server that took over the address
    /// refuses them; empty when upstreams do not check it.
    std::string instance;
    /// Time for which the upstream was still slow after its start when its entry was first read. It is not updated with
    /// later entries, so that they are no change of configuration.
    Duration remainingWarmUp{0};

    auto operator<=>(const Upstream &) const = default;
};

/// Time limits of a service.
struct Timeouts
{
    Duration connect = std::chrono::milliseconds(250);
    /// Time from the end of writing the request to the head of the answer.
    Duration firstByte = std::chrono::seconds(5);
    /// Time from the caller's request to the end of the answer; sent to the upstream as the deadline.
    Duration total = std::chrono::seconds(15);

    auto operator<=>(const Timeouts &) const = default;
};

/// Trade-off of a service between fast detection and few false ejections.
struct Detection
{
    /// Mean number of samples of a healthy upstream between two false alarms; larger values mean fewer false ejections.
    double samplesBetweenFalseAlarms = 10000;
    /// Failure rate that the sequential test is designed to detect.
    double failureRate = 0.3;
    /// An answer slower than this multiple of the siblings' typical latency counts as slow.
    double slowFactor = 2.5;
    /// Initial time between an ejection and the recovery trials; doubles with each relapse.
    Duration firstEjection = std::chrono::seconds(2);
    /// Upper bound of that time.
    Duration longestEjection = std::chrono::minutes(5);
    /// Multiple of the ejection time after which an upstream recovers without trials, for services without idempotent
    /// requests.
    unsigned trialPatience = 5;
    /// Verdicts on pooled evidence also decide how an upstream recovers; entries run no trials of their own after such
    /// a verdict.
    bool poolDecides = false;

    auto operator<=>(const Detection &) const = default;
};

/// Limits of retries and hedges, as percentages of a service's requests.
struct Budgets
{
    double retryPercent = 10;
    double hedgePercent = 2;
    /// Retries that one entry may make regardless of its request rate, and the refill rate of this reserve per second.
    double retryReserve = 3;
    double retryReservePerSecond = 1;
    /// Capacity of the token bucket, which covers a burst of failures.
    double tokenLimit = 50;
    /// A single budget covers all further attempts: retries, hedges, and retries after a shed request.
    bool coversAllAttempts = false;
    /// Further attempts that all entries together may make within the window, in addition to the percentage of each.
    /// Entries exchange their counts; zero disables the reserve.
    unsigned fleetReserve = 0;
    Duration fleetWindow = std::chrono::seconds(10);

    auto operator<=>(const Budgets &) const = default;
};

/// How an upstream is chosen among those that may take a request.
enum class Balancing {
    /// The one with the lowest known load.
    LeastLoaded,
    /// At random, so that the load is even once the requests of all entries since the last reports have arrived.
    Even,
};

/// Who is served first within a priority while a service is short of capacity.
enum class Sharing {
    ByArrival,
    /// Equal shares for customers, or for routes where there are no customers.
    Fair,
};

/// Group of interchangeable upstreams that answer the same requests.
struct Service
{
    std::string name;
    std::vector<Upstream> upstreams;
    Timeouts timeouts;
    Detection detection;
    Budgets budgets;
    /// Minimum share of the service's slots that ejection leaves in use, in percent.
    double floorPercent = 70;
    /// Maximum number of requests that wait for a slot at one entry.
    unsigned queueLimit = 100;
    /// Answers up to this size, in bytes, are buffered until they are complete.
    std::size_t holdBackBytes = 65536;
    /// Request bodies up to this size, in bytes, are buffered so that a further attempt can send them again.
    std::size_t replayBytes = 65536;
    /// Answers of the upstreams carry the X-Attempt-Id of their attempt.
    bool echoesAttemptId = true;
    /// Requests leave the entry's data centre only when that data centre has too little healthy capacity.
    bool prefersOwnDataCentre = false;
    /// Whether the id of an upstream names a single process, so that its announcement to leave holds for good.
    /// Otherwise the announcement expires, in case the upstream stays after all.
    bool idsNameProcesses = false;
    Balancing balancing = Balancing::LeastLoaded;
    Sharing sharing = Sharing::ByArrival;

    auto operator<=>(const Service &) const = default;
};

/// Service that receives a share of a route's requests.
struct WeightedService
{
    std::string service;
    /// Relative to the sum of the route's weights.
    double weight = 1;

    auto operator<=>(const WeightedService &) const = default;
};

/// Order in which requests are served when capacity is short.
enum class Priority : int {
    High,
    Normal,
    Low,
};

/// Maps requests to a service. The longest matching path prefix wins; an exact method takes precedence over "*".
struct Route
{
    /// "*" matches every host.
    std::string host = "*";
    std::string method = "*";
    std::string pathPrefix = "/";
    std::string service;
    bool idempotent = false;
    Priority priority = Priority::Normal;
    /// Maximum time until the final answer; zero selects the service's total timeout.
    Duration timeout{0};
    /// Maximum number of upstreams to which one request is sent; zero means no limit for this route.
    unsigned maxAttempts = 0;
    /// Latency up to which an answer has its full value for the caller; zero when no target is configured.
    Duration targetLatency{0};
    /// Distributes the requests over several services by weight; `service` is empty in this case.
    std::vector<WeightedService> split = {};
    /// Whether requests need no key of a customer.
    bool isPublic = false;
    /// Whether answers are large, so that the transfer of an answer may take longer than the work.
    bool hasLargeAnswers = false;

    auto operator<=>(const Route &) const = default;
};

/// Rate limit of the caller named in the X-Caller-Id header; "*" applies to callers without their own limit.
struct CallerLimit
{
    std::string caller = "*";
    double requestsPerSecond = 100;
    double burst = 100;

    auto operator<=>(const CallerLimit &) const = default;
};

/// Versioned configuration of one team, built by parseBundle() and immutable afterwards.
struct Bundle
{
    std::string name;
    std::uint64_t version = 0;
    std::vector<Service> services;
    std::vector<Route> routes;
    std::vector<CallerLimit> callerLimits;
    /// Requests on routes that are not public need a key of one of them, if there are any.
    std::vector<Customer> customers = {};

    auto operator<=>(const Bundle &) const = default;
};

} // namespace Verbenadock::Bundles

#endif
