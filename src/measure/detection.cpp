#include "deployment.h"
#include "detectionfigures.h"
#include "runblocking.h"
#include "scenario.h"

#include <algorithm>
#include <thread>

namespace Verbenadock::Measure {

namespace {

constexpr unsigned Vms = 20;
constexpr double RequestsPerUpstream = 10;
constexpr Duration LoadLength = std::chrono::seconds(55);
constexpr double FloorPercent = 70;
// A request that failed during the fault may be recorded, and its verdict spread, this long after its end.
constexpr auto Aftermath = std::chrono::seconds(1);

bool isExpected(const StageChange &change, const std::vector<Episode> &episodes)
{
    return std::any_of(episodes.begin(), episodes.end(), [&change](const Episode &episode) {
        return episode.upstream == change.upstream && change.at >= episode.start && change.at < episode.end + Aftermath;
    });
}

} // namespace

Report measureDetection(const ScenarioOptions &options)
{
    const auto spec = deploymentSpec(options.deployment, Vms);
    Test::Fleet fleet(options.programDirectory, spec);
    fleet.start();
    fleet.rollOut(1);

    auto episodes = planEpisodes(spec, fleet, options.seed);
    auto plan = deploymentLoad(spec, fleet, RequestsPerUpstream);
    plan.length = LoadLength;
    plan.seed = options.seed;
    boost::asio::io_context context;
    std::vector<LoadResult> answers;
    {
        const std::jthread faults([&fleet, &episodes] {
            runEpisodes(fleet, episodes);
        });
        answers = runBlocking(context, runOpenLoop(std::move(plan)));
    }
    const auto executions = fleet.executions();
    const auto changes = readStageChanges(fleet);
    std::vector<EpisodeResult> results;
    results.reserve(episodes.size());
    for (const auto &episode : episodes) {
        results.push_back(judgeEpisode(episode, executions, changes, fleet));
    }

    Report report;
    report.add("vms", fleet.vms.size());
    report.add("requests", answers.size());
    report.add("answered", countOutcome(answers, LoadOutcome::Answered));
    addDetectionFigures(report, results);
    const auto expected = [&episodes](const StageChange &change) {
        return isExpected(change, episodes);
    };
    report.add("false_ejections", countFalseEjections(changes, expected));
    report.add("false_relapses", countFalseRelapses(changes, expected));
    report.add("floor_violations", countFloorViolations(changes, fleet, FloorPercent));
    return report;
}

} // namespace Verbenadock::Measure
