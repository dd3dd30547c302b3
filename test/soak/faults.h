#ifndef VERBENADOCK_SOAK_FAULTS_H
#define VERBENADOCK_SOAK_FAULTS_H

#include "harness/storefleet.h"
#include "soak/record.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Verbenadock::Soak {

/// Injects random faults from outside the processes, several at the same time, and undoes them.
///
/// Usage: step() at short intervals, then restore(); the run's disturbances, leavings and stops are then complete.
class Faults
{
public:
    Faults(Test::StoreFleet &served, std::uint64_t seed, std::atomic<std::uint64_t> &newest, RunRecord &record);

    /// Starts a fault now and then, and ends those whose time is over.
    void step();

    /// Ends all faults and waits until every entry is ready.
    void restore();

    /// Publishes the next version of the configuration.
    void configure();

private:
    struct Pending
    {
        TimePoint at;
        std::function<void()> undo;
    };

    void start();
    /// Lets upstreams announce something in their answers.
    void announce();
    void announceLeaving(const Test::FleetUpstream &upstream, bool alsoInStore);
    void askForPause(const std::vector<std::string> &ids, double seconds);
    bool isBusy(std::size_t vm) const;
    /// Records the disturbance, brings it about with `act`, and takes it back after its length.
    void disturb(const std::string &subject,
                 const std::string &kind,
                 Duration length,
                 const std::function<void()> &act,
                 std::function<void()> undo);
    void kill(std::size_t vm);
    void pause(std::size_t vm);
    void stop(std::size_t vm);
    void cutUpstream(const Test::FleetUpstream &upstream);
    void cutStore(std::size_t vm);
    void sickenUpstream(const Test::FleetUpstream &upstream);
    void leave(const Test::FleetUpstream &upstream);
    void breakStore();
    /// Has the store return from a copy that is some seconds old, or takes the copy for it.
    void drillStore();

    std::size_t pick(std::size_t count);
    Duration length();

    Test::StoreFleet &fleet;
    std::atomic<std::uint64_t> &newestVersion;
    RunRecord &run;
    std::mt19937_64 random;
    std::mt19937_64 announcementRandom;
    std::mt19937_64 drillRandom;
    TimePoint nextStart{};
    TimePoint nextAnnouncement{};
    TimePoint nextDrillStep{};
    bool hasCopy = false;
    std::vector<Pending> pending;
    /// Subjects with a fault under way.
    std::map<std::string, int> busy;
    /// Starts of the process of an upstream; the fleet registers the first one.
    std::map<std::string, unsigned> lifetimes;
};

} // namespace Verbenadock::Soak

#endif
