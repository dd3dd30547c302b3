#ifndef VERBENADOCK_MEASURE_EPISODE_H
#define VERBENADOCK_MEASURE_EPISODE_H

#include "statelog.h"

#include <optional>

namespace Verbenadock::Measure {

enum class FaultKind {
    /// Every request fails while probes pass.
    Total,
    /// Three requests in ten fail.
    Partial,
    /// Three times as slow.
    Slow,
    /// Every request fails by turns of a second.
    Flapping,
    /// Requests of one kind fail, a quarter of all.
    Kind,
    /// The requests of the VMs of one data centre fail.
    OneSided,
};

/// Prefix of the figures of a kind.
std::string toString(FaultKind kind);

/// One fault of one upstream.
struct Episode
{
    FaultKind kind = FaultKind::Total;
    std::string upstream;
    /// Data centre whose VMs are concerned; all when empty.
    std::string dataCentre;
    /// From the start of the load.
    std::chrono::milliseconds startAfter{0};
    WallTime start{};
    WallTime end{};

    auto operator<=>(const Episode &) const = default;
};

/// Behaviour of the upstream during the episode, and its reverse.
Test::Json sickBehaviour(const Episode &episode);
Test::Json soundBehaviour();

constexpr std::chrono::milliseconds EpisodeLength = std::chrono::seconds(8);

/// Episodes of all kinds in turn on different upstreams, in order of time, so few at once that no floor binds.
std::vector<Episode> planEpisodes(const Test::FleetSpec &spec, const Test::Fleet &fleet, std::uint64_t seed);

/// Carries the episodes out and fills in their times. Blocks until the last one has ended.
void runEpisodes(Test::Fleet &fleet, std::vector<Episode> &episodes);

} // namespace Verbenadock::Measure

#endif
