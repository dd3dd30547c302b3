#include "verbenadock/fleet/fleetlink.h"

#include "allowancelink.h"
#include "servicefacts.h"
#include "verbenadock/fleet/recordmessages.h"
#include "verbenadock/net/error.h"
#include "verbenadock/telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Verbenadock::Fleet {

namespace asio = boost::asio;

namespace {

using Telemetry::logChange;
using Telemetry::LogLevel;
using Json = nlohmann::json;

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(400);
/// Number of successes over which the latency of a service is smoothed.
constexpr int LatencySmoothing = 8;

std::string formatBeliefChange(const Health::PooledStateChange &change)
{
    std::string line = "belief_changed service=" + change.upstream.service + " upstream=" + change.upstream.upstream;
    line.append(" from=").append(Health::toString(change.from)).append(" to=").append(Health::toString(change.to));
    line.append(" share=").append(std::to_string(change.share));
    line.append(change.doubtsConnections ? " connections=doubted" : "");
    line.append(" cause=").append(change.cause ? Health::toString(*change.cause) : "time");
    line.append(" observer=").append(change.observer.empty() ? "-" : change.observer);
    return line;
}

Mesh::Hello makeHello(const Settings::EntrySettings &settings, std::uint64_t incarnation)
{
    return {.vm = settings.process.vmId,
            .address = settings.peerListen.address,
            .dataCentre = settings.process.dataCentre,
            .incarnation = incarnation,
            .processorPercent = static_cast<std::uint64_t>(settings.store->processorShare * 100)};
}

} // namespace

FleetLink::FleetLink(asio::io_context &loop,
                     const Settings::EntrySettings &entrySettings,
                     std::uint64_t incarnation,
                     Telemetry::MetricsRegistry &registry,
                     Handlers callbacks)
    : context(loop)
    , settings(entrySettings)
    , handlers(std::move(callbacks))
    , members(makeHello(entrySettings, incarnation))
    , follower(std::make_shared<StoreFollower>(loop, *entrySettings.store, registry, this->followerHandlers()))
    , election(entrySettings.process.vmId, this->members.self().processorPercent)
    , loadExchange(entrySettings.process.vmId, entrySettings.process.dataCentre)
    , allowances(this->makeAllowanceLink(registry))
    , socket(loop)
    , expiryTimer(loop)
    , heartbeatTimer(loop)
    , summaryTimer(loop)
    , loadReportTimer(loop)
    , sentMessages(registry.counter("verbenadock_mesh_sent_total", "Datagrams to other VMs."))
    , receivedMessages(registry.counter("verbenadock_mesh_received_total", "Datagrams from other VMs."))
    , malformedMessages(registry.counter("verbenadock_mesh_malformed_total", "Datagrams that were no message."))
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(entrySettings.peerListen.address, error);
    if (!error) {
        this->socket.open(address.is_v6() ? Udp::v6() : Udp::v4(), error);
    }
    if (!error) {
        this->socket.bind(Udp::endpoint(address, entrySettings.peerListen.port), error);
    }
    if (!error) {
        this->socket.non_blocking(true, error);
    }
    if (error) {
        throw Net::NetError("cannot use the datagram port " + toString(entrySettings.peerListen) + ": "
                            + error.message());
    }
}

StoreFollower::Handlers FleetLink::followerHandlers()
{
    return {.directoryChanged =
                [this] {
                    this->pushConfiguration();
                },
            .peerEndpoints =
                [this] {
                    return this->peerEndpoints();
                },
            .readsStore =
                [this] {
                    return this->election.isReader(monotonicNow());
                },
            .recordsRead =
                [this](std::string_view topic, std::uint64_t from, const Platform::StoredPage &page) {
                    for (const auto &message : recordMessages(this->members.self().vm, topic, from, page)) {
                        this->sendToLocalVms(message);
                    }
                    this->sendHeartbeat();
                },
            .configurationPatched =
                [this](const Mesh::StoreRecordPatch &patch) {
                    this->sendPatch(patch);
                },
            .freshnessChanged =
                [this] {
                    this->sendHeartbeat();
                },
            .eraBegun =
                [this](std::uint64_t era) {
                    this->beginEra(era);
                },
            .configurationConfirmed =
                [this] {
                    this->confirmConfiguration();
                },
            .configurationSuperseded =
                [this](bool superseded) {
                    if (this->handlers.configurationSuperseded) {
                        this->handlers.configurationSuperseded({.at = monotonicNow(), .superseded = superseded});
                    }
                }};
}

