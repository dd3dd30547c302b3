#include "harness/fleet.h"
#include "processusage.h"
#include "scenario.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <memory>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace Verbenadock::Measure {

namespace {

constexpr unsigned ServicesPerBundle = 10;
constexpr unsigned UpstreamsPerService = 20;
constexpr unsigned RoutesPerBundle = 300;
constexpr unsigned UpstreamsPerBundle = ServicesPerBundle * UpstreamsPerService;
constexpr unsigned FewVms = 4;
constexpr unsigned ManyVms = 24;
constexpr Duration SamplingTime = std::chrono::seconds(5);
constexpr Duration SettleLimit = std::chrono::seconds(30);
// News of the members that started rides on heartbeats for some seconds; it is not part of the steady cost.
constexpr Duration StartNewsTime = std::chrono::seconds(10);
constexpr double KilobyteBytes = 1024;
constexpr double MegabyteBytes = KilobyteBytes * 1024;

/// One team's bundle of the size that a team has at the target size.
std::string teamBundle(unsigned team, unsigned version)
{
    std::ostringstream toml;
    toml << "[bundle]\nname = \"team-" << team << "\"\nversion = " << version << "\n";
    for (unsigned service = 0; service < ServicesPerBundle; ++service) {
        const std::string name = "service-" + std::to_string(service);
        toml << "[services." << name << "]\n";
        for (unsigned upstream = 0; upstream < UpstreamsPerService; ++upstream) {
            toml << "[[services." << name << ".upstreams]]\nid = \"u-" << upstream << "\"\nendpoint = \"127.250."
                 << service << '.' << upstream + 1 << ":9000\"\ndata_centre = \"a\"\nslots = 4\n";
        }
    }
    for (unsigned route = 0; route < RoutesPerBundle; ++route) {
        toml << "[[routes]]\nhost = \"team-" << team << ".test\"\npath_prefix = \"/r" << route
             << "/\"\nservice = \"service-" << route % ServicesPerBundle << "\"\nidempotent = true\n";
    }
    return toml.str();
}

/// Proposes, signs off and rolls out one version of a team's bundle.
void rollOutTeam(Test::Fleet &fleet, unsigned team, unsigned version)
{
    const auto file = std::filesystem::temp_directory_path()
                      / ("verbenadock-team-" + std::to_string(getpid()) + "-" + std::to_string(team) + ".toml");
    Test::writeFile(file, teamBundle(team, version));
    const std::string name = "team-" + std::to_string(team);
    fleet.ctl("jana", {"propose", file.string()});
    fleet.ctl("petr", {"sign-off", name, std::to_string(version)});
    fleet.ctl("jana", {"roll-out", name, std::to_string(version)});
    std::filesystem::remove(file);
}

void waitForBundles(const Test::Fleet &fleet, std::size_t count)
{
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        Test::waitFor("the bundles at VM " + std::to_string(vm), SettleLimit, [&fleet, vm, count] {
            return fleet.entryDump(vm)["bundles"].size() == count;
        });
    }
}

/// Bytes that an agent sent to and received from its peers.
double peerBytes(const Test::FleetVm &vm)
{
    const auto text = Net::fetchBlocking(vm.agentAdmin(), {.target = "/metrics"}, std::chrono::seconds(5)).body;
    std::istringstream lines(text);
    double total = 0;
    for (std::string line; std::getline(lines, line);) {
        const bool isPeer
            = line.starts_with("verbenadock_stream_bytes_total") && line.find("\"peer\"") != std::string::npos;
        total += isPeer ? std::stod(line.substr(line.rfind(' '))) : 0;
    }
    return total;
}

/// Averages over the VMs.
struct ControlCost
{
    double agentCpuPercent = 0;
    double agentMegabytes = 0;
    double entryCpuPercent = 0;
    double entryMegabytes = 0;
    double peerBytesPerSecond = 0;

    auto operator<=>(const ControlCost &) const = default;
};

/// Totals of all VMs at one moment.
struct Totals
{
    std::chrono::duration<double> agentCpu{0};
    std::chrono::duration<double> entryCpu{0};
    double agentBytes = 0;
    double entryBytes = 0;
    double peerBytes = 0;
};

Totals readTotals(const Test::Fleet &fleet)
{
    Totals totals;
    for (const auto &vm : fleet.vms) {
        const auto agent = processUsage(vm.agent->id());
        const auto entry = processUsage(vm.entry->id());
        totals.agentCpu += agent.cpuTime;
        totals.entryCpu += entry.cpuTime;
        totals.agentBytes += static_cast<double>(agent.residentBytes);
        totals.entryBytes += static_cast<double>(entry.residentBytes);
        totals.peerBytes += peerBytes(vm);
    }
    return totals;
}

