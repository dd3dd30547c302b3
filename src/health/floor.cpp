#include "floor.h"

#include <algorithm>
#include <cmath>

namespace Verbenadock::Health::Internal {

namespace {

// An ejected upstream gets no new samples. Without this margin it would change places with a held one at each sample.
constexpr double SwapMargin = 0.25;

double rank(const Member &member)
{
    return member.badness + (member.state == HealthState::Ejected ? SwapMargin : 0);
}

bool worse(const Member *left, const Member *right)
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
        slots += member.inUse() ? member.slots : 0;
    }
    return slots;
}

void applyFloor(std::vector<Member> &members, double floorPercent)
{
    std::vector<Member *> sick;
    unsigned capacity = 0;
    for (Member &member : members) {
        const bool candidate = member.sick() && !member.leaving;
        if (candidate) {
            sick.push_back(&member);
        }
        capacity += candidate || member.inUse() ? member.slots : 0;
    }
    std::sort(sick.begin(), sick.end(), worse);

    const unsigned floor = floorSlots(members, floorPercent);
    for (Member *member : sick) {
        const bool mayEject = capacity >= floor + member->slots;
        member->state = mayEject ? HealthState::Ejected : HealthState::HeldByFloor;
        capacity -= mayEject ? member->slots : 0;
    }
}

} // namespace Verbenadock::Health::Internal
