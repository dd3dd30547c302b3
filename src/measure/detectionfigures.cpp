#include "detectionfigures.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>
#include <optional>

namespace Verbenadock::Measure {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::array Kinds{FaultKind::Total,
                           FaultKind::Partial,
                           FaultKind::Slow,
                           FaultKind::Flapping,
                           FaultKind::Kind,
                           FaultKind::OneSided};

/// Executions of the VM at the upstream during the episode, in order of time.
std::vector<WallTime> workOf(const Test::FleetVm &vm, const Episode &episode, const Test::Json &executions)
{
    std::vector<WallTime> work;
    for (const auto &execution : executions) {
        const WallTime at(std::chrono::microseconds(execution["startedUs"].get<std::int64_t>()));
        const bool isMeant = execution["upstream"] == episode.upstream && at >= episode.start && at < episode.end;
        if (isMeant && execution["target"].get_ref<const std::string &>().find("vm=" + vm.id) != std::string::npos) {
            work.push_back(at);
        }
    }
    return work;
}

/// When the VM first judged the upstream sick in the episode.
std::optional<WallTime> ejectedAt(const Test::FleetVm &vm,
                                  const Episode &episode,
                                  const std::vector<StageChange> &changes)
{
    for (const auto &change : changes) {
        const bool isMeant = change.vm == vm.id && change.upstream == episode.upstream && change.at >= episode.start;
        if (isMeant && change.at < episode.end && isSick(change.to)) {
            return change.at;
        }
    }
    return std::nullopt;
}

std::optional<double> readmissionOf(const Test::FleetVm &vm,
                                    const Episode &episode,
                                    const std::vector<StageChange> &changes)
{
    for (const auto &change : changes) {
        const bool isMeant = change.vm == vm.id && change.upstream == episode.upstream && change.at >= episode.end;
        if (isMeant && (change.to == "ramp" || change.to == "healthy")) {
            return Milliseconds(change.at - episode.end).count();
        }
    }
    return std::nullopt;
}

std::uint64_t countHarmed(const Episode &episode, const Test::Json &executions)
{
    std::uint64_t harmed = 0;
    for (const auto &execution : executions) {
        const WallTime at(std::chrono::microseconds(execution["startedUs"].get<std::int64_t>()));
        const bool isMeant = execution["upstream"] == episode.upstream && at >= episode.start && at < episode.end;
        harmed += isMeant && (episode.kind == FaultKind::Slow || execution["outcome"] == "failed") ? 1 : 0;
    }
    return harmed;
}

void addFigures(Report &report, const std::string &prefix, const std::vector<EpisodeResult> &results)
{
    std::vector<double> detection;
    std::vector<double> harmed;
    std::vector<double> readmission;
    std::uint64_t missed = 0;
    for (const auto &result : results) {
        detection.push_back(result.detectionMs);
        harmed.push_back(static_cast<double>(result.harmed));
        missed += result.missed ? 1 : 0;
        readmission.insert(readmission.end(), result.readmissionMs.begin(), result.readmissionMs.end());
    }
    report.add(prefix + "episodes", results.size());
    report.add(prefix + "detection_p50_ms", quantile(detection, 0.5));
    report.add(prefix + "detection_p99_ms", quantile(detection, 0.99));
    report.add(prefix + "harmed_requests_p50", quantile(harmed, 0.5));
    report.add(prefix + "missed", missed);
    report.add(prefix + "readmission_p50_ms", quantile(readmission, 0.5));
}

} // namespace

EpisodeResult judgeEpisode(const Episode &episode,
                           const Test::Json &executions,
                           const std::vector<StageChange> &changes,
                           const Test::Fleet &fleet)
{
    EpisodeResult result{.kind = episode.kind, .harmed = countHarmed(episode, executions), .readmissionMs = {}};
    const auto half = episode.start + (episode.end - episode.start) / 2;
    for (const auto &vm : fleet.vms) {
        if (!episode.dataCentre.empty() && vm.dataCentre != episode.dataCentre) {
            continue;
        }
        const auto ejected = ejectedAt(vm, episode, changes);
        for (const auto &at : workOf(vm, episode, executions)) {
            if (!ejected || at < *ejected) {
                result.detectionMs = std::max(result.detectionMs, Milliseconds(at - episode.start).count());
                result.missed = result.missed || (!ejected && at > half);
            }
        }
        const auto readmission = ejected ? readmissionOf(vm, episode, changes) : std::nullopt;
        if (readmission) {
            result.readmissionMs.push_back(*readmission);
        }
    }
    std::cerr << toString(episode.kind) << ' ' << episode.upstream << ": detection_ms=" << result.detectionMs
              << " harmed=" << result.harmed << " missed=" << result.missed << '\n';
    return result;
}

void addDetectionFigures(Report &report, const std::vector<EpisodeResult> &results)
{
    addFigures(report, "", results);
    for (const auto kind : Kinds) {
        std::vector<EpisodeResult> selected;
        std::copy_if(results.begin(), results.end(), std::back_inserter(selected), [kind](const auto &result) {
            return result.kind == kind;
        });
        addFigures(report, toString(kind) + "_", selected);
    }
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

} // namespace Verbenadock::Measure
