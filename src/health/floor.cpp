#include "floor.h"

#include <algorithm>
#include <cmath>

namespace Verbenadock::Health::Internal {

namespace {

// An ejected upstream gets no new samples. Without this margin it would swap with a held upstream at each sample of the
// latter.
constexpr double EjectedRankMargin = 0.25;

double rank(const Member &member)
{
    return member.badShare + (member.state == HealthState::Ejected ? EjectedRankMargin : 0);
}

bool ranksWorse(const Member *left, const Member *right)
{
    if (rank(*left) != rank(*right)) {
        return rank(*left) > rank(*right);
    }
    return left->id < right->id;
}

} // namespace

unsigned floorSlots(const std::vector<Member> &members, double floorPercent)
{
    unsigned total = 0;
    for (const Member &member : members) {
        total += member.slots;
    }
    return static_cast<unsigned>(std::ceil(total * floorPercent / 100));
}

unsigned slotsInUse(const std::vector<Member> &members)
{
    unsigned slots = 0;
    for (const Member &member : members) {
        slots += member.isInUse() ? member.slots : 0;
    }
    return slots;
}

void applyFloor(std::vector<Member> &members, double floorPercent)
{
    std::vector<Member *> unhealthy;
    unsigned capacity = 0;
    for (Member &member : members) {
        const bool isCandidate = member.isUnhealthy() && !member.leaving;
        if (isCandidate) {
            unhealthy.push_back(&member);
        }
        capacity += isCandidate || member.isInUse() ? member.slots : 0;
    }
    std::sort(unhealthy.begin(), unhealthy.end(), ranksWorse);

    const unsigned floor = floorSlots(members, floorPercent);
    for (Member *member : unhealthy) {
        const bool mayEject = capacity >= floor + member->slots;
        member->state = mayEject ? HealthState::Ejected : HealthState::HeldByFloor;
        capacity -= mayEject ? member->slots : 0;
    }
}

} // namespace Verbenadock::Health::Internal
