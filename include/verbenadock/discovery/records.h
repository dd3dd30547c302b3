#ifndef VERBENADOCK_DISCOVERY_RECORDS_H
#define VERBENADOCK_DISCOVERY_RECORDS_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"
#include "verbenadock/bundle/bundle.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Verbenadock::Discovery {

/// Registration of an upstream in the platform's store.
struct UpstreamEntry
{
    std::string instance;
    std::string service;
    Endpoint endpoint;
    std::string dataCentre;
    unsigned slots = 1;
    bool draining = false;
    /// Remaining time during which the upstream is slow after its start.
    Duration remainingWarmUp{0};
    /// Start of the process in milliseconds since 1970; distinguishes processes with the same instance name.
    std::int64_t startedAt = 0;
    /// Counts the entries that the process wrote since its start.
    std::uint64_t sequence = 0;

    auto operator<=>(const UpstreamEntry &) const = default;
};

/// A service in the operators' configuration; its upstreams register themselves.
struct ConfiguredService
{
    std::string name;
    /// Connections that each upstream accepts from the whole fleet.
    unsigned connectionLimit = 300;

    auto operator<=>(const ConfiguredService &) const = default;
};

/// Size limits and time-outs for requests of callers.
struct RequestLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 67108864;
    Duration headerTimeout = std::chrono::seconds(10);
    /// Callers reuse a connection that was idle for less than this time.
    Duration idleTimeout = std::chrono::seconds(60);

    auto operator<=>(const RequestLimits &) const = default;
};

/// Retries that the platform grants the fleet in addition to a percentage of the requests of each service.
struct RetryAllowance
{
    /// Number of further attempts for each service within the window; zero for none.
    unsigned attempts = 0;
    Duration window = std::chrono::seconds(10);

    auto operator<=>(const RetryAllowance &) const = default;
};

/// One version of the operators' complete configuration.
struct OperatorConfiguration
{
    std::uint64_t version = 0;
    std::vector<Bundles::Route> routes;
    std::vector<ConfiguredService> services;
    RequestLimits limits;
    std::vector<Bundles::Customer> customers = {};

    auto operator<=>(const OperatorConfiguration &) const = default;
};

/// A record that could not be decoded.
struct Unreadable
{
    std::string reason;

    auto operator<=>(const Unreadable &) const = default;
};

/// The key of the record was removed.
struct Removed
{
    auto operator<=>(const Removed &) const = default;
};

/// The newest record of an upstream.
struct UpstreamRecord
{
    std::string key;
    std::uint64_t offset = 0;
    std::variant<UpstreamEntry, Removed, Unreadable> content;

    auto operator<=>(const UpstreamRecord &) const = default;
};

/// The newest record of the configuration.
struct ConfigurationRecord
{
    std::uint64_t offset = 0;
    std::variant<OperatorConfiguration, Removed, Unreadable> content;

    auto operator<=>(const ConfigurationRecord &) const = default;
};

} // namespace Verbenadock::Discovery

#endif
