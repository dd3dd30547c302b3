// Member functions of Engine that check the keys of customers.
#include "engine.h"

#include <algorithm>
#include <utility>

namespace Verbenadock::Core::Internal {

namespace {

/// Time after a confirmation for which the configuration counts as the newest one. Readers of the store get an answer
/// every second, or every 1.4 s while records arrive.
constexpr Duration ConfirmationLifetime = std::chrono::milliseconds(1500);

bool haveSameName(const std::shared_ptr<const Bundles::Customer> &left,
                  const std::shared_ptr<const Bundles::Customer> &right)
{
    return left == right || (left && right && left->name == right->name);
}

} // namespace

void Engine::on(const ConfigurationConfirmed &event)
{
    this->confirmedAt = event.at;
    this->isSuperseded = false;
}

void Engine::on(const ConfigurationSuperseded &event)
{
    this->isSuperseded = event.superseded;
}

bool Engine::hasNewestConfiguration(TimePoint at) const
{
    return !this->isSuperseded && this->confirmedWithin(ConfirmationLifetime, at);
}

bool Engine::confirmedWithin(Duration limit, TimePoint at) const
{
    return this->confirmedAt && at - *this->confirmedAt <= limit;
}

CustomerAccess Engine::accessOf(const std::string &bundle,
                                const std::optional<Bundles::KeyDigest> &key,
                                bool isPublic,
                                TimePoint at) const
{
    const auto table = this->customers.find(bundle);
    if (table == this->customers.end()) {
        return {};
    }
    CustomerAccess access{.hidesCredentials = true};
    if (key) {
        access.customer = table->second.find(*key);
    }
    if (isPublic) {
        return access;
    }
    const auto &revocation = this->settings.revocation;
    if (revocation && !this->confirmedWithin(*revocation, at)) {
        access.refusal = RejectionReason::ConfigurationOutdated;
    } else if (!access.customer) {
        // A newer configuration may contain the key.
        access.refusal
            = this->hasNewestConfiguration(at) ? RejectionReason::UnknownKey : RejectionReason::ConfigurationOutdated;
    }
    return access;
}

CustomerAccess Engine::accessOf(const Request &request, TimePoint at) const
{
    return this->accessOf(this->serviceOf(request).bundle, request.key, request.isPublic, at);
}

bool Engine::hasCurrentCredentials(const Request &request, const Attempt &attempt, TimePoint at) const
{
    const auto access = this->accessOf(request, at);
    return !access.refusal && access.hidesCredentials == attempt.hidesCredentials
           && haveSameName(access.customer, attempt.customer);
}

bool Engine::admitCustomer(const RequestArrived &event, const RouteTarget &target)
{
    const auto &bundle = this->configuration->bundles[target.bundle].name;
    const auto access = this->accessOf(bundle, event.key, target.isPublic, this->now);
    if (!access.refusal) {
        return true;
    }
    const bool isUnknown = *access.refusal == RejectionReason::UnknownKey;
    this->reject(event.request,
                 isUnknown ? Unauthorized : ServiceUnavailable,
                 *access.refusal,
                 isUnknown ? Duration(0) : this->retryAfter(event.timeLeft));
    return false;
}

void Engine::setCustomer(Request &request, const RequestArrived &event, const RouteTarget &target)
{
    request.key = event.key;
    request.isPublic = target.isPublic;
    const auto access = this->accessOf(request, this->now);
    request.customer = access.customer;
    if (access.customer) {
        request.priority = access.customer->priority.value_or(request.priority);
    }
}

std::optional<RejectionReason> Engine::renewCustomer(Request &request)
{
    const auto access = this->accessOf(request, this->now);
    if (access.refusal) {
        return access.refusal;
    }
    const bool moved = request.customer && access.customer && !haveSameName(request.customer, access.customer);
    if (moved && !request.isPublic && request.sentAttempts() > 0) {
        // An upstream knows the request as one of the former customer. Where no attempt ran, the caller may send it
        // again with its key, which is valid.
        return request.mayHaveRun() ? RejectionReason::UnknownKey : RejectionReason::ConfigurationOutdated;
    }
    request.customer = access.customer;
    return std::nullopt;
}

bool Engine::recheckCustomer(std::uint32_t slot)
{
    const auto refusal = this->renewCustomer(this->requests.at(slot));
    if (refusal) {
        this->failRequest(slot, *refusal);
    }
    return !refusal;
}

void Engine::configureCustomers(const Configuration &configured)
{
    std::map<std::string, CustomerTable> tables;
    for (const auto &bundle : configured.bundles) {
        if (!bundle.customers.empty()) {
            tables.emplace(bundle.name, CustomerTable(bundle.customers));
        }
    }
    const bool affectsRequests = !tables.empty() || !this->customers.empty();
    this->customers = std::move(tables);
    if (!affectsRequests) {
        return;
    }
    for (const auto slot : this->requests.openSlots()) {
        if (this->requests.at(slot).queued && this->recheckCustomer(slot)) {
            this->recount(slot);
        }
    }
}

} // namespace Verbenadock::Core::Internal
