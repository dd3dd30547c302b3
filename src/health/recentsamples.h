#ifndef VERBENADOCK_HEALTH_RECENTSAMPLES_H
#define VERBENADOCK_HEALTH_RECENTSAMPLES_H

#include "verbenadock/base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace Verbenadock::Health::Internal {

/// Sample of a service, reduced to the data for the comparison with siblings.
struct RecentSample
{
    TimePoint at;
    /// Identifies the upstream inside the detector.
    std::uint32_t member = 0;
    bool failed = false;
    bool slow = false;

    auto operator<=>(const RecentSample &) const = default;
};

/// Good and bad samples of one upstream.
struct Tally
{
    double bad = 0;
    double all = 0;

    double rate() const
    {
        return this->all > 0 ? this->bad / this->all : 0;
    }

    auto operator<=>(const Tally &) const = default;
};

enum class SampleKind {
    Failed,
    Slow,
};

/// The newest samples of all upstreams of a service, bounded in number.
class RecentSamples
{
public:
    void add(const RecentSample &sample);

    /// Sum over the better half of the siblings of the member, from `since` on.
    ///
    /// Only the better half counts, so that a minority of unhealthy siblings does not hide another unhealthy upstream;
    /// a failure shared by all upstreams still appears in the sum.
    Tally siblingTally(std::uint32_t member, TimePoint since, SampleKind kind) const;

private:
    std::vector<Tally> tallyByMember(std::uint32_t except, TimePoint since, SampleKind kind) const;

    std::deque<RecentSample> samples;
};

} // namespace Verbenadock::Health::Internal

#endif
