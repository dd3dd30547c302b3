#include "siblinglatency.h"

#include <algorithm>
#include <cmath>

namespace Verbenadock::Health::Internal {

namespace {

constexpr std::size_t MembersPerComputation = 4;

Duration durationFromLog(double logMicroseconds)
{
    return Duration(static_cast<Duration::rep>(std::exp(logMicroseconds)));
}

} // namespace

void SiblingLatency::invalidate()
{
    this->samplesUntilCompute = 0;
}

std::optional<Duration> SiblingLatency::reference(const std::vector<Member> &members, std::size_t position)
{
    if (this->samplesUntilCompute == 0) {
        this->compute(members);
        this->samplesUntilCompute = members.size() / MembersPerComputation + 1;
    }
    --this->samplesUntilCompute;
    switch (this->halves[position]) {
    case Half::None:
        return this->medianOfAll;
    case Half::Lower:
        return this->medianWithoutLower;
    case Half::Upper:
        return this->medianWithoutUpper;
    }
    return std::nullopt;
}

void SiblingLatency::compute(const std::vector<Member> &members)
{
    this->halves.assign(members.size(), Half::None);
    this->sorted.clear();
    for (std::size_t position = 0; position < members.size(); ++position) {
        const auto latency = members[position].typicalLatency.logValue();
        if (members[position].isInUse() && latency) {
            this->sorted.emplace_back(*latency, position);
        }
    }
    this->medianWithoutLower = this->medianWithoutUpper = this->medianOfAll = std::nullopt;
    const std::size_t count = this->sorted.size();
    if (count < 2) {
        for (const auto &[latency, position] : this->sorted) {
            this->medianOfAll = durationFromLog(latency);
            this->halves[position] = Half::Lower;
        }
        return;
    }
    // The lower median, so that the faster of two siblings is the reference. Leaving out one member makes it the
    // element at `middle` or the next element.
    const std::size_t middle = (count - 2) / 2;
    const auto lower = this->sorted.begin() + static_cast<std::ptrdiff_t>(middle);
    std::nth_element(this->sorted.begin(), lower, this->sorted.end());
    const auto upper = std::min_element(lower + 1, this->sorted.end());
    this->medianWithoutUpper = durationFromLog(lower->first);
    this->medianWithoutLower = durationFromLog(upper->first);
    this->medianOfAll = count % 2 == 0 ? this->medianWithoutUpper : this->medianWithoutLower;
    for (auto item = this->sorted.begin(); item != this->sorted.end(); ++item) {
        this->halves[item->second] = item <= lower ? Half::Lower : Half::Upper;
    }
}

} // namespace Verbenadock::Health::Internal
