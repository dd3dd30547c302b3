// The part of FleetLink that exchanges the VMs' requests in flight.
#include "verbenadock/fleet/fleetlink.h"

#include <algorithm>

namespace Verbenadock::Fleet {

namespace asio = boost::asio;

namespace {

/// Heartbeats per load report to other data centres, to which traffic is expensive.
constexpr unsigned HeartbeatsPerLoadReport = 3;
/// Interval between two summaries of a hub. It is shorter than a request and grows with the number of receiving VMs, so
/// that a hub with a slow link keeps bandwidth for its callers.
constexpr Duration MinSummaryInterval = std::chrono::milliseconds(30);
constexpr Duration MaxSummaryInterval = std::chrono::milliseconds(100);
constexpr Duration SummaryIntervalPerVm = std::chrono::microseconds(2500);
/// Interval at which a VM that is not the first hub checks whether it has become the first hub.
constexpr Duration HubCheckInterval = std::chrono::milliseconds(200);
/// Load reports of an entry per summary interval.
constexpr int ReportsPerSummary = 3;

} // namespace

void FleetLink::refreshLoad()
{
    const auto now = monotonicNow();
    this->applyUpdate({.changes = this->loadExchange.expire(now), .outgoing = {}});
    this->reportLoads();
    Mesh::DataCentreLoads message{
        .vm = this->members.self().vm, .dataCentre = this->members.self().dataCentre, .services = {}};
    for (const auto &[service, ownLoad] : this->loadExchange.sample(now)) {
        const auto latency = std::chrono::duration<double>(this->latencies[service]).count();
        const Health::ServiceTraffic pace{.load = this->loadExchange.highestLoad(service, now),
                                          .requestsPerSecond
                                          = latency > 0 ? this->loadExchange.inFlight(service, now) / latency : 0};
        this->publishChanges(this->pooledFailures.setServiceTraffic(service, pace, now));
        message.services.push_back({.service = service, .percent = static_cast<std::uint64_t>(ownLoad * 100)});
    }
    if (++this->heartbeatCount % HeartbeatsPerLoadReport == 0 && this->election.isFirst(now)) {
        this->sendToAll(this->remoteVms, message);
    }
}

Duration FleetLink::summaryInterval() const
{
    const Duration interval = SummaryIntervalPerVm * (this->localVms.size() + 1);
    return std::clamp(interval, MinSummaryInterval, MaxSummaryInterval);
}

void FleetLink::scheduleSummary()
{
    const bool isHub = this->election.isFirst(monotonicNow());
    this->summaryTimer.expires_after(isHub ? this->summaryInterval() : HubCheckInterval);
    this->summaryTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (error || self->stopped) {
            return;
        }
        const auto now = monotonicNow();
        if (self->election.isFirst(now)) {
            self->applyUpdate({.changes = {}, .outgoing = self->loadExchange.summarize(now)});
        }
        self->scheduleSummary();
    });
}

void FleetLink::scheduleLoadReport()
{
    if (this->loadReportScheduled || this->stopped) {
        return;
    }
    this->loadReportScheduled = true;
    this->loadReportTimer.expires_after(this->summaryInterval() / ReportsPerSummary);
    this->loadReportTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        self->loadReportScheduled = false;
        if (!error && !self->stopped) {
            self->reportLoads();
        }
    });
}

void FleetLink::reportLoads()
{
    const auto now = monotonicNow();
    this->applyUpdate({.changes = {}, .outgoing = this->loadExchange.report(this->election.hubs(now), now)});
}

void FleetLink::handle(const Mesh::DataCentreLoads &message)
{
    const auto now = monotonicNow();
    this->loadExchange.handle(message, now);
    for (const auto &load : message.services) {
        this->handlers.dataCentreLoadChanged({.at = now,
                                              .bundle = std::string(Discovery::PlatformBundle),
                                              .service = load.service,
                                              .dataCentre = message.dataCentre,
                                              .load = static_cast<double>(load.percent) / 100});
    }
}

void FleetLink::handle(const Mesh::UpstreamLoads &message)
{
    this->applyUpdate(this->loadExchange.handle(message, this->isFromRemoteVm(message.vm), monotonicNow()));
}

bool FleetLink::isFromRemoteVm(const std::string &vm) const
{
    return this->members.isRemote(vm) && this->members.addressOf(vm) == this->senderEndpoint.address().to_string();
}

void FleetLink::applyUpdate(const LoadExchange::Update &update)
{
    for (const auto &change : update.changes) {
        this->handlers.loadChanged(change);
    }
    for (const auto &outgoing : update.outgoing) {
        if (outgoing.vm.empty()) {
            this->sendToLocalVms(outgoing.message);
            continue;
        }
        // A hub that has just left is replaced by another within a second.
        this->sendToVm(outgoing.vm, outgoing.message);
    }
}

void FleetLink::observe(const Core::ReportLoad &changed)
{
    this->loadExchange.observe(changed);
    this->scheduleLoadReport();
}

void FleetLink::handle(const Mesh::VmLoads &message)
{
    this->applyUpdate(this->loadExchange.handle(message, monotonicNow()));
}

} // namespace Verbenadock::Fleet
