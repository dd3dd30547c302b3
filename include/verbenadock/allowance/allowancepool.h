#ifndef VERBENADOCK_ALLOWANCE_ALLOWANCEPOOL_H
#define VERBENADOCK_ALLOWANCE_ALLOWANCEPOOL_H

#include "verbenadock/allowance/cap.h"
#include "verbenadock/allowance/fleetsize.h"
#include "verbenadock/base/time.h"
#include "verbenadock/mesh/message.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Verbenadock::Allowance {

/// The tokens that one VM holds: one bucket per customer, fed by the parts of shares that other VMs lent to this VM as
/// a hub and by the part of its own share that it has not lent. A share is one of as many equal parts of a cap as there
/// are VMs.
///
/// Customers are of two kinds. A cap is large if the part of a share that a VM keeps holds at least one token, and
/// small otherwise; a VM lends all of its share of a small cap.
///
/// Usage: call configure(), setVms() and setOwnParts() on changes and handle() for messages of other VMs; take() tokens
/// for requests of this VM.
class AllowancePool
{
public:
    struct Answer
    {
        /// Zero for a refusal.
        std::uint64_t tokens = 0;
        /// Time until there is a token again; zero in a refusal without any part of the cap.
        Duration retryAfter{0};

        auto operator<=>(const Answer &) const = default;
    };

    explicit AllowancePool(std::string vm);

    /// `slack` is the number of requests that may run beyond all caps within the window in which they are judged.
    void configure(Caps newCaps, double slack, TimePoint now);

    /// Names of all registered VMs including this one; empty while they are unknown, so that this VM holds nothing.
    void setVms(const std::vector<std::string> &names, TimePoint now);

    /// Parts of the share of this VM that it has not lent. `credit` is as in Mesh::AllowanceLoan.
    void setOwnParts(const Mesh::AllowanceParts &parts, std::uint64_t credit, TimePoint now);

    void handle(const Mesh::AllowanceLoan &loan, TimePoint now);

    Mesh::AllowanceGrant handle(const Mesh::AllowanceRequest &request, TimePoint now);

    /// Takes up to `limit` tokens; with a limit of zero, only tells the time until there is one.
    Answer take(Mesh::CustomerNumber customer, std::uint64_t limit, TimePoint now);

    /// Records that a caller was refused, who is expected to return.
    void noteRefused(Mesh::CustomerNumber customer, TimePoint now);

    /// Puts an unused token back.
    void giveBack(Mesh::CustomerNumber customer, TimePoint now);

    bool isCapped(Mesh::CustomerNumber customer) const;
    bool hasCaps() const;
    /// Number of VMs by which caps are divided.
    std::size_t vmCount() const;
    /// Number of VMs that lent a part of their share.
    std::size_t lenderCount(TimePoint now) const;

private:
    struct Loan
    {
        std::uint64_t incarnation = 0;
        Mesh::AllowanceParts parts;
        TimePoint until;
    };

    /// The last loans of a VM for which initial tokens were added, and their largest parts.
    struct Credit
    {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        Mesh::AllowanceParts parts;
    };

    struct Bucket
    {
        Cap cap;
        double tokens = 0;
        TimePoint updatedAt;
        /// Refused requests for which tokens are due earlier than for the next one that is refused.
        double refused = 0;
        /// Fraction of all VMs up to this one in an order that depends on the customer.
        double position = 0;
    };

    struct Refill
    {
        double perSecond = 0;
        double capacity = 0;
    };

    /// Brings loans, buckets and the number of VMs up to date.
    void advance(TimePoint now);
    void settle(TimePoint now);
    void settle(Bucket &bucket, TimePoint now) const;
    void addUpParts();
    /// Adds the initial tokens for the parts, if they were not added before.
    void addCredit(const std::string &vm,
                   std::uint64_t incarnation,
                   std::uint64_t number,
                   const Mesh::AllowanceParts &parts);
    void addCredit(Bucket &bucket, double shares) const;
    /// Part of the cap that this VM holds.
    double partOf(const Bucket &bucket) const;
    Refill refillOf(const Bucket &bucket) const;
    bool isLarge(const Cap &cap) const;
    /// Tokens of all buckets of a customer in the fleet together.
    double totalCapacity(const Cap &cap) const;
    double positionOf(Mesh::CustomerNumber customer) const;
    std::uint64_t grantSize(const Cap &cap) const;

    std::string ownVm;
    double capSlack = 0;
    FleetSize fleetSize;
    std::vector<std::uint64_t> vmHashes;
    Mesh::AllowanceParts ownParts;
    /// By lending VM.
    std::map<std::string, Loan> loans;
    /// By VM; also of VMs whose loans have ended.
    std::map<std::string, Credit> credits;
    /// Earliest end of a loan.
    TimePoint nextLoanEnd = TimePoint::max();
    /// Own parts and loans together, in shares.
    double smallShares = 0;
    double largeShares = 0;
    std::map<Mesh::CustomerNumber, Bucket> buckets;
};

} // namespace Verbenadock::Allowance

#endif
