#ifndef VERBENADOCK_HEALTH_SIBLINGLATENCY_H
#define VERBENADOCK_HEALTH_SIBLINGLATENCY_H

#include "member.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace Verbenadock::Health::Internal {

/// Typical latency of the other upstreams in use, by which slowness is judged.
///
/// The median is computed anew once per quarter as many samples as there are upstreams, so that its cost per sample
/// does not grow with their number.
class SiblingLatency
{
public:
    /// To be called when members join, leave or change their stage.
    void invalidate();

    /// Lower median over the siblings of the member at the position; absent when none has a typical latency yet.
    std::optional<Duration> reference(const std::vector<Member> &members, std::size_t position);

private:
    void compute(const std::vector<Member> &members);

    std::size_t samplesLeft = 0;
    std::vector<std::pair<double, std::size_t>> sorted;
    /// Lower median of the members in use without one that lies at or below it, and without one that lies above it.
    std::optional<Duration> withoutLower;
    std::optional<Duration> withoutUpper;
    std::optional<Duration> ofAll;
    enum class Place : unsigned char {
        None,
        Lower,
        Upper,
    };
    std::vector<Place> places;
};

} // namespace Verbenadock::Health::Internal

#endif
