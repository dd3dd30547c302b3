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

/// Thrown for an invalid settings file; the text lists every mistake with its line and key.
class InvalidSettings : public Error
{
public:
    using Error::Error;
};

/// Settings that every process of a VM has.
struct ProcessSettings
{
    std::string vmId;
    std::string dataCentre;
    /// Administration endpoint; loopback by default.
    Endpoint admin{"127.0.0.1", 0};
    std::string logLevel = "info";
    /// Empty for standard error.
    std::string logFile;

    auto operator<=>(const ProcessSettings &) const = default;
};

/// Limits that protect an entry against malformed input and overload.
struct EntryLimits
{
    std::size_t maxHeaderBytes = 16384;
    /// Largest request body in bytes.
    std::size_t maxBodyBytes = 268435456;
    /// Largest body of an upstream's answer in bytes.
    std::size_t maxAnswerBytes = 268435456;
    std::size_t maxCallerConnections = 4096;
    std::size_t maxRequests = 10000;
    /// Largest number of requests of one connection that are processed at a time.
    std::size_t pipelineDepth = 16;
    /// Bytes that the process may hold for slow callers and upstreams; 0 for no limit.
    std::size_t heldBytes = 0;
    /// Largest number of idle connections kept per upstream.
    std::size_t maxIdlePerUpstream = 8;
    /// A non-idempotent request uses a new connection, or an idle one that carried an answer within this time.
    Duration provenAliveTime = std::chrono::seconds(1);
    /// Idle connections to upstreams are closed after this time.
    Duration upstreamIdleTime = std::chrono::seconds(30);
    /// Connections of callers without a request are closed after this time.
    Duration callerIdleTimeout = std::chrono::seconds(60);
    /// Longest time in which a request head must arrive.
    Duration headerTimeout = std::chrono::seconds(10);
    /// Longest time without progress in which the caller neither sends nor receives any bytes.
    Duration callerStallTimeout = std::chrono::seconds(30);
    /// Connections that arrive before the first configuration wait for it at most this long after the start.
    Duration configurationWait{0};

    auto operator<=>(const EntryLimits &) const = default;
};

/// Source of the configuration and of the other VMs for an entry without an agent.
struct StoreSettings
{
    /// The platform's store.
    Endpoint endpoint;
    /// Addresses of VMs to contact while the store does not answer; the list may be stale.
    std::vector<Endpoint> seeds;
    /// Interval at which this VM checks whether it must read the store itself.
    Duration pollInterval = std::chrono::milliseconds(200);
    /// Retries that the platform grants a service per retryWindow, in addition to a share of its requests.
    unsigned retryAllowance = 0;
    /// Number of cores of this VM, may be a fraction. The VMs with the most cores read the store for the
    /// others of their data centre.
    double processorShare = 1;
    Duration retryWindow = std::chrono::seconds(10);
    /// Whether requests that need a customer's key are rejected once the configuration has not been confirmed for
    /// `revocation`.
    bool strictRevocation = false;
    Duration revocation = std::chrono::seconds(5);
    /// Rate of this VM's network link in Mbit/s; zero if it is unknown.
    double linkMbps = 0;
    /// Requests of a customer that may run beyond its cap within the window in which the platform judges caps.
    double capSlack = 0;

    auto operator<=>(const StoreSettings &) const = default;
};

struct EntrySettings
{
    ProcessSettings process;
    /// Listening endpoint for callers, who connect through the load balancer.
    Endpoint listen;
    /// Listening endpoint for other entries.
    Endpoint peerListen;
    /// Endpoint of this VM's agent; unused if `store` is set.
    Endpoint agent;
    std::optional<StoreSettings> store;
    EntryLimits limits;
    Duration drainDelay = std::chrono::seconds(2);
    /// Time after the request to stop at which requests in flight are abandoned.
    Duration shutdownLimit = std::chrono::seconds(60);

    auto operator<=>(const EntrySettings &) const = default;
};

/// A person who is allowed to propose, sign off and roll out bundles.
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
    /// Listening endpoint for other agents.
    Endpoint peerListen;
    /// Listening endpoint for the entry of this VM.
    Endpoint entryListen;
    /// Port on which the other agents listen for their peers.
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

/// Parse the text of a settings file. Throw InvalidSettings with every mistake, including unknown keys.
EntrySettings parseEntrySettings(const std::string &toml);
AgentSettings parseAgentSettings(const std::string &toml);
CtlSettings parseCtlSettings(const std::string &toml);

/// Reads a whole file. Throws InvalidSettings if the file cannot be read.
std::string readFile(const std::string &path);

} // namespace Verbenadock::Settings

#endif
