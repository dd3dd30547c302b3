#include "harness/fleet.h"
#include "harness/fleetsettings.h"
#include "load.h"
#include "processusage.h"
#include "runblocking.h"
#include "scenario.h"

#include <chrono>

namespace Verbenadock::Measure {

namespace {

constexpr double RequestsPerSecond = 300;
constexpr Duration LoadLength = std::chrono::seconds(20);
constexpr Duration WarmUpLength = std::chrono::seconds(2);
constexpr unsigned SaturatingConnections = 64;
constexpr Duration SaturationLength = std::chrono::seconds(5);
// More slots than requests in flight, so that the entry and not the upstreams is measured.
constexpr unsigned Slots = 64;

Test::FleetSpec oneVm()
{
    return {.services = {{.name = "katalog", .upstreams = 4, .slots = Slots}},
            .vms = 1,
            .behaviour = {{"slots", Slots}, {"serviceMs", 0}}};
}

/// Half of the requests go through the entry and half to the upstreams directly, in turns, so that both meet the same
/// state of the machine.
LoadPlan pairedLoad(const Test::Fleet &fleet, std::uint64_t seed, Duration length)
{
    const Endpoint entry = fleet.vms.front().entryListen();
    std::vector<Endpoint> upstreams;
    for (const auto &upstream : fleet.upstreams) {
        upstreams.push_back({upstream.address, Test::Ports::Upstream});
    }
    return {.requestsPerSecond = 2 * RequestsPerSecond,
            .length = length,
            .seed = seed,
            .request =
                [entry, upstreams](std::uint64_t number) {
                    const bool direct = number % 2 == 0;
                    const Endpoint target = direct ? upstreams[number / 2 % upstreams.size()] : entry;
                    return LoadRequest{.target = target, .path = "/katalog/item"};
                },
            .onResult = nullptr};
}

std::vector<LoadResult> selectParity(const std::vector<LoadResult> &results, std::uint64_t parity)
{
    std::vector<LoadResult> selected;
    for (const LoadResult &result : results) {
        if (result.number % 2 == parity) {
            selected.push_back(result);
        }
    }
    return selected;
}

double requestsPerCoreSecond(Test::Fleet &fleet, boost::asio::io_context &context)
{
    const auto entry = fleet.vms.front().entry->id();
    const auto before = processUsage(entry).cpuTime;
    const LoadRequest request{.target = fleet.vms.front().entryListen(), .path = "/katalog/item"};
    const auto answers = runBlocking(
        context, runSaturation({.connections = SaturatingConnections, .length = SaturationLength, .request = request}));
    const std::chrono::duration<double> used = processUsage(entry).cpuTime - before;
    return used.count() > 0 ? static_cast<double>(answers) / used.count() : 0;
}

} // namespace

Report measurePath(const ScenarioOptions &options)
{
    Test::Fleet fleet(options.programDirectory, oneVm());
    fleet.start();
    fleet.rollOut(1);

    boost::asio::io_context context;
    runBlocking(context, runOpenLoop(pairedLoad(fleet, options.seed, WarmUpLength)));
    const auto results = runBlocking(context, runOpenLoop(pairedLoad(fleet, options.seed, LoadLength)));
    const auto direct = selectParity(results, 0);
    const auto through = selectParity(results, 1);

    const double directP99 = toMilliseconds(latencyQuantile(direct, 0.99));
    const double throughP99 = toMilliseconds(latencyQuantile(through, 0.99));
    Report report;
    report.add("requests", through.size());
    report.add("answered", countOutcome(through, LoadOutcome::Answered));
    report.add("direct_p50_ms", toMilliseconds(latencyQuantile(direct, 0.5)));
    report.add("through_p50_ms", toMilliseconds(latencyQuantile(through, 0.5)));
    report.add("direct_p99_ms", directP99);
    report.add("through_p99_ms", throughP99);
    report.add("added_p99_ms", throughP99 - directP99);
    report.add("requests_per_core_second", requestsPerCoreSecond(fleet, context));
    return report;
}

} // namespace Verbenadock::Measure
