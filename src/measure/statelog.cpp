#include "statelog.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

namespace Verbenadock::Measure {

namespace {

// The entries of a fleet follow a verdict within this time.
constexpr auto SameEjection = std::chrono::seconds(5);
// The changes of one evaluation are logged one after the other; only the stages after the last one count.
constexpr auto SameEvaluation = std::chrono::milliseconds(10);
constexpr std::size_t SecondsLength = 19;
constexpr std::size_t MillisecondsLength = 3;

/// Reads a time such as 2026-12-04T06:07:52.123Z.
WallTime parseTime(const std::string &text)
{
    std::tm parts{};
    ::strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto milliseconds = std::atoi(text.substr(SecondsLength + 1, MillisecondsLength).c_str());
    return WallTime(std::chrono::seconds(::timegm(&parts)) + std::chrono::milliseconds(milliseconds));
}

std::string field(const std::string &line, const std::string &name)
{
    const auto start = line.find(' ' + name + '=');
    if (start == std::string::npos) {
        return {};
    }
    const auto value = start + name.size() + 2;
    return line.substr(value, line.find(' ', value) - value);
}

/// Upstreams of a service that an entry does not use, and since when these are the ones.
struct UseAtEntry
{
    std::set<std::string> out;
    WallTime since{};
};

bool isOut(const std::string &stage)
{
    return stage == "ejected" || stage == "trial";
}

} // namespace

WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
}

bool isSick(const std::string &stage)
{
    return stage == "ejected" || stage == "held-by-floor";
}

std::vector<StageChange> readStageChanges(const Test::Fleet &fleet)
{
    std::vector<StageChange> changes;
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        std::ifstream log(fleet.entryLog(vm));
        for (std::string line; std::getline(log, line);) {
            if (line.find(" upstream_state ") != std::string::npos) {
                changes.push_back({.at = parseTime(line),
                                   .vm = fleet.vms[vm].id,
                                   .upstream = field(line, "upstream"),
                                   .from = field(line, "from"),
                                   .to = field(line, "to"),
                                   .cause = field(line, "cause")});
            }
        }
    }
    std::stable_sort(changes.begin(), changes.end(), [](const auto &left, const auto &right) {
        return left.at < right.at;
    });
    return changes;
}

std::uint64_t countFalseEjections(const std::vector<StageChange> &changes, const Expectation &expected)
{
    std::map<std::string, WallTime> last;
    std::uint64_t count = 0;
    for (const auto &change : changes) {
        const bool wasUsed = !isSick(change.from) && change.from != "trial";
        if (!isSick(change.to) || !wasUsed || expected(change)) {
            continue;
        }
        std::cerr << "false ejection of " << change.upstream << " at " << change.vm << " from=" << change.from
                  << " to=" << change.to << " cause=" << change.cause << '\n';
        const auto [place, isNew] = last.try_emplace(change.upstream, change.at);
        count += isNew || change.at - place->second > SameEjection ? 1 : 0;
        place->second = change.at;
    }
    return count;
}

std::uint64_t countFalseRelapses(const std::vector<StageChange> &changes, const Expectation &expected)
{
    return static_cast<std::uint64_t>(std::count_if(changes.begin(), changes.end(), [&expected](const auto &change) {
        return change.from == "trial" && isSick(change.to) && !expected(change);
    }));
}

std::uint64_t countFloorViolations(const std::vector<StageChange> &changes,
                                   const Test::Fleet &fleet,
                                   double floorPercent)
{
    std::map<std::string, std::string> serviceOf;
    std::map<std::string, double> sizes;
    for (const auto &upstream : fleet.upstreams) {
        serviceOf[upstream.id] = upstream.service;
        ++sizes[upstream.service];
    }
    std::map<std::pair<std::string, std::string>, UseAtEntry> uses;
    std::uint64_t violations = 0;
    for (const auto &change : changes) {
        const auto &service = serviceOf[change.upstream];
        const double floor = std::ceil(sizes[service] * floorPercent / 100);
        auto &use = uses[{change.vm, service}];
        const bool below = sizes[service] - static_cast<double>(use.out.size()) < floor;
        if (below && change.at - use.since > SameEvaluation) {
            ++violations;
            std::cerr << "floor violation at " << change.vm << " in " << service << '\n';
        }
        use.since = change.at;
        if (isOut(change.to)) {
            use.out.insert(change.upstream);
        } else {
            use.out.erase(change.upstream);
        }
    }
    return violations;
}

} // namespace Verbenadock::Measure
