#ifndef VERBENADOCK_BUNDLE_BUNDLE_H
#define VERBENADOCK_BUNDLE_BUNDLE_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"

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
    /// Requests that the upstream runs at the same time.
    unsigned slots = 1;
    /// Connections that the upstream accepts from the whole fleet.
    unsigned connectionLimit = 300;
    /// Name under which the upstream itself runs. Requests carry it, so that a server that took over the address
    /// rejects them; empty when upstreams do not check it.
    std::string instance;

    auto operator<=>(const Upstream &) const = default;
};

/// Time limits of a service.
struct Timeouts
{
    Duration connect = std::chrono::milliseconds(250);
    /// From the written request to the head of the answer.
    Duration firstByte = std::chrono::seconds(5);
    /// From the caller's request to the end of the answer; it is the deadline that the upstream is told.
    Duration total = std::chrono::seconds(15);

    auto operator<=>(const Timeouts &) const = default;
};

/// Where a service stands between fast detection and few false ejections.
struct Detection
{
    /// Mean number of samples of a healthy upstream between two false alarms; larger is more careful.
    double samplesBetweenFalseAlarms = 10000;
    /// Rate of failures that has to be found.
    double failureRate = 0.3;
    /// An answer slower than this multiple of the siblings' typical latency counts as slow.
    double slowFactor = 2.5;
    /// First wait between an ejection and the recovery trials; it doubles with each relapse.
    Duration firstEjection = std::chrono::seconds(2);
    Duration longestEjection = std::chrono::minutes(5);
    /// Multiple of the wait after which an upstream recovers without trials, for services without idempotent requests.
    unsigned trialPatience = 5;
    /// Verdicts on pooled evidence say also how an upstream recovers; entries then run no trials of their own after
    /// them.
    bool poolDecides = false;

    auto operator<=>(const Detection &) const = default;
};

/// Retries and hedges as fractions of a service's requests.
struct Budgets
{
    double retryPercent = 10;
    double hedgePercent = 2;
    /// Retries that one entry may make regardless of its number of requests, and how many of them return per second.
    double retryReserve = 3;
    double retryReservePerSecond = 1;
    /// Unused tokens that are kept for a burst of failures.
    double tokenLimit = 50;
    /// One budget covers every further request to an upstream: retries, hedges, and retries after a shed request.
    bool coversAllAttempts = false;
    /// Further attempts that all entries together may make within the window, beside the percentage of each. Entries
    /// tell each other of them; zero for none.
    unsigned fleetReserve = 0;
    Duration fleetWindow = std::chrono::seconds(10);

    auto operator<=>(const Budgets &) const = default;
};

/// A group of upstreams that answer the same requests.
struct Service
{
    std::string name;
    std::vector<Upstream> upstreams;
    Timeouts timeouts;
    Detection detection;
    Budgets budgets;
    /// Share of the service's slots that ejection leaves in use, in percent.
    double floorPercent = 70;
    /// Requests that wait at one entry for a slot.
    unsigned queueLimit = 100;
    /// Answers up to this size are held back until complete, in bytes.
    std::size_t holdBackBytes = 65536;
    /// Request bodies up to this size are buffered and can be sent again, in bytes.
    std::size_t replayBytes = 65536;
    /// Whether answers carry the X-Attempt-Id of their attempt.
    bool echoesAttemptId = true;
    /// Requests leave the entry's data centre only when it has too little healthy capacity.
    bool prefersOwnDataCentre = false;

    auto operator<=>(const Service &) const = default;
};

/// A service that gets a share of a route's requests.
struct WeightedService
{
    std::string service;
    /// Relative to the sum of the route's weights.
    double weight = 1;

    auto operator<=>(const WeightedService &) const = default;
};

/// What goes first when capacity is tight.
enum class Priority {
    High,
    Normal,
    Low,
};

/// Maps requests to a service. The longest matching path prefix wins; an exact method goes before "*".
struct Route
{
    /// "*" matches every host.
    std::string host = "*";
    std::string method = "*";
    std::string pathPrefix = "/";
    std::string service;
    bool idempotent = false;
    Priority priority = Priority::Normal;
    /// Longest time until the final answer; zero takes the service's total timeout.
    Duration timeout{0};
    /// Upstreams to which one request may be sent; zero for no limit of the route's own.
    unsigned maxAttempts = 0;
    /// Time within which an answer is of full use to the caller; zero when the operators name none.
    Duration targetLatency{0};
    /// Shares the requests out among several services; `service` is empty then.
    std::vector<WeightedService> split = {};

    auto operator<=>(const Route &) const = default;
};

/// Limits for one caller, named by the X-Caller-Id header; "*" is the default for callers without a limit of their own.
struct CallerLimit
{
    std::string caller = "*";
    double requestsPerSecond = 100;
    double burst = 100;

    auto operator<=>(const CallerLimit &) const = default;
};

/// The versioned configuration of one team. Build it with parseBundle; it is never changed afterwards.
struct Bundle
{
    std::string name;
    std::uint64_t version = 0;
    std::vector<Service> services;
    std::vector<Route> routes;
    std::vector<CallerLimit> callerLimits;

    auto operator<=>(const Bundle &) const = default;
};

} // namespace Verbenadock::Bundles

#endif
