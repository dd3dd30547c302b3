#include "deployment.h"
#include "runblocking.h"
#include "scenario.h"
#include "statelog.h"

#include <array>
#include <csignal>
#include <iostream>
#include <random>
#include <thread>

namespace Verbenadock::Measure {

namespace {

constexpr unsigned Vms = 20;
constexpr double RequestsPerUpstream = 10;
constexpr Duration LoadLength = std::chrono::seconds(45);
constexpr auto FirstDisturbance = std::chrono::seconds(3);
constexpr auto DisturbanceGap = std::chrono::seconds(3);
constexpr auto DisturbanceLength = std::chrono::seconds(2);
constexpr unsigned Disturbances = 13;
// Six times the usual load: 60 % of an upstream with two slots, so that queues form, but not for good.
constexpr double SpikeRequestsPerUpstream = 60;
constexpr Duration SpikeLength = std::chrono::seconds(2);
constexpr double SecondsPerDay = 86400;

/// One kind of disturbance that leaves the upstreams sound.
struct Disturbance
{
    const char *name;
    void (*start)(Test::Fleet &fleet, const std::string &upstream, std::size_t vm);
    void (*end)(Test::Fleet &fleet, const std::string &upstream, std::size_t vm);
};

void coldStart(Test::Fleet &fleet, const std::string &upstream, std::size_t /*vm*/)
{
    fleet.setUpstreams({{"coldStartMs", 1500}, {"coldFactor", 3}}, {upstream});
    fleet.restartUpstreams({upstream});
}

void shed(Test::Fleet &fleet, const std::string &upstream, std::size_t /*vm*/)
{
    fleet.setUpstreams({{"shedRate", 0.5}}, {upstream});
}

void lie(Test::Fleet &fleet, const std::string &upstream, std::size_t /*vm*/)
{
    fleet.setUpstreams({{"healthAnswer", "down"}, {"loadAnswer", 9}}, {upstream});
}

void silence(Test::Fleet &fleet, const std::string &upstream, std::size_t /*vm*/)
{
    fleet.silenceRoutes({upstream});
}

void signalVm(Test::Fleet &fleet, std::size_t vm, int signal)
{
    fleet.vms[vm].entry->signal(signal);
    fleet.vms[vm].agent->signal(signal);
}

void pause(Test::Fleet &fleet, const std::string & /*upstream*/, std::size_t vm)
{
    signalVm(fleet, vm, SIGSTOP);
}

void resume(Test::Fleet &fleet, const std::string & /*upstream*/, std::size_t vm)
{
    signalVm(fleet, vm, SIGCONT);
}

void cutOneWay(Test::Fleet &fleet, const std::string & /*upstream*/, std::size_t vm)
{
    fleet.setRoutes({{"cutToTarget", true}}, {"agent-" + fleet.vms[vm].id});
    fleet.setRoutes({{"cutToClient", true}}, {"link-" + fleet.vms[vm].id});
}

void restore(Test::Fleet &fleet, const std::string &upstream, std::size_t vm)
{
    fleet.setUpstreams({{"shedRate", 0}, {"healthAnswer", "auto"}, {"loadAnswer", -1}}, {upstream});
    fleet.setRoutes({{"cutToTarget", false}, {"cutToClient", false}},
                    {"agent-" + fleet.vms[vm].id, "link-" + fleet.vms[vm].id});
}

constexpr std::array Kinds{Disturbance{"cold-start", coldStart, restore},
                           Disturbance{"shed", shed, restore},
                           Disturbance{"lying-endpoints", lie, restore},
                           Disturbance{"silent-connections", silence, restore},
                           Disturbance{"paused-vm", pause, resume},
                           Disturbance{"one-way-cut", cutOneWay, restore}};

void runDisturbances(Test::Fleet &fleet, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto begin = std::chrono::steady_clock::now() + FirstDisturbance;
    for (unsigned number = 0; number < Disturbances; ++number) {
        const auto &kind = Kinds[(number + seed) % Kinds.size()];
        const auto &upstream = fleet.upstreams[random() % fleet.upstreams.size()].id;
        const std::size_t vm = random() % fleet.vms.size();
        std::this_thread::sleep_until(begin + number * DisturbanceGap);
        std::cerr << kind.name << " at " << upstream << " and " << fleet.vms[vm].id << '\n';
        kind.start(fleet, upstream, vm);
        std::this_thread::sleep_until(begin + number * DisturbanceGap + DisturbanceLength);
        kind.end(fleet, upstream, vm);
    }
}

/// Steady load with a spike in the middle.
std::vector<LoadResult> runLoad(boost::asio::io_context &context,
                                const Test::FleetSpec &spec,
                                const Test::Fleet &fleet,
                                std::uint64_t seed)
{
    std::vector<LoadResult> all;
    const auto run = [&](double rate, Duration length) {
        auto plan = deploymentLoad(spec, fleet, rate);
        plan.length = length;
        plan.seed = seed;
        const auto results = runBlocking(context, runOpenLoop(std::move(plan)));
        all.insert(all.end(), results.begin(), results.end());
    };
    const auto steady = (LoadLength - 2 * SpikeLength) / 3;
    run(RequestsPerUpstream, steady);
    run(SpikeRequestsPerUpstream, SpikeLength);
    run(RequestsPerUpstream, steady);
    run(SpikeRequestsPerUpstream, SpikeLength);
    run(RequestsPerUpstream, steady);
    return all;
}

} // namespace

Report measureHealthy(const ScenarioOptions &options)
{
    auto spec = deploymentSpec(options.deployment, Vms);
    spec.faultProxy = true;
    Test::Fleet fleet(options.programDirectory, spec);
    fleet.start();
    fleet.rollOut(1);

    boost::asio::io_context context;
    std::vector<LoadResult> answers;
    const auto begin = wallNow();
    {
        const std::jthread disturbances([&fleet, &options] {
            runDisturbances(fleet, options.seed);
        });
        answers = runLoad(context, spec, fleet, options.seed);
    }
    const std::chrono::duration<double> length = wallNow() - begin;
    const auto falseEjections = countFalseEjections(readStageChanges(fleet), [](const StageChange &) {
        return false;
    });
    Report report;
    report.add("vms", fleet.vms.size());
    report.add("requests", answers.size());
    report.add("answered", countOutcome(answers, LoadOutcome::Answered));
    report.add("not_run", countOutcome(answers, LoadOutcome::NotRun));
    report.add("unknown", countOutcome(answers, LoadOutcome::Unknown));
    report.add("broken", countOutcome(answers, LoadOutcome::Broken));
    report.add("false_ejections", falseEjections);
    const double serverDays = static_cast<double>(fleet.upstreams.size()) * length.count() / SecondsPerDay;
    report.add("false_ejections_per_server_day", static_cast<double>(falseEjections) / serverDays);
    return report;
}

} // namespace Verbenadock::Measure
