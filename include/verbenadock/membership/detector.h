#ifndef VERBENADOCK_MEMBERSHIP_DETECTOR_H
#define VERBENADOCK_MEMBERSHIP_DETECTOR_H

#include "verbenadock/base/time.h"
#include "verbenadock/membership/member.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Verbenadock::Membership {

struct DetectorSettings
{
    /// Members that each member sends heartbeats to.
    std::size_t neighbours = 4;
    /// Neighbours that are asked to check a silent member.
    std::size_t indirectProbes = 2;
    Duration heartbeatInterval = std::chrono::seconds(1);
    Duration ackTimeout = std::chrono::milliseconds(400);
    Duration indirectTimeout = std::chrono::milliseconds(600);
    /// From a suspicion to the verdict with one observer, and with three or more.
    Duration maxSuspicionTimeout = std::chrono::seconds(4);
    Duration minSuspicionTimeout = std::chrono::milliseconds(1500);
    /// Factor on the suspicion timeout while most of the own neighbours fail.
    unsigned selfSuspicionFactor = 4;
    /// A timer that is later than this means that the process was paused.
    Duration pauseThreshold = std::chrono::milliseconds(500);
    /// After a pause nobody is accused before another member was heard, at most for this time.
    Duration pauseGrace = std::chrono::seconds(30);
    /// Shortest time between two rounds of heartbeats outside the interval, which carry urgent news.
    Duration urgentInterval = std::chrono::milliseconds(200);
    /// One dead member is tried in each interval, so that parts of a healed network find each other.
    Duration deadProbeInterval = std::chrono::seconds(5);
    Duration deadRetention = std::chrono::minutes(10);
    std::size_t maxUpdatesPerMessage = 8;
    /// Times the logarithm of the number of members: how often a member passes on one update at most.
    std::size_t transmissionFactor = 2;

    auto operator<=>(const DetectorSettings &) const = default;
};

/// Finds out which members of the fleet are alive. It does no I/O and reads no clock.
///
/// Usage: pass on what happens and carry out the effects; call expire() at nextDeadline().
class Detector
{
public:
    Detector(DetectorSettings settings, Identity self, std::uint64_t incarnation, TimePoint now);
    ~Detector();
    Detector(Detector &&) noexcept;
    Detector &operator=(Detector &&) noexcept;

    /// The members that the VM list names now. It lags: nobody dies because the list does not name it, and nobody
    /// comes back because the list still does.
    Effects list(TimePoint now, const std::vector<Identity> &members);

    /// A member that introduced itself with Hello.
    Effects introduce(TimePoint now, const Identity &member, std::uint64_t incarnation);

    Effects receive(TimePoint now, const std::string &from, const Message &message);

    Effects expire(TimePoint now);

    TimePoint nextDeadline() const;

    /// The members that heartbeats are exchanged with, in either direction.
    std::vector<std::string> linked() const;

    /// All members that are not dead, this one included, in the order of their ids.
    std::vector<std::string> live() const;

    std::optional<Identity> identity(const std::string &id) const;

    /// The own incarnation; it rises when a suspicion is refuted.
    std::uint64_t incarnation() const;

    /// Whether most of the neighbours fail, so that the fault is probably here.
    bool suspectsItself() const;

    std::vector<MemberReport> report(TimePoint now) const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Verbenadock::Membership

#endif
