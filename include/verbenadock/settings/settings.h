#ifndef VERBENADOCK_SETTINGS_SETTINGS_H
#define VERBENADOCK_SETTINGS_SETTINGS_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/error.h"
#include "verbenadock/base/time.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Verbenadock::Settings {

/// Thrown for a settings file with mistakes; the text names each with its line and key.
class InvalidSettings : public Error
{
public:
    using Error::Error;
};

/// What every process of a VM has.
struct ProcessSettings
{
    std::string vmId;
    std::string dataCentre;
    /// Administration port; loopback unless set otherwise.
    Endpoint admin{"127.0.0.1", 0};
    std::string logLevel = "info";
    /// Empty for standard error.
    std::string logFile;

    auto operator<=>(const ProcessSettings &) const = default;
};

/// Limits of an entry against bad input and overload.
struct EntryLimits
{
    std::size_t maxHeaderBytes = 16384;
    /// Largest request body in bytes.
    std::size_t maxBodyBytes = 268435456;
    /// Largest body of an upstream's answer in bytes.
    std::size_t maxAnswerBytes = 268435456;
    std::size_t maxCallerConnections = 4096;
    std::size_t maxRequests = 10000;
    /// Largest number of idle connections kept per upstream.
    std::size_t maxIdlePerUpstream = 8;
    /// Non-idempotent requests use connections that carried an answer within this time, or new ones.
    Duration provenAliveTime = std::chrono::seconds(1);
    /// Idle connections to upstreams are closed after this time.
    Duration upstreamIdleTime = std::chrono::seconds(30);
    /// A caller's connection without a request is closed after this time.
    Duration callerIdleTimeout = std::chrono::seconds(60);
    /// A request head has to be complete within this time.
    Duration headerTimeout = std::chrono::seconds(10);
    /// The caller has to send or take some bytes within this time.
    Duration callerStallTimeout = std::chrono::seconds(30);

    auto operator<=>(const EntryLimits &) const = default;
};

/// Where an entry without an agent reads the configuration and finds the other VMs.
struct StoreSettings
{
    /// The platform's store.
    Endpoint endpoint;
    /// Addresses of VMs to ask while the store does not answer; they may be stale.
    std::vector<Endpoint> seeds;
    /// Time between two checks whether this VM has to read the store itself.
    Duration pollInterval = std::chrono::milliseconds(200);
    /// Further attempts that the platform grants a service within the window, beside a share of its requests.
    unsigned retryAllowance = 0;
    /// Cores that this VM has, or its share of one. The strongest VMs work for the others of their data centre.
    double processorShare = 1;
    Duration retryWindow = std::chrono::seconds(10);

    auto operator<=>(const StoreSettings &) const = default;
};

struct EntrySettings
{
    ProcessSettings process;
    /// Where callers connect, through the balancer.
    Endpoint listen;
    /// Where other entries connect.
    Endpoint peerListen;
    /// The agent of this VM; unused with `store`.
    Endpoint agent;
    std::optional<StoreSettings> store;
    EntryLimits limits;
    Duration drainDelay = std::chrono::seconds(2);
    Duration shutdownLimit = std::chrono::seconds(60);

    auto operator<=>(const EntrySettings &) const = default;
};

/// A person who may propose, sign off and roll out bundles.
struct Operator
{
    std::string name;
    /// Ed25519 public key, 32 bytes in base64.
    std::string publicKey;

    auto operator<=>(const Operator &) const = default;
};

struct AgentSettings
{
    ProcessSettings process;
    /// Where other agents connect.
    Endpoint peerListen;
    /// Where the entry of this VM connects.
    Endpoint entryListen;
    /// Port of the other agents' peerListen.
    std::uint16_t peerPort = 0;
    Endpoint logService;
    Endpoint vmList;
    Duration logPollInterval = std::chrono::milliseconds(200);
    Duration vmListPollInterval = std::chrono::seconds(1);
    std::vector<Operator> operators;

    auto operator<=>(const AgentSettings &) const = default;
};

struct CtlSettings
{
    std::string operatorName;
    /// PEM file with the operator's Ed25519 private key.
    std::string privateKeyFile;
    Endpoint logService;
    /// Administration endpoints of the agents.
    std::vector<Endpoint> agents;
    /// Administration endpoints of the entries.
    std::vector<Endpoint> entries;
    std::vector<Operator> operators;

    auto operator<=>(const CtlSettings &) const = default;
};

/// Each parses the text of a settings file and throws InvalidSettings with every mistake, unknown keys included.
EntrySettings parseEntrySettings(const std::string &toml);
AgentSettings parseAgentSettings(const std::string &toml);
CtlSettings parseCtlSettings(const std::string &toml);

/// Reads a whole file. Throws InvalidSettings when it cannot be read.
std::string readFile(const std::string &path);

} // namespace Verbenadock::Settings

#endif
