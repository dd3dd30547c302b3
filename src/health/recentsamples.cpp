#include "recentsamples.h"

#include <algorithm>
#include <map>

namespace Verbenadock::Health::Internal {

namespace {

// Covers a run of 30 samples at each of 64 upstreams, at 24 bytes per sample.
constexpr std::size_t MaxSamples = 2048;

} // namespace

void RecentSamples::add(const RecentSample &sample)
{
    if (this->samples.size() == MaxSamples) {
        this->samples.pop_front();
    }
    this->samples.push_back(sample);
}

std::vector<Tally> RecentSamples::tallyByMember(std::uint32_t except, TimePoint since, SampleKind kind) const
{
    std::map<std::uint32_t, Tally> tallies;
    for (auto sample = this->samples.rbegin(); sample != this->samples.rend() && sample->at >= since; ++sample) {
        if (sample->member == except) {
            continue;
        }
        Tally &tally = tallies[sample->member];
        const bool bad = kind == SampleKind::Failed ? sample->failed : sample->slow;
        tally.bad += bad ? 1 : 0;
        tally.all += 1;
    }
    std::vector<Tally> result;
    result.reserve(tallies.size());
    for (const auto &[member, tally] : tallies) {
        result.push_back(tally);
    }
    return result;
}

Tally RecentSamples::siblingTally(std::uint32_t member, TimePoint since, SampleKind kind) const
{
    std::vector<Tally> tallies = this->tallyByMember(member, since, kind);
    std::sort(tallies.begin(), tallies.end(), [](const Tally &left, const Tally &right) {
        return left.rate() < right.rate();
    });
    tallies.resize((tallies.size() + 1) / 2);
    Tally sum;
    for (const Tally &tally : tallies) {
        sum.bad += tally.bad;
        sum.all += tally.all;
    }
    return sum;
}

} // namespace Verbenadock::Health::Internal
