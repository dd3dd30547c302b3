#include "verbenadock/settings/settings.h"

#include "common.h"

#include <algorithm>

namespace Verbenadock::Settings {

namespace {

using Toml::Presence;
using Toml::TableReader;

constexpr Duration MinTimeout = std::chrono::milliseconds(1);
// More frequent polling costs the platform more than the fleet gains by it.
constexpr Duration MinPollInterval = std::chrono::milliseconds(10);
constexpr Duration MaxPollInterval = std::chrono::minutes(1);
constexpr std::size_t Gibibyte = 1 << 30;
constexpr std::uint64_t MaxCount = 1'000'000;
constexpr double MaxRetryAllowance = 1e6;
constexpr double MaxMemoryMegabytes = 1e6;
constexpr double MaxCapSlack = 1e6;
constexpr double MaxLinkMbps = 1'000'000;
constexpr double MinProcessorShareCores = 0.01;
constexpr double MaxProcessorShareCores = 1024;
constexpr double MinRetryWindowSeconds = 0.1;
constexpr double MaxRetryWindowSeconds = 3600;
constexpr double MinRevocationSeconds = 0.1;
constexpr double MaxRevocationSeconds = 3600;
/// The last answers are written between the end of a shutdown and SIGKILL.
constexpr Duration KillMargin = std::chrono::milliseconds(300);
constexpr double MinKillDelaySeconds = 1;
constexpr double MaxKillDelaySeconds = 3600;

void readCount(TableReader &reader, std::string_view key, std::size_t &target, std::uint64_t least = 1)
{
    std::uint64_t count = 0;
    if (reader.readInteger(key, count, {.least = least, .most = MaxCount})) {
        target = count;
    }
}

/// The process itself and the buffers of its connections need the other half and 40 MB.
std::size_t heldBytesFor(double memoryMegabytes)
{
    constexpr double ProcessMegabytes = 40;
    constexpr double MinHeldMegabytes = 16;
    constexpr double Megabyte = 1e6;
    const auto megabytes = std::max(MinHeldMegabytes, memoryMegabytes / 2 - ProcessMegabytes);
    return static_cast<std::size_t>(megabytes * Megabyte);
}

void readLimits(TableReader &root, EntryLimits &limits)
{
    auto reader = root.readTable("limits");
    constexpr std::size_t MinHeaderBytes = 1024;
    constexpr std::size_t MaxHeaderBytes = 1 << 20;
    reader.readSize("max_header_bytes", limits.maxHeaderBytes, {.least = MinHeaderBytes, .most = MaxHeaderBytes});
    reader.readSize("max_body_bytes", limits.maxBodyBytes, {.least = 1, .most = 1024 * Gibibyte});
    reader.readSize("max_answer_bytes", limits.maxAnswerBytes, {.least = 1, .most = 1024 * Gibibyte});
    readCount(reader, "max_caller_connections", limits.maxCallerConnections);
    readCount(reader, "max_requests", limits.maxRequests);
    readCount(reader, "pipeline_depth", limits.pipelineDepth);
    double memory = 0;
    if (reader.readNumber("memory_mb", memory, {.least = 0, .most = MaxMemoryMegabytes}) && memory > 0) {
        limits.heldBytes = heldBytesFor(memory);
    }
    readCount(reader, "max_idle_per_upstream", limits.maxIdlePerUpstream, 0);
    const Toml::Range<Duration> range{.least = MinTimeout, .most = internal::MaxDuration};
    reader.readDuration("proven_alive_time", limits.provenAliveTime, range);
    reader.readDuration("upstream_idle_time", limits.upstreamIdleTime, range);
    reader.readDuration("caller_idle_timeout", limits.callerIdleTimeout, range);
    reader.readDuration("header_timeout", limits.headerTimeout, range);
    reader.readDuration("caller_stall_timeout", limits.callerStallTimeout, range);
    reader.readDuration(
        "configuration_wait", limits.configurationWait, {.least = Duration(0), .most = internal::MaxDuration});
    reader.finish();
}

/// Reads a number of seconds. Numbers are for values that the platform inserts, since these may be fractions.
bool readSeconds(TableReader &reader, std::string_view key, Duration &target, const Toml::Range<double> &range)
{
    double seconds = 0;
    if (!reader.readNumber(key, seconds, range)) {
        return false;
    }
    target = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return true;
}

void readShutdown(TableReader &root, EntrySettings &settings)
{
    auto reader = root.readTable("shutdown");
    const Toml::Range<Duration> range{.least = Duration(0), .most = internal::MaxDuration};
    reader.readDuration("drain_delay", settings.drainDelay, range);
    const bool hasLimit = reader.readDuration("limit", settings.shutdownLimit, range);
    Duration killDelay{0};
    if (readSeconds(reader, "kill_after_s", killDelay, {.least = MinKillDelaySeconds, .most = MaxKillDelaySeconds})) {
        if (hasLimit) {
            reader.report("kill_after_s", "cannot be combined with limit");
        }
        settings.shutdownLimit = killDelay - KillMargin;
        // Requests that arrive during the drain delay need time too.
        settings.drainDelay = std::min(settings.drainDelay, settings.shutdownLimit / 2);
    }
    if (settings.shutdownLimit < settings.drainDelay) {
        reader.report("limit", "is shorter than drain_delay, so requests in flight would be cut off");
    }
    reader.finish();
}

void readStore(TableReader &root, EntrySettings &settings)
{
    auto reader = root.readTable("store");
    StoreSettings store;
    reader.readEndpoint("endpoint", store.endpoint, Presence::Required);
    reader.readEndpoints("seeds", store.seeds);
    reader.readDuration("poll_interval", store.pollInterval, {.least = MinPollInterval, .most = MaxPollInterval});
    double allowance = 0;
    if (reader.readNumber("retry_allowance", allowance, {.least = 0, .most = MaxRetryAllowance})) {
        store.retryAllowance = static_cast<unsigned>(allowance);
    }
    reader.readNumber(
        "processor_share", store.processorShare, {.least = MinProcessorShareCores, .most = MaxProcessorShareCores});
    readSeconds(
        reader, "retry_window_s", store.retryWindow, {.least = MinRetryWindowSeconds, .most = MaxRetryWindowSeconds});
    reader.readFlag("strict_revocation", store.strictRevocation);
    readSeconds(
        reader, "revocation_s", store.revocation, {.least = MinRevocationSeconds, .most = MaxRevocationSeconds});
    reader.readNumber("link_mbps", store.linkMbps, {.least = 0, .most = MaxLinkMbps});
    reader.readNumber("cap_slack", store.capSlack, {.least = 0, .most = MaxCapSlack});
    reader.finish();
    settings.store = store;
}

/// Reads a table that consists of an endpoint and a poll interval.
void readPolledService(TableReader &root, std::string_view table, Endpoint &endpoint, Duration &interval)
{
    auto reader = root.readTable(table, Presence::Required);
    reader.readEndpoint("endpoint", endpoint, Presence::Required);
    reader.readDuration("poll_interval", interval, {.least = MinPollInterval, .most = MaxPollInterval});
    reader.finish();
}

void readPeers(TableReader &root, AgentSettings &settings)
{
    auto reader = root.readTable("peers", Presence::Required);
    reader.readEndpoint("listen", settings.peerListen, Presence::Required);
    settings.peerPort = settings.peerListen.port;
    std::uint64_t port = 0;
    if (reader.readInteger("port", port, {.least = 1, .most = UINT16_MAX})) {
        settings.peerPort = static_cast<std::uint16_t>(port);
    }
    reader.finish();
}

void readOperator(TableReader &root, CtlSettings &settings)
{
    auto reader = root.readTable("operator");
    reader.readName("name", settings.operatorName);
    reader.readText("private_key_file", settings.privateKeyFile);
    const auto &name = settings.operatorName;
    if (!name.empty() && std::ranges::find(settings.operators, name, &Operator::name) == settings.operators.end()) {
        reader.report("name", "'" + name + "' is not in [[operators]]");
    }
    reader.finish();
}

} // namespace

EntrySettings parseEntrySettings(const std::string &toml)
{
    EntrySettings settings;
    internal::parseDocument(toml, [&settings](TableReader &root) {
        internal::readProcess(root, settings.process);
        auto callers = root.readTable("callers", Presence::Required);
        callers.readEndpoint("listen", settings.listen, Presence::Required);
        callers.finish();
        auto peers = root.readTable("peers", Presence::Required);
        peers.readEndpoint("listen", settings.peerListen, Presence::Required);
        peers.finish();
        if (root.has("store")) {
            readStore(root, settings);
        } else {
            auto agent = root.readTable("agent", Presence::Required);
            agent.readEndpoint("endpoint", settings.agent, Presence::Required);
            agent.finish();
        }
        readLimits(root, settings.limits);
        readShutdown(root, settings);
        internal::checkDistinctEndpoints(root,
                                         {{"callers.listen", settings.listen},
                                          {"peers.listen", settings.peerListen},
                                          {"agent.endpoint", settings.agent},
                                          {"process.admin", settings.process.admin}});
    });
    return settings;
}

AgentSettings parseAgentSettings(const std::string &toml)
{
    AgentSettings settings;
    internal::parseDocument(toml, [&settings](TableReader &root) {
        internal::readProcess(root, settings.process);
        readPeers(root, settings);
        auto entry = root.readTable("entry", Presence::Required);
        entry.readEndpoint("listen", settings.entryListen, Presence::Required);
        entry.finish();
        readPolledService(root, "log", settings.logService, settings.logPollInterval);
        readPolledService(root, "vm_list", settings.vmList, settings.vmListPollInterval);
        internal::readOperators(root, settings.operators);
        internal::checkDistinctEndpoints(root,
                                         {{"peers.listen", settings.peerListen},
                                          {"entry.listen", settings.entryListen},
                                          {"process.admin", settings.process.admin}});
    });
    return settings;
}

CtlSettings parseCtlSettings(const std::string &toml)
{
    CtlSettings settings;
    internal::parseDocument(toml, [&settings](TableReader &root) {
        internal::readOperators(root, settings.operators);
        readOperator(root, settings);
        auto log = root.readTable("log", Presence::Required);
        log.readEndpoint("endpoint", settings.logService, Presence::Required);
        log.finish();
        auto fleet = root.readTable("fleet");
        fleet.readEndpoints("agents", settings.agents);
        fleet.readEndpoints("entries", settings.entries);
        fleet.finish();
    });
    return settings;
}

} // namespace Verbenadock::Settings