void FleetLink::start()
{
    this->receive();
    this->scheduleHeartbeat();
    this->scheduleSummary();
    this->follower->start();
    asio::co_spawn(
        this->context,
        [self = this->shared_from_this()]() -> asio::awaitable<void> {
            co_await self->joinWithRetries(false);
        },
        asio::detached);
}

std::vector<Endpoint> FleetLink::peerEndpoints() const
{
    std::vector<Endpoint> result;
    for (const auto &address : this->members.addresses()) {
        result.push_back({.address = address, .port = this->settings.process.admin.port});
    }
    for (const auto &seed : this->settings.store->seeds) {
        // The settings list seeds with a different port; all VMs use the same port numbers.
        if (result.empty() && seed.address != this->settings.peerListen.address) {
            result.push_back({.address = seed.address, .port = this->settings.process.admin.port});
        }
    }
    return result;
}

void FleetLink::pushConfiguration()
{
    auto &directory = this->follower->directory();
    if (const auto configuration = directory.configuration()) {
        this->loadExchange.configure(*configuration);
        this->allowances->configure(configuration->bundles.front().customers);
        this->pooledFailures.setUpstreamCounts(internal::upstreamCounts(*configuration));
        this->pooledFailures.setIdempotentServices(
            internal::idempotentServices(directory.operatorConfiguration()->routes));
        this->handlers.configurationChanged(configuration, directory.operatorConfiguration()->limits);
    }
}

void FleetLink::confirmConfiguration()
{
    if (this->handlers.configurationConfirmed) {
        this->handlers.configurationConfirmed({.at = monotonicNow()});
    }
}

void FleetLink::receive()
{
    this->socket.async_receive_from(
        asio::buffer(this->datagram),
        this->senderEndpoint,
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
            if (self->stopped) {
                return;
            }
            if (!error) {
                self->receivedMessages.add();
                if (const auto message = Mesh::decode({self->datagram.data(), size})) {
                    self->handle(*message);
                } else {
                    self->malformedMessages.add();
                }
            }
            self->receive();
        });
}

void FleetLink::handle(const Mesh::Message &message)
{
    std::visit(
        [this](const auto &specific) {
            this->handle(specific);
        },
        message);
}

void FleetLink::handle(const Mesh::Hello &hello)
{
    if (this->members.update(hello)) {
        this->membersChanged();
        logChange(LogLevel::Info,
                  "member_added vm=" + hello.vm + " address=" + hello.address
                      + " incarnation=" + std::to_string(hello.incarnation));
    }
}

void FleetLink::handle(const Mesh::Goodbye &goodbye)
{
    this->members.remove(goodbye);
    this->membersChanged();
    logChange(LogLevel::Info, "member_removed vm=" + goodbye.vm);
}

void FleetLink::membersChanged()
{
    this->election.setPeers(this->members.localProcessors());
    if (this->knowsRegistrations) {
        this->allowances->setVms(this->members.vms());
    }
    const auto endpointsOf = [this](const std::vector<std::string> &addresses) {
        std::vector<Udp::endpoint> endpoints;
        for (const auto &address : addresses) {
            boost::system::error_code error;
            const auto parsed = asio::ip::make_address(address, error);
            if (error) {
                logChange(LogLevel::Warning, "member_unreachable address=" + address + " reason=" + error.message());
            } else {
                endpoints.emplace_back(parsed, this->settings.peerListen.port);
            }
        }
        return endpoints;
    };
    this->localVms = endpointsOf(this->members.localAddresses());
    this->remoteVms = endpointsOf(this->members.remoteAddresses());
}

