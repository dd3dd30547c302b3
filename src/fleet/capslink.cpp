// The part of FleetLink that carries the messages about the caps of customers.
#include "allowancelink.h"
#include "verbenadock/fleet/fleetlink.h"

#include <algorithm>

namespace Verbenadock::Fleet {

namespace asio = boost::asio;

namespace {

constexpr Duration HubLearningTime = std::chrono::milliseconds(1200);

} // namespace

std::shared_ptr<internal::AllowanceLink> FleetLink::makeAllowanceLink(Telemetry::MetricsRegistry &registry)
{
    internal::AllowanceLink::Handlers callbacks;
    callbacks.hubs = [this] {
        const auto now = monotonicNow();
        // Heartbeats of the hubs arrive within some tenths of a second after a start.
        const bool isNew = now - this->startedAt < HubLearningTime;
        Allowance::Hubs hubs{.local = isNew ? this->election.expectedHubs() : this->election.hubs(now),
                             .remote = this->loadExchange.remoteFirstHubs(now)};
        // A hub that has announced its stop is heard for some time after that.
        std::erase_if(hubs.local, [this](const std::string &vm) {
            return vm != this->members.self().vm && !this->members.addressOf(vm);
        });
        return hubs;
    };
    callbacks.send = [this](const std::string &vm, const Mesh::Message &message) {
        this->sendToVm(vm, message);
    };
    callbacks.decided = [this](const Core::AllowanceDecided &event) {
        this->handlers.allowanceDecided(event);
    };
    const auto &self = this->members.self();
    return std::make_shared<internal::AllowanceLink>(
        this->context, self.vm, self.incarnation, this->settings.store->capSlack, registry, std::move(callbacks));
}

void FleetLink::reserve(const Core::ReserveAllowance &effect)
{
    this->allowances->reserve(effect);
}

void FleetLink::giveBack(const Core::ReturnAllowance &effect)
{
    this->allowances->giveBack(effect);
}

void FleetLink::handle(const Mesh::AllowanceLoan &loan)
{
    this->allowances->handle(loan);
}

void FleetLink::handle(const Mesh::AllowanceRequest &request)
{
    // Answers the sender itself, which may have announced its stop and is no member then, but still serves requests.
    this->sendTo(this->senderEndpoint, Mesh::encode(this->allowances->handle(request)));
}

void FleetLink::handle(const Mesh::AllowanceGrant &grant)
{
    this->allowances->handle(grant);
}

void FleetLink::sendToVm(const std::string &vm, const Mesh::Message &message)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(this->members.addressOf(vm).value_or(""), error);
    if (!error) {
        this->sendTo({address, this->settings.peerListen.port}, Mesh::encode(message));
    }
}

} // namespace Verbenadock::Fleet
