#ifndef VERBENADOCK_MEASURE_BUNDLEWATCH_H
#define VERBENADOCK_MEASURE_BUNDLEWATCH_H

#include "harness/fleet.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace Verbenadock::Measure {

/// Asks every agent of a fleet again and again what is in force, in a thread of its own.
///
/// Usage: construct it once the fleet has started; approve() each version that was signed off.
class BundleWatch
{
public:
    explicit BundleWatch(const Test::Fleet &watched);
    ~BundleWatch();
    BundleWatch(const BundleWatch &) = delete;
    BundleWatch &operator=(const BundleWatch &) = delete;

    void approve(const std::string &digest);

    /// The VMs whose agent has this version or a newer one.
    std::size_t reached(std::uint64_t version) const;
    /// When the agent of each VM first had this version or a newer one.
    std::vector<std::optional<TimePoint>> firstSeen(std::uint64_t version) const;
    /// The VMs whose agent has exactly this content in force now.
    std::size_t holding(const std::string &digest) const;

    /// Times that an agent was seen with an older version than before.
    std::size_t reverts() const;
    /// Versions that were in force with different contents.
    std::size_t diverged() const;
    /// Contents in force that nobody had signed off.
    std::size_t unapproved() const;
    std::uint64_t appendsPerSecondMax() const;

private:
    struct Seen
    {
        std::uint64_t version = 0;
        std::string digest;
        std::map<std::uint64_t, TimePoint> first;
    };

    void run();
    void note(std::size_t vm, const std::string &dump);
    void noteAppends();

    const Test::Fleet &fleet;
    mutable std::mutex mutex;
    std::vector<Seen> seen;
    std::map<std::uint64_t, std::set<std::string>> contents;
    std::set<std::string> approved;
    std::size_t revertCount = 0;
    std::vector<std::pair<TimePoint, std::uint64_t>> appends;
    std::atomic<bool> stopped = false;
    std::thread thread;
};

} // namespace Verbenadock::Measure

#endif