ControlCost sampleCost(const Test::Fleet &fleet)
{
    const auto start = monotonicNow();
    const Totals before = readTotals(fleet);
    std::this_thread::sleep_for(timeUntil(start + SamplingTime));
    const Totals after = readTotals(fleet);
    const double seconds = std::chrono::duration<double>(monotonicNow() - start).count();
    const auto vms = static_cast<double>(fleet.vms.size());
    return {.agentCpuPercent = 100 * (after.agentCpu - before.agentCpu).count() / seconds / vms,
            .agentMegabytes = after.agentBytes / MegabyteBytes / vms,
            .entryCpuPercent = 100 * (after.entryCpu - before.entryCpu).count() / seconds / vms,
            .entryMegabytes = after.entryBytes / MegabyteBytes / vms,
            .peerBytesPerSecond = (after.peerBytes - before.peerBytes) / seconds / vms};
}

void addCost(Report &report, const std::string &prefix, const ControlCost &cost)
{
    report.add(prefix + "_agent_cpu_percent", cost.agentCpuPercent);
    report.add(prefix + "_agent_rss_mb", cost.agentMegabytes);
    report.add(prefix + "_entry_cpu_percent", cost.entryCpuPercent);
    report.add(prefix + "_entry_rss_mb", cost.entryMegabytes);
    report.add(prefix + "_peer_bytes_per_s", cost.peerBytesPerSecond);
}

/// A fleet with one small bundle and no callers.
std::unique_ptr<Test::Fleet> startQuietFleet(const ScenarioOptions &options, unsigned vms)
{
    auto fleet = std::make_unique<Test::Fleet>(
        options.programDirectory, Test::FleetSpec{.services = {{.name = "katalog", .upstreams = 2}}, .vms = vms});
    fleet->start();
    fleet->rollOut(1);
    std::this_thread::sleep_for(StartNewsTime);
    return fleet;
}

struct Size
{
    const char *name;
    unsigned teams;
};

/// Rolls out the teams' bundles and samples the idle cost at each size; returns the costs in the order of the sizes.
std::vector<ControlCost> measureSizes(Test::Fleet &fleet, Report &report, const std::vector<Size> &sizes)
{
    std::vector<ControlCost> costs;
    unsigned teams = 0;
    for (const Size &size : sizes) {
        for (; teams < size.teams; ++teams) {
            rollOutTeam(fleet, teams, 1);
        }
        waitForBundles(fleet, teams + 1);
        costs.push_back(sampleCost(fleet));
        addCost(report, size.name, costs.back());
    }
    return costs;
}

/// Cost while one bundle after another changes.
void measureChanges(Test::Fleet &fleet, Report &report, const ControlCost &idle)
{
    double changes = 0;
    std::jthread operators([&fleet, &changes](const std::stop_token &stop) {
        for (unsigned version = 2; !stop.stop_requested(); ++version) {
            rollOutTeam(fleet, 0, version);
            ++changes;
        }
    });
    const ControlCost cost = sampleCost(fleet);
    operators.request_stop();
    operators.join();
    addCost(report, "changing", cost);
    const double rate = changes / std::chrono::duration<double>(SamplingTime).count();
    report.add("changes_per_s", rate);
    report.add("agent_cpu_ms_per_change", 10 * (cost.agentCpuPercent - idle.agentCpuPercent) / rate);
    report.add("entry_cpu_ms_per_change", 10 * (cost.entryCpuPercent - idle.entryCpuPercent) / rate);
    report.add("peer_bytes_per_change", (cost.peerBytesPerSecond - idle.peerBytesPerSecond) / rate);
}

void addSizeSlopes(Report &report, const ControlCost &small, const ControlCost &large, unsigned teams)
{
    const double upstreams = teams * UpstreamsPerBundle;
    report.add("agent_kb_per_upstream", (large.agentMegabytes - small.agentMegabytes) * KilobyteBytes / upstreams);
    report.add("entry_kb_per_upstream", (large.entryMegabytes - small.entryMegabytes) * KilobyteBytes / upstreams);
}

} // namespace

Report measureControl(const ScenarioOptions &options)
{
    Report report;
    auto fleet = startQuietFleet(options, FewVms);
    const ControlCost few = sampleCost(*fleet);
    addCost(report, "nodes_4", few);
    const std::vector<Size> sizes{{"upstreams_200", 1}, {"upstreams_2000", 10}, {"upstreams_8000", 40}};
    const auto costs = measureSizes(*fleet, report, sizes);
    addSizeSlopes(report, costs.front(), costs.back(), sizes.back().teams - sizes.front().teams);
    measureChanges(*fleet, report, costs.back());

    fleet.reset();
    fleet = startQuietFleet(options, ManyVms);
    const ControlCost many = sampleCost(*fleet);
    addCost(report, "nodes_24", many);
    const double nodes = ManyVms - FewVms;
    report.add("peer_bytes_per_s_per_node", (many.peerBytesPerSecond - few.peerBytesPerSecond) / nodes);
    report.add("agent_cpu_percent_per_node", (many.agentCpuPercent - few.agentCpuPercent) / nodes);
    return report;
}

} // namespace Verbenadock::Measure
