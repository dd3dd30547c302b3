#include "promisesjudge.h"

#include <algorithm>
#include <iostream>
#include <map>

namespace Verbenadock::Measure {

namespace {

using Runs = std::vector<const Test::Json *>;
using RunsByWork = std::map<std::string, Runs>;

struct Counts
{
    std::uint64_t claims = 0;
    std::uint64_t uploads = 0;
    std::uint64_t doubled = 0;
    std::uint64_t lost = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t claimsUnknown = 0;
    std::uint64_t unknownNeverRun = 0;
    std::uint64_t claimsBroken = 0;
    std::uint64_t incomplete = 0;
    std::uint64_t crossed = 0;
    std::uint64_t cutByShutdown = 0;
    std::uint64_t uploadsLost = 0;
    std::uint64_t uploadsUnknown = 0;
    std::uint64_t answered = 0;
};

RunsByWork groupByWork(const Test::Json &executions)
{
    RunsByWork runs;
    for (const auto &execution : executions) {
        runs[execution["workId"].get<std::string>()].push_back(&execution);
    }
    return runs;
}

std::string_view nameOf(LoadOutcome outcome)
{
    switch (outcome) {
    case LoadOutcome::Answered:
        return "answered";
    case LoadOutcome::NotRun:
        return "not-run";
    case LoadOutcome::Unknown:
        return "unknown";
    case LoadOutcome::Broken:
        break;
    }
    return "broken";
}

void show(const char *fault, const Call &call, const Runs &runs)
{
    std::cerr << fault << ": " << call.workId << ' ' << call.path << '\n';
    for (const CallTry &attempt : call.tries) {
        std::cerr << "  told " << nameOf(attempt.outcome) << ' ' << attempt.status << " by " << toString(attempt.target)
                  << " after " << toMilliseconds(attempt.endedAt - attempt.startedAt) << " ms"
                  << (attempt.connected ? "" : ", not connected") << '\n';
    }
    for (const Test::Json *run : runs) {
        std::cerr << "  run " << run->dump() << '\n';
    }
}

bool storedWhole(const Call &call, const Runs &runs)
{
    return std::any_of(runs.begin(), runs.end(), [&call](const Test::Json *run) {
        const auto outcome = (*run)["outcome"].get<std::string>();
        return (*run)["bytes"] == call.bodyBytes && (*run)["hash"] == call.bodyHash && outcome != "running"
               && outcome != "cancelled" && outcome != "hung";
    });
}

/// Adds one and shows the call when the condition holds.
void count(bool holds, std::uint64_t &counter, const char *fault, const Call &call, const Runs &runs)
{
    if (holds) {
        ++counter;
        show(fault, call, runs);
    }
}

void judgeUpload(const Call &call, const Runs &runs, Counts &counts)
{
    const CallTry &last = call.tries.back();
    ++counts.uploads;
    const bool told = last.outcome == LoadOutcome::Answered && last.status == 200;
    const bool refused = last.outcome == LoadOutcome::NotRun || !last.connected;
    count((told && !storedWhole(call, runs)) || refused, counts.uploadsLost, "upload lost", call, runs);
    counts.uploadsUnknown += !told && !refused ? 1 : 0;
}

void judgeClaim(const Call &call, const Runs &runs, Counts &counts)
{
    const CallTry &last = call.tries.back();
    ++counts.claims;
    count(last.outcome == LoadOutcome::Unknown, counts.claimsUnknown, "claim with unknown outcome", call, runs);
    counts.unknownNeverRun += last.outcome == LoadOutcome::Unknown && runs.empty() ? 1 : 0;
    counts.claimsBroken += last.outcome == LoadOutcome::Broken ? 1 : 0;
}

bool cutByShutdown(const CallTry &attempt, const Evidence &evidence)
{
    if (!attempt.connected || attempt.outcome != LoadOutcome::Broken) {
        return false;
    }
    return std::any_of(evidence.stops.begin(), evidence.stops.end(), [&](const GracefulStop &stop) {
        const bool isEntry = std::any_of(evidence.stops.begin(), evidence.stops.end(), [&](const GracefulStop &other) {
            return other.listen == attempt.target;
        });
        // What comes through the balancer may have been at any entry. Requests from before the first stop may still
        // suffer from the faults before it.
        const bool thisEntry = !isEntry || attempt.target == stop.listen;
        return thisEntry && attempt.startedAt >= evidence.stops.front().signalledAt - std::chrono::seconds(1)
               && attempt.startedAt <= stop.exitedAt && attempt.endedAt >= stop.signalledAt;
    });
}

void judgeCall(const Call &call, const Runs &runs, const Evidence &evidence, Counts &counts)
{
    const CallTry &last = call.tries.back();
    const bool toldNotRun = last.outcome == LoadOutcome::NotRun;
    counts.answered += last.outcome == LoadOutcome::Answered ? 1 : 0;
    count(call.kind != CallKind::Search && runs.size() > 1, counts.doubled, "doubled", call, runs);
    count(last.outcome == LoadOutcome::Answered && runs.empty(), counts.lost, "lost", call, runs);
    count(toldNotRun && !runs.empty(), counts.falseNotRun, "false not-run", call, runs);
    count(call.incomplete, counts.incomplete, "incomplete", call, runs);
    count(call.crossed, counts.crossed, "crossed", call, runs);
    const bool cut = std::any_of(call.tries.begin(), call.tries.end(), [&evidence](const CallTry &attempt) {
        return cutByShutdown(attempt, evidence);
    });
    count(cut, counts.cutByShutdown, "cut by shutdown", call, runs);
    if (call.kind == CallKind::Upload) {
        judgeUpload(call, runs, counts);
    } else if (call.kind == CallKind::Claim) {
        judgeClaim(call, runs, counts);
    }
}

double workAfterLeaveMs(const Evidence &evidence)
{
    constexpr double MicrosecondsPerMs = 1000;
    double latest = 0;
    for (const Departure &departure : evidence.departures) {
        double worst = 0;
        for (const auto &execution : evidence.executions) {
            if (execution["upstream"] == departure.upstream) {
                const auto since = execution["startedUs"].get<std::int64_t>() - departure.visibleUs;
                worst = std::max(worst, static_cast<double>(since) / MicrosecondsPerMs);
            }
        }
        std::cerr << departure.upstream << " got new work until " << worst << " ms after it was leaving\n";
        latest = std::max(latest, worst);
    }
    return latest;
}

} // namespace

void judge(const Evidence &evidence, Report &report)
{
    const RunsByWork runs = groupByWork(evidence.executions);
    Counts counts;
    for (const Call &call : evidence.calls) {
        const auto found = runs.find(call.workId);
        judgeCall(call, found == runs.end() ? Runs() : found->second, evidence, counts);
    }
    report.add("requests", evidence.calls.size());
    report.add("answered", counts.answered);
    report.add("claims", counts.claims);
    report.add("doubled", counts.doubled);
    report.add("lost", counts.lost);
    report.add("false_not_run", counts.falseNotRun);
    report.add("outcome_unknown", counts.claimsUnknown);
    const double claims = static_cast<double>(std::max<std::uint64_t>(counts.claims, 1));
    report.add("outcome_unknown_percent", 100 * static_cast<double>(counts.claimsUnknown) / claims);
    report.add("unknown_never_run", counts.unknownNeverRun);
    report.add("claims_broken", counts.claimsBroken);
    report.add("incomplete", counts.incomplete);
    report.add("crossed", counts.crossed);
    report.add("cut_by_shutdown", counts.cutByShutdown);
    report.add("work_after_leave_ms_max", workAfterLeaveMs(evidence));
    report.add("uploads", counts.uploads);
    report.add("uploads_lost", counts.uploadsLost);
    report.add("uploads_unknown", counts.uploadsUnknown);
}

} // namespace Verbenadock::Measure
