#include "faultschedule.h"
#include "promisesjudge.h"
#include "promisestraffic.h"
#include "runblocking.h"
#include "scenario.h"

#include <algorithm>
#include <thread>

namespace Verbenadock::Measure {

namespace {

constexpr Duration FaultLength = std::chrono::seconds(28);
constexpr Duration TrafficLength = std::chrono::seconds(46);
// Shorter than most faults, so that timeouts happen within the run.
constexpr auto Timeouts = "timeouts = { connect = \"250 ms\", first_byte = \"1 s\", total = \"3 s\" }";
constexpr auto UploadTimeouts = "timeouts = { connect = \"250 ms\", first_byte = \"1 s\", total = \"6 s\" }";
constexpr unsigned ServiceMs = 40;

Test::FleetSpec fleetSpec(const std::string &deployment)
{
    const bool moka = deployment == "moka";
    const unsigned slots = moka ? 2 : 4;
    return {.services
            = {{.name = moka ? "drawer-index" : "katalog", .upstreams = 8, .slots = slots, .extra = Timeouts},
               {.name = moka ? "transfer-ledger" : "vydej", .upstreams = 8, .slots = slots, .extra = Timeouts},
               {.name = moka ? "folio-store" : "snimky", .upstreams = 6, .slots = slots, .extra = UploadTimeouts}},
            .vms = 6,
            .behaviour = {{"slots", slots}, {"serviceMs", ServiceMs}},
            .faultProxy = true,
            .entryExtra = "[shutdown]\ndrain_delay = \"500 ms\"\n"};
}

TrafficPlan trafficPlan(const Test::Fleet &fleet, const Test::FleetSpec &spec, std::uint64_t seed)
{
    TrafficPlan plan{.entries = {},
                     .balancer = fleet.balancerListen(),
                     .searches = "/" + spec.services[0].name,
                     .claims = "/" + spec.services[1].name,
                     .uploads = "/" + spec.services[2].name,
                     .seed = seed,
                     .length = TrafficLength};
    for (const auto &vm : fleet.vms) {
        plan.entries.push_back(vm.entryListen());
    }
    return plan;
}

std::size_t failedStops(const std::vector<GracefulStop> &stops)
{
    return static_cast<std::size_t>(std::count_if(stops.begin(), stops.end(), [](const GracefulStop &stop) {
        return stop.exitStatus != 0;
    }));
}

} // namespace

Report measurePromises(const ScenarioOptions &options)
{
    const auto spec = fleetSpec(options.deployment);
    Test::Fleet fleet(options.programDirectory, spec);
    fleet.start();
    fleet.rollOut(1);

    Evidence evidence;
    // The fleet's processes end with the thread that started them, so that only the traffic gets a thread of its own.
    std::jthread traffic([&] {
        boost::asio::io_context context;
        evidence.calls = runBlocking(context, runTraffic(trafficPlan(fleet, spec, options.seed)));
    });
    FaultSchedule schedule(fleet, spec.services[1].name, options.seed);
    schedule.runFaults(FaultLength);
    schedule.restartEntries();
    traffic.join();

    evidence.executions = fleet.executions();
    evidence.departures = schedule.departures;
    evidence.stops = schedule.stops;
    Report report;
    report.add("seed", options.seed);
    report.add("faults", schedule.faults);
    judge(evidence, report);
    report.add("failed_shutdowns", failedStops(schedule.stops));
    return report;
}

} // namespace Verbenadock::Measure
