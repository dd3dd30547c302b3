#include "evenload.h"

#include <algorithm>

namespace Verbenadock::Core::Internal {

namespace {

double load(const EvenCandidate &candidate)
{
    return candidate.requests / candidate.slots;
}

double weight(const EvenCandidate &candidate, double level)
{
    return std::max(0.0, level * candidate.slots - candidate.requests) * candidate.preference;
}

} // namespace

void EvenLoad::clear()
{
    this->candidates.clear();
}

void EvenLoad::add(const EvenCandidate &candidate)
{
    this->candidates.push_back(candidate);
}

bool EvenLoad::empty() const
{
    return this->candidates.empty();
}

double EvenLoad::meanLoad() const
{
    double slots = 0;
    double requests = 0;
    for (const auto &candidate : this->candidates) {
        slots += candidate.slots;
        requests += candidate.requests;
    }
    return slots > 0 ? requests / slots : 0;
}

double EvenLoad::level(double further)
{
    std::ranges::sort(this->candidates, {}, load);
    double slots = 0;
    double requests = 0;
    double level = 0;
    for (const auto &candidate : this->candidates) {
        if (slots > 0 && load(candidate) >= level) {
            break;
        }
        slots += candidate.slots;
        requests += candidate.requests;
        level = (requests + further) / slots;
    }
    return level;
}

std::uint32_t EvenLoad::choose(double level, double fraction) const
{
    double sum = 0;
    for (const auto &candidate : this->candidates) {
        sum += weight(candidate, level);
    }
    double position = fraction * sum;
    auto last = this->candidates.front().upstream;
    for (const auto &candidate : this->candidates) {
        const double own = weight(candidate, level);
        if (own <= 0) {
            continue;
        }
        last = candidate.upstream;
        position -= own;
        if (position < 0) {
            break;
        }
    }
    // Rounding can leave a position of zero behind the last candidate with room.
    return last;
}

} // namespace Verbenadock::Core::Internal
