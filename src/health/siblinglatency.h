#ifndef VERBENADOCK_HEALTH_SIBLINGLATENCY_H
#define VERBENADOCK_HEALTH_SIBLINGLATENCY_H

#include "member.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace Verbenadock::Health::Internal {

/// Median of the typical latencies of an upstream's siblings in use: the reference for slow samples.
///
/// The median is recomputed after a number of samples that is a quarter of the number of upstreams, so that the cost
/// per sample does not grow with that number.
class SiblingLatency
{
public:
    /// To be called when members join, leave or change their state.
    void invalidate();

    /// Lower median over the siblings of the member at the position; absent while no sibling has a typical latency.
    std::optional<Duration> reference(const std::vector<Member> &members, std::size_t position);

private:
    void compute(const std::vector<Member> &members);

    std::size_t samplesUntilCompute = 0;
    std::vector<std::pair<double, std::size_t>> sorted;
    /// Lower medians of the members in use, without a member of the lower half and without a member of the upper half.
    std::optional<Duration> medianWithoutLower;
    std::optional<Duration> medianWithoutUpper;
    std::optional<Duration> medianOfAll;
    enum class Half : unsigned char {
        None,
        Lower,
        Upper,
    };
    std::vector<Half> halves;
};

} // namespace Verbenadock::Health::Internal

#endif
