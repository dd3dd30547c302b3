#include "siblinglatency.h"

#include <algorithm>
#include <cmath>

namespace Verbenadock::Health::Internal {

namespace {

constexpr std::size_t MembersPerSample = 4;

Duration fromLog(double logMicroseconds)
{
    return Duration(static_cast<Duration::rep>(std::exp(logMicroseconds)));
}

} // namespace

void SiblingLatency::invalidate()
{
    this->samplesLeft = 0;
}

std::optional<Duration> SiblingLatency::reference(const std::vector<Member> &members, std::size_t position)
{
    if (this->samplesLeft == 0) {
        this->compute(members);
        this->samplesLeft = members.size() / MembersPerSample + 1;
    }
    --this->samplesLeft;
    switch (this->places[position]) {
    case Place::None:
        return this->ofAll;
    case Place::Lower:
        return this->withoutLower;
    case Place::Upper:
        return this->withoutUpper;
    }
    return std::nullopt;
}

void SiblingLatency::compute(const std::vector<Member> &members)
{
    this->places.assign(members.size(), Place::None);
    this->sorted.clear();
    for (std::size_t position = 0; position < members.size(); ++position) {
        const auto latency = members[position].typicalLatency.logValue();
        if (members[position].inUse() && latency) {
            this->sorted.emplace_back(*latency, position);
        }
    }
    this->withoutLower = this->withoutUpper = this->ofAll = std::nullopt;
    const std::size_t count = this->sorted.size();
    if (count < 2) {
        for (const auto &[latency, position] : this->sorted) {
            this->ofAll = fromLog(latency);
            this->places[position] = Place::Lower;
        }
        return;
    }
    // The lower median: with two siblings, one of them slow, the faster one is the reference. Without one member, it is
    // the element at `middle` or the next one.
    const std::size_t middle = (count - 2) / 2;
    const auto lower = this->sorted.begin() + static_cast<std::ptrdiff_t>(middle);
    std::nth_element(this->sorted.begin(), lower, this->sorted.end());
    const auto upper = std::min_element(lower + 1, this->sorted.end());
    this->withoutUpper = fromLog(lower->first);
    this->withoutLower = fromLog(upper->first);
    this->ofAll = count % 2 == 0 ? this->withoutUpper : this->withoutLower;
    for (auto item = this->sorted.begin(); item != this->sorted.end(); ++item) {
        this->places[item->second] = item <= lower ? Place::Lower : Place::Upper;
    }
}

} // namespace Verbenadock::Health::Internal
