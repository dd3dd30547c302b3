#include "fairshare.h"

#include <algorithm>
#include <cmath>

namespace Verbenadock::Core::Internal {

namespace {

/// Time constant of the held work. An entry gets a request of a usual customer every few seconds, so that a shorter one
/// would compare single requests; with a longer one a customer would pay for a burst after it has ended.
constexpr Duration MemoryTime = std::chrono::seconds(5);
/// Keys of one service that are remembered, about 100 bytes each; the deployments have up to 82 customers.
constexpr std::size_t MaxAccounts = 1024;
/// Held work in seconds below which a key counts as absent.
constexpr double NegligibleWork = 0.001;
/// Share of the requests of a key that are started, relative to that of all, below which the key is neglected.
/// Customers must be served at least a quarter as often as all; the rest is a margin.
constexpr double NeglectedShare = 0.35;
/// Weight of the last request in the smoothed work of a key.
constexpr double WorkSmoothing = 0.2;

double decay(Duration elapsed)
{
    const double seconds = std::chrono::duration<double>(std::max(Duration(0), elapsed)).count();
    return std::exp(-seconds / std::chrono::duration<double>(MemoryTime).count());
}

/// FNV-1a, which gives the same value at all entries.
ShareKey hashOf(std::string_view text, ShareKey start)
{
    constexpr ShareKey Prime = 1099511628211U;
    for (const char letter : text) {
        start = (start ^ static_cast<unsigned char>(letter)) * Prime;
    }
    return start;
}

// Different start values keep a customer apart from a route of the same text.
constexpr ShareKey CustomerStart = 14695981039346656037U;
constexpr ShareKey RouteStart = CustomerStart ^ 1U;

} // namespace

ShareKey customerKey(std::string_view customer)
{
    return hashOf(customer, CustomerStart);
}

ShareKey routeKey(std::string_view host, std::string_view pathPrefix)
{
    // A path begins with a slash, which no host contains.
    return hashOf(pathPrefix, hashOf(host, RouteStart));
}

double FairShare::startedWork(const Account &account, TimePoint now)
{
    return account.held * decay(now - account.updatedAt);
}

double FairShare::heldAt(const Account &account, TimePoint now)
{
    return startedWork(account, now) + account.waiting;
}

FairShare::Account &FairShare::accountFor(ShareKey key, TimePoint now)
{
    if (!this->accounts.contains(key) && this->accounts.size() >= MaxAccounts) {
        this->evictLeast(now);
    }
    auto &account = this->accounts[key];
    const double remaining = decay(now - account.updatedAt);
    account.held *= remaining;
    account.offered *= remaining;
    account.started *= remaining;
    account.finishTag = this->virtualTime + std::max(0.0, account.finishTag - this->virtualTime) * remaining;
    account.updatedAt = now;
    return account;
}

void FairShare::evictLeast(TimePoint now)
{
    const auto least
        = std::min_element(this->accounts.begin(), this->accounts.end(), [now](const auto &first, const auto &second) {
              return heldAt(first.second, now) < heldAt(second.second, now);
          });
    this->accounts.erase(least);
}

void FairShare::noteOffered(ShareKey key, TimePoint now)
{
    this->accountFor(key, now).offered += 1;
}

double FairShare::charge(ShareKey key, double work, TimePoint now)
{
    auto &account = this->accountFor(key, now);
    const double startTag = account.finishTag;
    account.waiting += work;
    account.finishTag = startTag + work;
    return startTag;
}

void FairShare::start(ShareKey key, double work, TimePoint now)
{
    auto &account = this->accountFor(key, now);
    account.waiting = std::max(0.0, account.waiting - work);
    account.held += work;
    account.started += 1;
}

void FairShare::refund(ShareKey key, double work, bool wasStarted, TimePoint now)
{
    auto &account = this->accountFor(key, now);
    auto &charged = wasStarted ? account.held : account.waiting;
    charged = std::max(0.0, charged - work);
    account.finishTag = std::max(this->virtualTime, account.finishTag - work);
}

void FairShare::settle(ShareKey key, double estimated, double actual, TimePoint now)
{
    auto &account = this->accountFor(key, now);
    account.held = std::max(0.0, account.held + actual - estimated);
    account.finishTag = std::max(this->virtualTime, account.finishTag + actual - estimated);
    account.usualWork = account.usualWork ? *account.usualWork + WorkSmoothing * (actual - *account.usualWork) : actual;
}

void FairShare::advance(double startTag)
{
    this->virtualTime = std::max(this->virtualTime, startTag);
}

double FairShare::expectedWork(ShareKey key, double usual) const
{
    const auto found = this->accounts.find(key);
    return found == this->accounts.end() ? usual : found->second.usualWork.value_or(usual);
}

double FairShare::held(ShareKey key, TimePoint now) const
{
    const auto found = this->accounts.find(key);
    return found == this->accounts.end() ? 0 : heldAt(found->second, now);
}

double FairShare::equalShare(TimePoint now) const
{
    double sum = 0;
    std::size_t count = 0;
    for (const auto &[key, account] : this->accounts) {
        const double held = heldAt(account, now);
        sum += held;
        count += held > NegligibleWork ? 1 : 0;
    }
    return count == 0 ? 0 : sum / static_cast<double>(count);
}

double FairShare::ratioToOthers(ShareKey key, TimePoint now) const
{
    // The average of all would include the key itself, so that one of two keys never exceeded it by more than a factor
    // of two.
    double sum = 0;
    std::size_t count = 0;
    for (const auto &[other, account] : this->accounts) {
        const double held = other == key ? 0 : startedWork(account, now);
        sum += held;
        count += held > NegligibleWork ? 1 : 0;
    }
    const auto found = this->accounts.find(key);
    const double own = found == this->accounts.end() ? 0 : startedWork(found->second, now);
    return count == 0 ? 1 : own * static_cast<double>(count) / sum;
}

bool FairShare::isNeglected(ShareKey key, TimePoint now) const
{
    const auto found = this->accounts.find(key);
    if (found == this->accounts.end()) {
        return false;
    }
    double offered = 0;
    double started = 0;
    for (const auto &[other, account] : this->accounts) {
        const double remaining = decay(now - account.updatedAt);
        offered += account.offered * remaining;
        started += account.started * remaining;
    }
    return found->second.started * offered < NeglectedShare * started * found->second.offered;
}

bool FairShare::isAboveShare(ShareKey key, TimePoint now) const
{
    // The margin keeps a key that is alone, whose share is all of the work, from being above it because of rounding.
    return this->held(key, now) > this->equalShare(now) + NegligibleWork;
}

std::size_t FairShare::countAboveShare(TimePoint now) const
{
    const double limit = this->equalShare(now) + NegligibleWork;
    return static_cast<std::size_t>(
        std::count_if(this->accounts.begin(), this->accounts.end(), [limit, now](const auto &entry) {
            return heldAt(entry.second, now) > limit;
        }));
}

std::size_t FairShare::size() const
{
    return this->accounts.size();
}

} // namespace Verbenadock::Core::Internal