void FleetLink::handle(const Mesh::OutcomeReport &outcome)
{
    this->recordOutcome(
        {.upstream
         = {.bundle = std::string(Discovery::PlatformBundle), .service = outcome.service, .upstream = outcome.upstream},
         .observer = outcome.vm,
         .cause = outcome.cause,
         .early = outcome.early,
         .at = monotonicNow() - outcome.age});
}

void FleetLink::handle(const Mesh::StoreHeartbeat &heartbeat)
{
    const auto address = this->members.addressOf(heartbeat.vm);
    if (address) {
        this->election.noteHeartbeat(heartbeat.vm, heartbeat.fresh, monotonicNow());
    }
    // A VM that restarts while the store turns it away does not know the others, although they know it.
    this->follower->catchUpFrom({.address = address.value_or(this->senderEndpoint.address().to_string()),
                                 .port = this->settings.process.admin.port},
                                heartbeat.configurationEnd,
                                heartbeat.upstreamsEnd);
    if (heartbeat.fresh && !this->members.isRemote(heartbeat.vm)
        && heartbeat.configurationEnd == this->follower->directory().nextConfigurationPosition()) {
        this->confirmConfiguration();
    }
}

void FleetLink::handle(const Mesh::StoreRecords &records)
{
    this->follower->applyRecords(records);
}

void FleetLink::sendPatch(const Mesh::StoreRecordPatch &patch)
{
    // A longer patch would need several datagrams, of which none may be lost; the VMs fetch it.
    if (patch.data.size() >= MaxRecordMessageBytes) {
        return;
    }
    // The readers of another data centre may have failed just now. Until others take over and have read the record,
    // this patch is the only news of it there.
    this->broadcast(patch);
}

void FleetLink::handle(const Mesh::StoreRecordPatch &patch)
{
    this->follower->applyPatch(patch);
}

void FleetLink::scheduleHeartbeat()
{
    this->heartbeatTimer.expires_after(HeartbeatInterval);
    this->heartbeatTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && !self->stopped) {
            self->logReaderChange();
            self->sendHeartbeat();
            self->refreshLoad();
            self->scheduleHeartbeat();
        }
    });
}

void FleetLink::logReaderChange()
{
    const auto now = monotonicNow();
    if (const bool isReader = this->election.isReader(now); isReader != this->wasReader) {
        this->wasReader = isReader;
        logChange(LogLevel::Info,
                  std::string("store_reader_changed reads=") + (isReader ? "true" : "false")
                      + " fresh=" + (this->follower->isFresh(now) ? "true" : "false"));
    }
}

void FleetLink::sendHeartbeat()
{
    const auto now = monotonicNow();
    if (!this->election.isReader(now)) {
        return;
    }
    auto &directory = this->follower->directory();
    this->sendToLocalVms(
        Mesh::StoreHeartbeat{.vm = this->members.self().vm,
                             .configurationEnd = directory.nextConfigurationPosition(),
                             .upstreamsEnd = directory.nextUpstreamPosition().value_or(StorePosition{}),
                             .fresh = this->follower->isFresh(now)});
}

void FleetLink::observe(const Core::ReportReserveUse &use)
{
    this->broadcast(Mesh::ReserveUse{.vm = this->members.self().vm, .service = use.service});
}

void FleetLink::handle(const Mesh::ReserveUse &use)
{
    this->handlers.reserveUsed(
        {.at = monotonicNow(), .bundle = std::string(Discovery::PlatformBundle), .service = use.service});
}

void FleetLink::sendToLocalVms(const Mesh::Message &message)
{
    this->sendToAll(this->localVms, message);
}

void FleetLink::sendToAll(const std::vector<Udp::endpoint> &receivers, const Mesh::Message &message)
{
    const auto bytes = Mesh::encode(message);
    for (const auto &receiver : receivers) {
        this->sendTo(receiver, bytes);
    }
}

