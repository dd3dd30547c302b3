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

    auto operator<=>(const Detection &) const = default;
};

/// Retries and hedges as fractions of a service's requests.
struct Budgets
{
    double retryPercent = 10;
    double hedgePercent = 2;

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

    auto operator<=>(const Service &) const = default;
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
