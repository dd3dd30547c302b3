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
    /// Number of members that each member sends heartbeats to.
    std::size_t neighbours = 4;
    /// Number of members that are asked to probe a member that did not acknowledge a heartbeat.
    std::size_t indirectProbes = 2;
    Duration heartbeatInterval = std::chrono::seconds(1);
    Duration ackTimeout = std::chrono::milliseconds(400);
    Duration indirectTimeout = std::chrono::milliseconds(600);
    /// Time from a suspicion to the dead state with one observer (max) and with three or more (min).
    Duration maxSuspicionTimeout = std::chrono::seconds(4);
    Duration minSuspicionTimeout = std::chrono::milliseconds(1500);
    /// Multiplier of the suspicion timeout while the majority of the own neighbours fail.
    unsigned selfSuspicionFactor = 4;
    /// Delay of a timer above which the process is considered to have been paused.
    Duration pauseThreshold = std::chrono::milliseconds(500);
    /// Longest time after a pause in which local timeouts suspect no member and declare none dead; the first message
    /// received ends this time.
    Duration pauseGrace = std::chrono::seconds(30);
    /// Shortest time between a round of heartbeats and an additional round that carries urgent updates.
    Duration urgentInterval = std::chrono::milliseconds(200);
    /// Interval in which one dead member is probed, so that the parts of a healed network find each other.
    Duration deadProbeInterval = std::chrono::seconds(5);
    Duration deadRetention = std::chrono::minutes(10);
    std::size_t maxUpdatesPerMessage = 8;
    /// Multiplied by the binary logarithm of the number of members: transmissions of one update by one member at most.
    std::size_t transmissionFactor = 2;

    auto operator<=>(const DetectorSettings &) const = default;
};

/// Gossip-based failure detector for the members of the fleet. The class does no I/O and reads no clock.
///
/// Usage: pass in every event, execute the returned effects, and call expire() at nextDeadline().
class Detector
{
public:
    Detector(DetectorSettings settings, Identity self, std::uint64_t incarnation, TimePoint now);
    ~Detector();
    Detector(Detector &&) noexcept;
    Detector &operator=(Detector &&) noexcept;

    /// Passes in the current VM list. The list lags behind, so a missing member is not declared dead and a dead
    /// member is not revived by its entry.
    Effects list(TimePoint now, const std::vector<Identity> &members);

    /// Passes in a member that introduced itself with Hello.
    Effects introduce(TimePoint now, const Identity &member, std::uint64_t incarnation);

    Effects receive(TimePoint now, const std::string &from, const Message &message);

    Effects expire(TimePoint now);

    TimePoint nextDeadline() const;

    /// Ids of the members that heartbeats are exchanged with, in either direction.
    std::vector<std::string> linked() const;

    /// Ids of all members that are not dead, including this one, in ascending order.
    std::vector<std::string> live() const;

    std::optional<Identity> identity(const std::string &id) const;

    /// The own incarnation, which rises when a suspicion is refuted.
    std::uint64_t incarnation() const;

    /// Returns true if the majority of the neighbours fail, so that the fault is probably local.
    bool suspectsItself() const;

    std::vector<MemberReport> report(TimePoint now) const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Verbenadock::Membership

#endif
