#ifndef VERBENADOCK_HEALTH_RECENTSAMPLES_H
#define VERBENADOCK_HEALTH_RECENTSAMPLES_H

#include "verbenadock/base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace Verbenadock::Health::Internal {

/// One sample of a service, reduced to what the comparison with siblings needs.
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

    /// The better half of the siblings of the member since the time, added up.
    ///
    /// Only the better half counts, so that a minority of sick siblings does not hide another sick upstream, while a
    /// failure that all upstreams share shows in it.
    Tally siblings(std::uint32_t member, TimePoint since, SampleKind kind) const;

private:
    std::vector<Tally> tallyByMember(std::uint32_t except, TimePoint since, SampleKind kind) const;

    std::deque<RecentSample> samples;
};

} // namespace Verbenadock::Health::Internal

#endif
