#ifndef VERBENADOCK_MEASURE_FAULTSCHEDULE_H
#define VERBENADOCK_MEASURE_FAULTSCHEDULE_H

#include "harness/fleet.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Verbenadock::Measure {

/// An upstream that announced its drain or was listed as leaving, for the rest of the run.
struct Departure
{
    std::string upstream;
    /// When the announcement or the list entry became visible, in microseconds since 1970.
    std::int64_t visibleUs = 0;

    auto operator<=>(const Departure &) const = default;
};

/// A graceful stop of an entry.
struct GracefulStop
{
    Endpoint listen;
    TimePoint signalledAt;
    TimePoint exitedAt;
    int exitStatus = -1;

    auto operator<=>(const GracefulStop &) const = default;
};

/// Brings about the faults of the design page in a seeded order, two at a time, and a rolling restart of the entries.
/// Writes one line to standard error for each fault.
///
/// Usage: `FaultSchedule schedule(fleet, "vydej", seed); schedule.runFaults(length); schedule.restartEntries();`
class FaultSchedule
{
public:
    FaultSchedule(Test::Fleet &fleet, std::string claims, std::uint64_t seed);

    /// All kinds of faults for the time; ended ones are undone.
    void runFaults(Duration length);
    /// Stops and starts the entries one after the other, while faults go on that break no connection.
    void restartEntries();

    std::vector<Departure> departures;
    std::vector<GracefulStop> stops;
    std::size_t faults = 0;

private:
    using Undo = std::function<void()>;
    struct Kind
    {
        std::string name;
        /// May happen during the rolling restart.
        bool whileRestarting = false;
        std::function<Undo(std::string &target)> begin;
    };
    struct Lane
    {
        Undo undo = nullptr;
        TimePoint changeAt{};
    };

    void addProcessFaults();
    void addNetworkFaults();
    void addPlatformFaults();
    void addUpstreamFaults();
    void addDepartures();
    void addBehaviour(const std::string &name,
                      const Test::Json &change,
                      const Test::Json &normal,
                      bool whileRestarting);
    void addRoute(const std::string &name,
                  const std::string &prefix,
                  const std::string &fault,
                  const Test::Json &value);

    void advance(bool restarting);
    void begin(Lane &lane, bool restarting);
    void endAll();
    const Kind &nextKind(bool restarting);
    void waitWhileAdvancing(const std::function<bool()> &condition);
    void restartEntry(std::size_t vm);

    std::size_t below(std::size_t bound);
    std::string anyUpstream();
    std::string leavingUpstream();
    std::size_t anyVm();

    Test::Fleet &fleet;
    std::string claims;
    std::mt19937_64 random;
    TimePoint startedAt;
    std::vector<Kind> kinds;
    std::deque<std::size_t> deck;
    std::array<Lane, 2> lanes;
    std::set<std::string> departed;
    std::vector<std::string> listedAsLeaving;
    std::int64_t listLagMs = 0;
};

} // namespace Verbenadock::Measure

#endif
