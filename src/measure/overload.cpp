#include "harness/fleet.h"
#include "load.h"
#include "runblocking.h"
#include "scenario.h"
#include "verbenadock/net/httpclient.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace Verbenadock::Measure {

namespace {

constexpr unsigned Upstreams = 4;
constexpr unsigned Slots = 4;
constexpr unsigned ServiceMs = 40;
constexpr double CapacityPerSecond = Upstreams * Slots * 1000.0 / ServiceMs;
constexpr Duration Deadline = std::chrono::seconds(1);
constexpr Duration StageLength = std::chrono::seconds(8);
constexpr Duration WarmUpLength = std::chrono::seconds(2);
constexpr std::array Factors = {0.5, 1.0, 1.5, 2.0, 3.0};

struct Stage
{
    double goodput = 0;
    double retriesPerRequest = 0;
    std::vector<LoadResult> results;
};

Test::FleetSpec fleetSpec()
{
    return {.services = {{.name = "katalog",
                          .upstreams = Upstreams,
                          .slots = Slots,
                          .extra = "timeouts = { connect = \"250 ms\", first_byte = \"1 s\", total = \"1 s\" }"}},
            .vms = 6,
            .behaviour = {{"slots", Slots}, {"serviceMs", ServiceMs}}};
}

/// Attempts of all entries since their start.
double attempts(const Test::Fleet &fleet)
{
    constexpr std::string_view Name = "verbenadock_attempts_total{";
    double sum = 0;
    for (const auto &vm : fleet.vms) {
        std::istringstream metrics(
            Net::fetchBlocking(vm.entryAdmin(), {.target = "/metrics"}, std::chrono::seconds(5)).body);
        for (std::string line; std::getline(metrics, line);) {
            sum += line.starts_with(Name) ? std::stod(line.substr(line.rfind(' '))) : 0;
        }
    }
    return sum;
}

LoadPlan loadPlan(const Test::Fleet &fleet, double factor, std::uint64_t seed, Duration length)
{
    return {.requestsPerSecond = factor * CapacityPerSecond,
            .length = length,
            .seed = seed,
            .request =
                [balancer = fleet.balancerListen()](std::uint64_t number) {
                    // Every other request is not idempotent.
                    return LoadRequest{.target = balancer,
                                       .method = number % 2 == 0 ? "GET" : "POST",
                                       .path = "/katalog/item?q=" + std::to_string(number)};
                },
            .onResult = nullptr};
}

Stage runStage(const Test::Fleet &fleet, boost::asio::io_context &context, double factor, std::uint64_t seed)
{
    const double before = attempts(fleet);
    Stage stage;
    const TimePoint end = monotonicNow() + StageLength;
    stage.results = runBlocking(context, runOpenLoop(loadPlan(fleet, factor, seed, StageLength)));
    const auto good = std::count_if(stage.results.begin(), stage.results.end(), [end](const LoadResult &result) {
        // What is answered after the stage belongs to none, so that queued requests do not count for the next second.
        return result.outcome == LoadOutcome::Answered && result.status == 200 && result.latency <= Deadline
               && result.due + result.latency <= end;
    });
    stage.goodput = static_cast<double>(good) / std::chrono::duration<double>(StageLength).count();
    // A request that is refused at once has no attempt, so that the figure can be below zero without retries.
    const auto tried = std::count_if(stage.results.begin(), stage.results.end(), [](const LoadResult &result) {
        return result.outcome != LoadOutcome::NotRun;
    });
    const double extra = attempts(fleet) - before - static_cast<double>(tried);
    stage.retriesPerRequest = std::max(0.0, extra) / static_cast<double>(stage.results.size());
    return stage;
}

std::string suffix(double factor)
{
    std::ostringstream text;
    text << "_at_" << factor;
    return text.str();
}

} // namespace

Report measureOverload(const ScenarioOptions &options)
{
    Test::Fleet fleet(options.programDirectory, fleetSpec());
    fleet.start();
    fleet.rollOut(1);
    boost::asio::io_context context;
    runBlocking(context, runOpenLoop(loadPlan(fleet, Factors[0], options.seed, WarmUpLength)));

    Report report;
    report.add("seed", options.seed);
    report.add("capacity_per_second", CapacityPerSecond);
    double peak = 0;
    double lowest = CapacityPerSecond;
    for (const double factor : Factors) {
        const Stage stage = runStage(fleet, context, factor, options.seed);
        peak = std::max(peak, stage.goodput);
        lowest = factor >= 1 ? std::min(lowest, stage.goodput) : lowest;
        report.add("goodput" + suffix(factor), stage.goodput);
        report.add("p99_ms" + suffix(factor), toMilliseconds(latencyQuantile(stage.results, 0.99)));
        report.add("unknown" + suffix(factor), countOutcome(stage.results, LoadOutcome::Unknown));
        report.add("broken" + suffix(factor), countOutcome(stage.results, LoadOutcome::Broken));
        report.add("retries_per_request" + suffix(factor), stage.retriesPerRequest);
    }
    report.add("goodput_min_ratio", peak > 0 ? lowest / peak : 0);
    return report;
}

} // namespace Verbenadock::Measure
