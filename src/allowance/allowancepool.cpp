#include "verbenadock/allowance/allowancepool.h"

#include "parts.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Verbenadock::Allowance {

namespace {

// Shorter than the time for which the lender counts the part as lent (LentTime), by the longest assumed delay of a
// datagram (1 s).
constexpr Duration LoanLifetime = std::chrono::milliseconds(1500);

/// Part of the slack that buckets may hold, and part with which they start. A process does not know how many tokens its
/// predecessor used, so the two parts add up when all processes restart. The rest covers VMs that count different
/// numbers of VMs for a moment.
constexpr double SlackShare = 0.45;
constexpr double InitialSlackShare = 0.45;
/// Requests at the rate of the cap with which buckets start in addition. The platform allows a tenth beyond rate and
/// burst within a window of 5 s, and 0.3 s of the rate are covered by the lifetime of granted tokens.
constexpr Duration InitialRateTime = std::chrono::milliseconds(200);

/// Fraction of TokenLifetime for which a grant lasts at the rate of the cap. With longer grants, a VM loses tokens that
/// it does not use in time.
constexpr double GrantShare = 0.25;
/// Most tokens of a grant. A VM keeps each of them in memory and serves far fewer requests before they expire.
constexpr double MaxGrant = 1000;

/// Longest time that refused callers are told. They have given up later, as a rule, and a customer far above its cap
/// would be told ever longer times.
constexpr Duration MaxRetryAfter = std::chrono::seconds(5);

constexpr double OneToken = 1;

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

AllowancePool::AllowancePool(std::string vm)
    : ownVm(std::move(vm))
{
}

void AllowancePool::configure(Caps newCaps, double slack, TimePoint now)
{
    this->advance(now);
    this->settle(now);
    // Without caps before, no loan was credited yet.
    const bool hadCaps = this->hasCaps();
    this->capSlack = slack;
    std::erase_if(this->buckets, [&newCaps](const auto &entry) {
        return !newCaps.contains(entry.first);
    });
    for (const auto &[customer, cap] : newCaps) {
        const auto [entry, isNew] = this->buckets.try_emplace(customer);
        entry->second.cap = cap;
        if (isNew) {
            entry->second.updatedAt = now;
            entry->second.position = this->positionOf(customer);
            if (hadCaps) {
                this->addCredit(entry->second, this->isLarge(cap) ? this->largeShares : this->smallShares);
            }
        }
    }
    this->settle(now);
}

void AllowancePool::setVms(const std::vector<std::string> &names, TimePoint now)
{
    this->advance(now);
    this->settle(now);
    this->fleetSize.set(names.size(), now);
    this->vmHashes.clear();
    for (const auto &name : names) {
        this->vmHashes.push_back(hashOf(name));
    }
    for (auto &[customer, bucket] : this->buckets) {
        bucket.position = this->positionOf(customer);
    }
    this->settle(now);
}

void AllowancePool::setOwnParts(const Mesh::AllowanceParts &parts, std::uint64_t credit, TimePoint now)
{
    this->advance(now);
    if (parts != this->ownParts) {
        this->settle(now);
        this->ownParts = parts;
        this->addUpParts();
        this->settle(now);
    }
    this->addCredit(this->ownVm, 0, credit, parts);
}

void AllowancePool::handle(const Mesh::AllowanceLoan &loan, TimePoint now)
{
    this->advance(now);
    if (loan.vm == this->ownVm) {
        return;
    }
    auto &known = this->loans[loan.vm];
    if (loan.incarnation < known.incarnation) {
        return;
    }
    const bool sameParts = known.parts == loan.parts;
    known = {.incarnation = loan.incarnation, .parts = loan.parts, .until = now + LoanLifetime};
    this->nextLoanEnd = std::min(this->nextLoanEnd, known.until);
    if (!sameParts) {
        this->settle(now);
        this->addUpParts();
        this->settle(now);
    }
    this->addCredit(loan.vm, loan.incarnation, loan.credit, loan.parts);
}

void AllowancePool::addCredit(const std::string &vm,
                              std::uint64_t incarnation,
                              std::uint64_t number,
                              const Mesh::AllowanceParts &parts)
{
    if (this->buckets.empty() || this->fleetSize.value() == 0 || number == 0) {
        return;
    }
    auto &last = this->credits[vm];
    if (std::pair(last.incarnation, last.number) > std::pair(incarnation, number)) {
        return;
    }
    if (std::pair(last.incarnation, last.number) != std::pair(incarnation, number)) {
        last = {.incarnation = incarnation, .number = number, .parts = {}};
    }
    // A loan may begin small, while an earlier one to another hub is still in force.
    const auto before = last.parts;
    last.parts = {.small = std::max(before.small, parts.small), .large = std::max(before.large, parts.large)};
    if (last.parts == before) {
        return;
    }
    for (auto &entry : this->buckets) {
        const bool large = this->isLarge(entry.second.cap);
        const auto added = large ? last.parts.large - before.large : last.parts.small - before.small;
        this->addCredit(entry.second, static_cast<double>(added) / Internal::WholeShare);
    }
}

void AllowancePool::addCredit(Bucket &bucket, double shares) const
{
    const auto refill = this->refillOf(bucket);
    const auto vms = static_cast<double>(this->fleetSize.value());
    if (refill.capacity > 0) {
        const double scale = refill.perSecond / (this->partOf(bucket) * bucket.cap.requestsPerSecond);
        const double initial
            = this->capSlack * InitialSlackShare + bucket.cap.requestsPerSecond * seconds(InitialRateTime);
        bucket.tokens = std::min(refill.capacity, bucket.tokens + shares / vms * initial * scale);
    }
}

Mesh::AllowanceGrant AllowancePool::handle(const Mesh::AllowanceRequest &request, TimePoint now)
{
    const auto found = this->buckets.find(request.customer);
    // A VM with a newer configuration may ask for a customer that this one does not know yet.
    const auto answer = found == this->buckets.end()
                            ? Answer{}
                            : this->take(request.customer, this->grantSize(found->second.cap), now);
    if (answer.tokens == 0) {
        this->noteRefused(request.customer, now);
    }
    return {.vm = this->ownVm,
            .number = request.number,
            .customer = request.customer,
            .tokens = answer.tokens,
            .retryAfter = answer.retryAfter};
}

AllowancePool::Answer AllowancePool::take(Mesh::CustomerNumber customer, std::uint64_t limit, TimePoint now)
{
    this->advance(now);
    const auto found = this->buckets.find(customer);
    if (found == this->buckets.end()) {
        return {};
    }
    auto &bucket = found->second;
    this->settle(bucket, now);
    const auto refill = this->refillOf(bucket);
    if (refill.capacity <= 0 || refill.perSecond <= 0) {
        return {};
    }
    if (bucket.tokens >= OneToken) {
        // Compared as numbers of any size, because a cap may exceed the range of integers.
        const auto tokens = static_cast<std::uint64_t>(std::min(static_cast<double>(limit), std::floor(bucket.tokens)));
        bucket.tokens -= static_cast<double>(tokens);
        return {.tokens = tokens, .retryAfter = Duration(0)};
    }
    const double due = (OneToken - bucket.tokens + bucket.refused) / refill.perSecond;
    const auto wait = std::min(due, seconds(MaxRetryAfter));
    return {.tokens = 0,
            .retryAfter = std::max(Duration(1), std::chrono::ceil<Duration>(std::chrono::duration<double>(wait)))};
}

void AllowancePool::noteRefused(Mesh::CustomerNumber customer, TimePoint now)
{
    this->advance(now);
    const auto found = this->buckets.find(customer);
    if (found == this->buckets.end()) {
        return;
    }
    // Each refused caller is told a later time, so that there is a token for each of them when they return. A request
    // is refused by all hubs, so each of them expects only its part.
    auto &bucket = found->second;
    this->settle(bucket, now);
    const auto refill = this->refillOf(bucket);
    if (bucket.cap.requestsPerSecond > 0) {
        bucket.refused = std::min(bucket.refused + refill.perSecond / bucket.cap.requestsPerSecond,
                                  refill.perSecond * seconds(MaxRetryAfter));
    }
}

void AllowancePool::giveBack(Mesh::CustomerNumber customer, TimePoint now)
{
    this->advance(now);
    const auto found = this->buckets.find(customer);
    if (found != this->buckets.end()) {
        found->second.tokens += OneToken;
        this->settle(found->second, now);
    }
}

bool AllowancePool::isCapped(Mesh::CustomerNumber customer) const
{
    return this->buckets.contains(customer);
}

bool AllowancePool::hasCaps() const
{
    return !this->buckets.empty();
}

std::size_t AllowancePool::vmCount() const
{
    return this->fleetSize.value();
}

std::size_t AllowancePool::lenderCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->loans, [now](const auto &entry) {
        return entry.second.until > now;
    }));
}

