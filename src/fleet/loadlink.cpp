// The part of FleetLink that exchanges the VMs' requests in flight.
#include "verbenadock/fleet/fleetlink.h"

#include <algorithm>

namespace Verbenadock::Fleet {

namespace asio = boost::asio;

namespace {

/// Heartbeats per load report to other data centres, to which traffic is expensive.
constexpr unsigned LoadHeartbeats = 3;
/// Interval between two summaries of a hub. It is shorter than a request and grows with the number of receiving VMs, so
/// that a hub with a slow link keeps bandwidth for its callers.
constexpr Duration ShortestSummaryInterval = std::chrono::milliseconds(30);
constexpr Duration LongestSummaryInterval = std::chrono::milliseconds(100);
constexpr Duration SummaryPause = std::chrono::microseconds(2500);
/// Interval at which a VM that is not the first hub checks whether it has become the first hub.
constexpr Duration HubCheckInterval = std::chrono::milliseconds(200);
/// Load reports of an entry per summary interval.
constexpr int TellingsPerSummary = 3;

} // namespace

void FleetLink::refreshLoad()
{
    const auto now = monotonicNow();
    this->carryOut({.changes = this->loads.expire(now), .outgoing = {}});
    this->tellLoads();
    Mesh::DataCentreLoads told{
        .vm = this->members.self().vm, .dataCentre = this->members.self().dataCentre, .services = {}};
    for (const auto &[service, ownLoad] : this->loads.sample(now)) {
        const auto latency = std::chrono::duration<double>(this->latencies[service]).count();
        const Health::ServicePace pace{.load = this->loads.highestLoad(service, now),
                                       .requestsPerSecond
                                       = latency > 0 ? this->loads.inFlight(service, now) / latency : 0};
        this->report(this->pooled.setPace(service, pace, now));
        told.services.push_back({.service = service, .percent = static_cast<std::uint64_t>(ownLoad * 100)});
    }
    if (++this->heartbeats % LoadHeartbeats == 0 && this->election.isFirst(now)) {
        this->sendAll(this->far, told);
    }
}

Duration FleetLink::summaryInterval() const
{
    const Duration interval = SummaryPause * (this->near.size() + 1);
    return std::clamp(interval, ShortestSummaryInterval, LongestSummaryInterval);
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
            self->carryOut({.changes = {}, .outgoing = self->loads.summarize(now)});
        }
        self->scheduleSummary();
    });
}

void FleetLink::scheduleTelling()
{
    if (this->tellingScheduled || this->stopped) {
        return;
    }
    this->tellingScheduled = true;
    this->tellTimer.expires_after(this->summaryInterval() / TellingsPerSummary);
    this->tellTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        self->tellingScheduled = false;
        if (!error && !self->stopped) {
            self->tellLoads();
        }
    });
}

void FleetLink::tellLoads()
{
    const auto now = monotonicNow();
    this->carryOut({.changes = {}, .outgoing = this->loads.report(this->election.hubs(now), now)});
}

void FleetLink::handle(const Mesh::DataCentreLoads &seen)
{
    const auto now = monotonicNow();
    this->loads.handle(seen, now);
    for (const auto &load : seen.services) {
        this->handlers.dataCentreLoaded({.at = now,
                                         .bundle = std::string(Discovery::PlatformBundle),
                                         .service = load.service,
                                         .dataCentre = seen.dataCentre,
                                         .load = static_cast<double>(load.percent) / 100});
    }
}

void FleetLink::handle(const Mesh::UpstreamLoads &seen)
{
    this->carryOut(this->loads.handle(seen, this->cameFromAfar(seen.vm), monotonicNow()));
}

bool FleetLink::cameFromAfar(const std::string &vm) const
{
    return this->members.isFar(vm) && this->members.addressOf(vm) == this->sender.address().to_string();
}

void FleetLink::carryOut(const LoadExchange::Update &update)
{
    for (const auto &change : update.changes) {
        this->handlers.loaded(change);
    }
    for (const auto &outgoing : update.outgoing) {
        if (outgoing.vm.empty()) {
            this->sendNear(outgoing.message);
            continue;
        }
        boost::system::error_code error;
        const auto address = asio::ip::make_address(this->members.addressOf(outgoing.vm).value_or(""), error);
        // A hub that has just left is replaced by another within a second.
        if (!error) {
            this->sendTo({address, this->settings.peerListen.port}, Mesh::encode(outgoing.message));
        }
    }
}

void FleetLink::observe(const Core::ReportLoad &changed)
{
    this->loads.observe(changed);
    this->scheduleTelling();
}

void FleetLink::handle(const Mesh::VmLoads &seen)
{
    this->carryOut(this->loads.handle(seen, monotonicNow()));
}

} // namespace Verbenadock::Fleet
