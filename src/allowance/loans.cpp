// Member functions of AllowanceClient that lend the share of the VM to hubs.
#include "parts.h"
#include "verbenadock/allowance/allowanceclient.h"

#include <algorithm>
#include <array>

namespace Verbenadock::Allowance {

namespace {

constexpr std::array<Mesh::AllowanceParts, 2> HubParts{Internal::FirstHubParts, Internal::SecondHubParts};

constexpr Duration LoanInterval = std::chrono::milliseconds(400);

/// Time for which a part counts as lent after the last message to its hub. Longer than the lifetime of the loan at the
/// hub by the longest assumed delay of a datagram (1 s).
constexpr Duration LentTime = std::chrono::milliseconds(2500);

/// Least time between two credits. Longer than the window in which caps are judged (5 s), so that the slack is given
/// out once within it.
constexpr Duration CreditInterval = std::chrono::seconds(6);

Mesh::AllowanceParts minimum(const Mesh::AllowanceParts &left, const Mesh::AllowanceParts &right)
{
    return {.small = std::min(left.small, right.small), .large = std::min(left.large, right.large)};
}

/// What is left of a whole share.
Mesh::AllowanceParts remainder(const Mesh::AllowanceParts &parts)
{
    return {.small = Internal::WholeShare - std::min(Internal::WholeShare, parts.small),
            .large = Internal::WholeShare - std::min(Internal::WholeShare, parts.large)};
}

} // namespace

void AllowanceClient::renewLoans(Update &update, TimePoint now)
{
    this->loansDueAt = now + LoanInterval;
    std::erase_if(this->hubStates, [this](const auto &entry) {
        return std::ranges::find(this->hubs.local, entry.first) == this->hubs.local.end()
               && std::ranges::find(this->hubs.remote, entry.first) == this->hubs.remote.end();
    });
    // A hub may be heard without hearing this VM; a loan to it would be lost.
    auto reachable = this->hubs.local;
    std::erase_if(reachable, [&](const std::string &hub) {
        const bool isUnknown = this->isStarting(now) && !this->hubStates[hub].hasAnswered;
        return hub != this->ownVm && (isUnknown || this->isSilent(hub, now));
    });
    if (reachable.empty() && this->isStarting(now)) {
        return;
    }
    reachable.resize(std::min(reachable.size(), HubParts.size()));
    if (this->credit == 0 || (reachable != this->creditedHubs && now - this->creditedAt >= CreditInterval)) {
        ++this->credit;
        this->creditedHubs = reachable;
        this->creditedAt = now;
    }
    for (std::size_t index = 0; index < reachable.size(); ++index) {
        if (reachable[index] != this->ownVm) {
            // Hubs that took over meanwhile get no initial tokens, since the others were given all.
            const bool isCredited = index < this->creditedHubs.size() && this->creditedHubs[index] == reachable[index];
            this->lendTo(reachable[index], HubParts.at(index), isCredited ? this->credit : 0, update, now);
        }
    }
    const bool isCredited = reachable == this->creditedHubs;
    const auto kept = now < this->keepsFrom ? Mesh::AllowanceParts{} : remainder(this->lentParts(now, {}));
    this->pool.setOwnParts(kept, isCredited ? this->credit : 0, now);
}

void AllowanceClient::lendTo(const std::string &hub,
                             const Mesh::AllowanceParts &wanted,
                             std::uint64_t creditNumber,
                             Update &update,
                             TimePoint now)
{
    auto lentToOthers = this->lentParts(now, hub);
    lentToOthers.large += Internal::KeptLargePart;
    const auto parts = minimum(wanted, remainder(lentToOthers));
    if (parts == Mesh::AllowanceParts{}) {
        return;
    }
    auto &loans = this->lent[hub];
    std::erase_if(loans, [&](const Loan &loan) {
        return loan.until <= now || loan.parts == parts;
    });
    loans.push_back({.parts = parts, .until = now + LentTime});
    update.messages.push_back(
        {.vm = hub,
         .message = Mesh::AllowanceLoan{
             .vm = this->ownVm, .incarnation = this->ownIncarnation, .parts = parts, .credit = creditNumber}});
}

Mesh::AllowanceParts AllowanceClient::lentParts(TimePoint now, const std::string &except) const
{
    Mesh::AllowanceParts sum;
    for (const auto &[hub, loans] : this->lent) {
        Mesh::AllowanceParts largest;
        for (const auto &loan : loans) {
            if (loan.until > now) {
                largest = {.small = std::max(largest.small, loan.parts.small),
                           .large = std::max(largest.large, loan.parts.large)};
            }
        }
        if (hub != except) {
            sum.small += largest.small;
            sum.large += largest.large;
        }
    }
    return sum;
}

} // namespace Verbenadock::Allowance