void AllowancePool::advance(TimePoint now)
{
    while (this->nextLoanEnd <= now) {
        this->settle(this->nextLoanEnd);
        std::erase_if(this->loans, [this](const auto &entry) {
            return entry.second.until <= this->nextLoanEnd;
        });
        this->addUpParts();
        this->settle(this->nextLoanEnd);
        this->nextLoanEnd = TimePoint::max();
        for (const auto &entry : this->loans) {
            this->nextLoanEnd = std::min(this->nextLoanEnd, entry.second.until);
        }
    }
    if (this->fleetSize.advance(now)) {
        this->settle(now);
    }
}

void AllowancePool::settle(TimePoint now)
{
    for (auto &entry : this->buckets) {
        this->settle(entry.second, now);
    }
}

void AllowancePool::settle(Bucket &bucket, TimePoint now) const
{
    const auto refill = this->refillOf(bucket);
    const double accrued = refill.perSecond * seconds(std::max(Duration(0), now - bucket.updatedAt));
    bucket.tokens = std::min(refill.capacity, bucket.tokens + accrued);
    bucket.refused = std::max(0.0, bucket.refused - accrued);
    bucket.updatedAt = std::max(bucket.updatedAt, now);
}

void AllowancePool::addUpParts()
{
    auto small = this->ownParts.small;
    auto large = this->ownParts.large;
    for (const auto &entry : this->loans) {
        small += entry.second.parts.small;
        large += entry.second.parts.large;
    }
    this->smallShares = static_cast<double>(small) / Internal::WholeShare;
    this->largeShares = static_cast<double>(large) / Internal::WholeShare;
}

