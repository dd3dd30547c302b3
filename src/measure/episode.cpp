#include "episode.h"

#include <algorithm>
#include <array>
#include <random>
#include <thread>

namespace Verbenadock::Measure {

namespace {

constexpr std::chrono::milliseconds FirstEpisode = std::chrono::seconds(4);
constexpr std::chrono::milliseconds LastEpisode = std::chrono::seconds(36);
// A service of six upstreams can lose one at a time, a larger one three.
constexpr std::chrono::milliseconds LongGap = std::chrono::seconds(16);
constexpr std::chrono::milliseconds ShortGap = std::chrono::seconds(5);
constexpr unsigned SmallService = 6;
constexpr int StartJitterMs = 1000;
constexpr std::array Kinds{FaultKind::Total,
                           FaultKind::Partial,
                           FaultKind::Slow,
                           FaultKind::Flapping,
                           FaultKind::Total,
                           FaultKind::OneSided,
                           FaultKind::Kind};

/// A moment at which a fault starts or ends.
struct Step
{
    std::chrono::milliseconds after;
    std::size_t episode;
    bool starts;
};

std::vector<Step> stepsOf(const std::vector<Episode> &episodes)
{
    std::vector<Step> steps;
    for (std::size_t index = 0; index < episodes.size(); ++index) {
        steps.push_back({.after = episodes[index].startAfter, .episode = index, .starts = true});
        steps.push_back({.after = episodes[index].startAfter + EpisodeLength, .episode = index, .starts = false});
    }
    std::sort(steps.begin(), steps.end(), [](const Step &left, const Step &right) {
        return left.after < right.after;
    });
    return steps;
}

} // namespace

std::string toString(FaultKind kind)
{
    switch (kind) {
    case FaultKind::Total:
        return "total";
    case FaultKind::Partial:
        return "partial";
    case FaultKind::Slow:
        return "slow";
    case FaultKind::Flapping:
        return "flapping";
    case FaultKind::Kind:
        return "kind";
    case FaultKind::OneSided:
        return "one_sided";
    }
    return "invalid";
}

Test::Json sickBehaviour(const Episode &episode)
{
    switch (episode.kind) {
    case FaultKind::Total:
        return {{"failRate", 1}};
    case FaultKind::Partial:
        return {{"failRate", 0.3}};
    case FaultKind::Slow:
        return {{"slowFactor", 3}};
    case FaultKind::Flapping:
        return {{"failRate", 1}, {"flapMs", 1000}};
    case FaultKind::Kind:
        return {{"failRate", 1}, {"onlyTargets", "kind=detail"}};
    case FaultKind::OneSided:
        return {{"failRate", 1}, {"onlyTargets", "dc=" + episode.dataCentre + "&"}};
    }
    return {};
}

Test::Json soundBehaviour()
{
    return {{"failRate", 0}, {"slowFactor", 1}, {"flapMs", 0}, {"onlyTargets", ""}};
}

std::vector<Episode> planEpisodes(const Test::FleetSpec &spec, const Test::Fleet &fleet, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<int> jitter(0, StartJitterMs);
    std::vector<Episode> episodes;
    for (const auto &service : spec.services) {
        std::vector<std::string> free;
        for (const auto &upstream : fleet.upstreams) {
            if (upstream.service == service.name) {
                free.push_back(upstream.id);
            }
        }
        std::shuffle(free.begin(), free.end(), random);
        const auto gap = service.upstreams <= SmallService ? LongGap : ShortGap;
        for (auto at = FirstEpisode; at <= LastEpisode && !free.empty(); at += gap) {
            episodes.push_back({.upstream = free.back(), .startAfter = at + std::chrono::milliseconds(jitter(random))});
            free.pop_back();
        }
    }
    std::sort(episodes.begin(), episodes.end(), [](const Episode &left, const Episode &right) {
        return left.startAfter < right.startAfter;
    });
    for (std::size_t index = 0; index < episodes.size(); ++index) {
        auto &episode = episodes[index];
        episode.kind = Kinds[(index + seed) % Kinds.size()];
        if (episode.kind == FaultKind::OneSided) {
            episode.dataCentre = spec.dataCentres[random() % spec.dataCentres.size()];
        }
    }
    return episodes;
}

void runEpisodes(Test::Fleet &fleet, std::vector<Episode> &episodes)
{
    const auto begin = std::chrono::steady_clock::now();
    for (const auto &step : stepsOf(episodes)) {
        std::this_thread::sleep_until(begin + step.after);
        auto &episode = episodes[step.episode];
        (step.starts ? episode.start : episode.end) = wallNow();
        fleet.setUpstreams(step.starts ? sickBehaviour(episode) : soundBehaviour(), {episode.upstream});
    }
}

} // namespace Verbenadock::Measure