void FleetLink::observe(const Core::ReportEvidence &evidence)
{
    if (evidence.sample.cause == Health::Cause::Success) {
        auto &latency = this->latencies[evidence.upstream.service];
        const auto newest = evidence.sample.latency;
        latency = latency > Duration(0) ? latency + (newest - latency) / LatencySmoothing : newest;
    }
    if (!this->pooledFailures.isRelevant(evidence.upstream, evidence.sample.cause, evidence.sample.early)) {
        return;
    }
    const auto &key = evidence.upstream;
    this->broadcast(Mesh::OutcomeReport{.vm = this->members.self().vm,
                                        .service = key.service,
                                        .upstream = key.upstream,
                                        .cause = evidence.sample.cause,
                                        .early = evidence.sample.early,
                                        .age = Duration(0)});
    // The reducer is not reentrant: it is still carrying out the effects of the current event.
    asio::post(this->context, [self = this->shared_from_this(), evidence] {
        self->recordOutcome({.upstream = evidence.upstream,
                             .observer = self->members.self().vm,
                             .cause = evidence.sample.cause,
                             .early = evidence.sample.early,
                             .at = evidence.sample.at});
    });
}

void FleetLink::recordOutcome(const Health::ObservedOutcome &outcome)
{
    this->publishChanges(this->pooledFailures.observe(outcome));
    this->scheduleExpiry();
}

void FleetLink::publishChanges(const std::vector<Health::PooledStateChange> &changes)
{
    if (changes.empty()) {
        return;
    }
    Core::HealthChanged event{.at = monotonicNow(), .verdicts = {}};
    for (const auto &change : changes) {
        event.verdicts.push_back(
            {.upstream = change.upstream,
             .sick = change.to == Health::PooledState::Suspect || change.to == Health::PooledState::Unhealthy,
             .share = change.share,
             .doubtsConnections = change.doubtsConnections});
        logChange(LogLevel::Info, formatBeliefChange(change));
    }
    this->handlers.healthChanged(event);
}

void FleetLink::scheduleExpiry()
{
    const auto next = this->pooledFailures.nextDeadline();
    if (!next || this->stopped) {
        return;
    }
    this->expiryTimer.expires_after(timeUntil(*next));
    this->expiryTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && !self->stopped) {
            self->publishChanges(self->pooledFailures.expire(monotonicNow()));
            self->scheduleExpiry();
        }
    });
}

void FleetLink::broadcast(const Mesh::Message &message)
{
    const auto bytes = Mesh::encode(message);
    for (const auto *receivers : {&this->localVms, &this->remoteVms}) {
        for (const auto &receiver : *receivers) {
            this->sendTo(receiver, bytes);
        }
    }
}

void FleetLink::sendTo(const Udp::endpoint &receiver, const std::string &bytes)
{
    boost::system::error_code error;
    this->socket.send_to(asio::buffer(bytes), receiver, 0, error);
    // No retry: a failed send is equivalent to a datagram lost on the network, and other VMs observe failures of their
    // own.
    this->sentMessages.add(error ? 0 : 1);
}

void FleetLink::leave()
{
    this->leaving = true;
    this->broadcast(Mesh::Goodbye{.vm = this->members.self().vm, .incarnation = this->members.self().incarnation});
}

void FleetLink::stop()
{
    this->stopped = true;
    this->follower->stop();
    this->allowances->stop();
    this->expiryTimer.cancel();
    this->heartbeatTimer.cancel();
    this->summaryTimer.cancel();
    this->loadReportTimer.cancel();
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

std::optional<Net::AdminPage> FleetLink::page(std::string_view target)
{
    return this->follower->page(target);
}

std::string FleetLink::dump() const
{
    const auto &directory = this->follower->directory();
    return Json{{"vms", this->members.size()},
                {"addresses", this->members.addresses()},
                {"reads_store", this->election.isReader(monotonicNow())},
                {"store_era", directory.nextConfigurationPosition().era},
                {"configuration_end", directory.nextConfigurationPosition().offset},
                {"upstreams_end", directory.nextUpstreamPosition().value_or(StorePosition{}).offset}}
        .dump();
}

} // namespace Verbenadock::Fleet