double AllowancePool::partOf(const Bucket &bucket) const
{
    // More lenders than known VMs appear while VMs join.
    const double shares = this->isLarge(bucket.cap) ? this->largeShares : this->smallShares;
    return std::min(1.0, shares / static_cast<double>(this->fleetSize.value()));
}

AllowancePool::Refill AllowancePool::refillOf(const Bucket &bucket) const
{
    if (this->fleetSize.value() == 0) {
        return {};
    }
    const double part = this->partOf(bucket);
    const double capacity = part * this->totalCapacity(bucket.cap);
    const double perSecond = part * bucket.cap.requestsPerSecond;
    if (capacity >= OneToken || capacity <= 0) {
        return {.perSecond = perSecond, .capacity = capacity};
    }
    // A bucket for less than one token would never grant any. Instead, as many VMs hold a whole token as the capacities
    // of all add up to, at the rates of the VMs that hold none.
    return bucket.position <= capacity ? Refill{.perSecond = perSecond / capacity, .capacity = OneToken} : Refill{};
}

bool AllowancePool::isLarge(const Cap &cap) const
{
    const double keptPart = static_cast<double>(Internal::KeptLargePart) / Internal::WholeShare;
    return this->totalCapacity(cap) * keptPart >= static_cast<double>(this->fleetSize.value());
}

double AllowancePool::totalCapacity(const Cap &cap) const
{
    // A capacity below one token would refuse all requests.
    return std::max(OneToken, cap.burst + this->capSlack * SlackShare);
}

double AllowancePool::positionOf(Mesh::CustomerNumber customer) const
{
    // The rank instead of the hash itself, because the number of hashes below a bound varies from customer to customer.
    const auto orderOf = [customer](std::uint64_t vm) {
        return XXH3_64bits_withSeed(&vm, sizeof(vm), customer);
    };
    const auto own = orderOf(hashOf(this->ownVm));
    const auto preceding = std::ranges::count_if(this->vmHashes, [&](std::uint64_t vm) {
        return orderOf(vm) < own;
    });
    // Beyond 1 while the VMs are unknown, so that this VM holds no whole token then.
    return static_cast<double>(preceding + 1)
           / static_cast<double>(this->vmHashes.empty() ? 0.5 : static_cast<double>(this->vmHashes.size()));
}

std::uint64_t AllowancePool::grantSize(const Cap &cap) const
{
    const auto vms = static_cast<double>(std::max<std::size_t>(1, this->fleetSize.value()));
    const double used = cap.requestsPerSecond / vms * seconds(Internal::TokenLifetime) * GrantShare;
    return static_cast<std::uint64_t>(std::clamp(used, OneToken, MaxGrant));
}

} // namespace Verbenadock::Allowance
