#include "allowancelink.h"

#include <utility>

namespace Verbenadock::Fleet::internal {

namespace {

using Kind = Allowance::Decision::Kind;

constexpr auto DecisionsName = "verbenadock_allowance_decisions_total";
constexpr auto DecisionsHelp = "Requests of capped customers by decision.";
constexpr auto HubAnswersName = "verbenadock_allowance_hub_answers_total";
constexpr auto HubAnswersHelp = "Answers of this VM as a hub to other VMs.";

Core::AllowanceDecided::Decision toDecision(Kind kind)
{
    switch (kind) {
    case Kind::Uncapped:
    case Kind::GrantedLocally:
    case Kind::GrantedByHub:
        return Core::AllowanceDecided::Decision::Granted;
    case Kind::OverCap:
        return Core::AllowanceDecided::Decision::OverCap;
    case Kind::Unknown:
        break;
    }
    return Core::AllowanceDecided::Decision::Unknown;
}

} // namespace

AllowanceLink::AllowanceLink(boost::asio::io_context &context,
                             const std::string &vm,
                             std::uint64_t incarnation,
                             double slack,
                             Telemetry::MetricsRegistry &registry,
                             Handlers callbacks)
    : handlers(std::move(callbacks))
    , capSlack(slack)
    , pool(vm)
    , client(this->pool, vm, incarnation)
    , timer(context)
    , grantedLocally(registry.counter(DecisionsName, DecisionsHelp, {{"decision", "granted-locally"}}))
    , grantedByHub(registry.counter(DecisionsName, DecisionsHelp, {{"decision", "granted-by-hub"}}))
    , refusedOverCap(registry.counter(DecisionsName, DecisionsHelp, {{"decision", "over-cap"}}))
    , refusedUnknown(registry.counter(DecisionsName, DecisionsHelp, {{"decision", "unknown"}}))
    , hubGrants(registry.counter(HubAnswersName, HubAnswersHelp, {{"answer", "granted"}}))
    , hubRefusals(registry.counter(HubAnswersName, HubAnswersHelp, {{"answer", "refused"}}))
    , waiting(registry.gauge("verbenadock_allowance_waiting", "Requests that wait for the answer of a hub."))
    , lenders(registry.gauge("verbenadock_allowance_lenders", "VMs that lend a part of their share to this VM."))
    , roundTrips(registry.histogram("verbenadock_allowance_round_trip_seconds", "Time until the answer of a hub."))
{
}

void AllowanceLink::configure(const std::vector<Bundles::Customer> &customers)
{
    Allowance::Caps caps;
    for (const auto &customer : customers) {
        if (customer.requestsPerSecond > 0) {
            caps[Mesh::customerNumber(customer.name)]
                = {.requestsPerSecond = customer.requestsPerSecond, .burst = customer.burst};
        }
    }
    if (caps.empty() && !this->pool.hasCaps()) {
        return;
    }
    const auto now = monotonicNow();
    this->pool.configure(std::move(caps), this->capSlack, now);
    this->client.setHubs(this->handlers.hubs());
    this->carryOut(this->client.capsChanged(now));
}

void AllowanceLink::setVms(const std::vector<std::string> &names)
{
    const auto now = monotonicNow();
    this->pool.setVms(names, now);
    this->client.vmsKnown(now);
    this->schedule();
}

void AllowanceLink::reserve(const Core::ReserveAllowance &effect)
{
    this->client.setHubs(this->handlers.hubs());
    this->carryOut(this->client.reserve(effect.request, Mesh::customerNumber(effect.customer), monotonicNow()));
}

void AllowanceLink::giveBack(const Core::ReturnAllowance &effect)
{
    this->client.giveBack(effect.request, monotonicNow());
}

void AllowanceLink::handle(const Mesh::AllowanceLoan &loan)
{
    this->pool.handle(loan, monotonicNow());
}

Mesh::AllowanceGrant AllowanceLink::handle(const Mesh::AllowanceRequest &request)
{
    auto grant = this->pool.handle(request, monotonicNow());
    (grant.tokens > 0 ? this->hubGrants : this->hubRefusals).add();
    return grant;
}

void AllowanceLink::handle(const Mesh::AllowanceGrant &grant)
{
    this->carryOut(this->client.handle(grant, monotonicNow()));
}

void AllowanceLink::carryOut(const Allowance::AllowanceClient::Update &update)
{
    for (const auto &[vm, message] : update.messages) {
        this->handlers.send(vm, message);
    }
    for (const auto &roundTrip : update.roundTrips) {
        this->roundTrips.record(std::chrono::duration<double>(roundTrip).count());
    }
    this->waiting.set(static_cast<double>(this->client.waitingCount()));
    for (const auto &decision : update.decisions) {
        this->record(decision);
        this->handlers.decided({.at = monotonicNow(),
                                .request = decision.request,
                                .decision = toDecision(decision.kind),
                                .retryAfter = decision.retryAfter});
    }
    this->schedule();
}

void AllowanceLink::record(const Allowance::Decision &decision)
{
    switch (decision.kind) {
    case Kind::Uncapped:
        break;
    case Kind::GrantedLocally:
        this->grantedLocally.add();
        break;
    case Kind::GrantedByHub:
        this->grantedByHub.add();
        break;
    case Kind::OverCap:
        this->refusedOverCap.add();
        break;
    case Kind::Unknown:
        this->refusedUnknown.add();
        break;
    }
}

void AllowanceLink::schedule()
{
    const auto next = this->client.nextDeadline();
    // A timer that is overdue did not advance while the VM was suspended and has to be set again.
    if (!next || this->stopped || (this->wakesAt <= *next && this->wakesAt > monotonicNow())) {
        return;
    }
    this->wakesAt = *next;
    this->timer.expires_after(timeUntil(*next));
    this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (error || self->stopped) {
            return;
        }
        self->wakesAt = TimePoint::max();
        const auto now = monotonicNow();
        self->lenders.set(static_cast<double>(self->pool.lenderCount(now)));
        self->client.setHubs(self->handlers.hubs());
        self->carryOut(self->client.advance(now));
    });
}

void AllowanceLink::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

} // namespace Verbenadock::Fleet::internal
