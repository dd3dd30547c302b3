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

/// What an upstream says of itself in the platform's store.
struct UpstreamEntry
{
    std::string instance;
    std::string service;
    Endpoint endpoint;
    std::string dataCentre;
    unsigned slots = 1;
    bool draining = false;
    /// How long the upstream remains slow after its start.
    Duration warmUpLeft{0};
    /// Start of the process in milliseconds since 1970; it tells two processes with one instance name apart.
    std::int64_t startedAt = 0;

    auto operator<=>(const UpstreamEntry &) const = default;
};

/// A service as the operators configure it; its upstreams register themselves.
struct ConfiguredService
{
    std::string name;
    /// Connections that each upstream accepts from the whole fleet.
    unsigned connectionLimit = 300;

    auto operator<=>(const ConfiguredService &) const = default;
};

/// What callers may send, and how slowly.
struct RequestLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 67108864;
    Duration headerTimeout = std::chrono::seconds(10);
    /// Callers reuse connections that were idle for less than this time.
    Duration idleTimeout = std::chrono::seconds(60);

    auto operator<=>(const RequestLimits &) const = default;
};

/// What the platform grants the fleet beside a share of each service's requests.
struct RetryAllowance
{
    /// Further attempts for each service within the window; zero for none.
    unsigned attempts = 0;
    Duration window = std::chrono::seconds(10);

    auto operator<=>(const RetryAllowance &) const = default;
};

/// The operators' whole configuration in one version.
struct OperatorConfiguration
{
    std::uint64_t version = 0;
    std::vector<Bundles::Route> routes;
    std::vector<ConfiguredService> services;
    RequestLimits limits;

    auto operator<=>(const OperatorConfiguration &) const = default;
};

/// A record that could not be decoded. It names nothing to use.
struct Unreadable
{
    std::string reason;

    auto operator<=>(const Unreadable &) const = default;
};

/// The record's key was dropped.
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
