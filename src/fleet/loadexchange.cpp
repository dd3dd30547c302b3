#include "verbenadock/fleet/loadexchange.h"

#include "verbenadock/discovery/directory.h"

#include <algorithm>

namespace Verbenadock::Fleet {

namespace {

// Hubs announce themselves to other data centres every 1.2 s.
constexpr Duration HubLifetime = std::chrono::seconds(4);
// Unchanged values are resent because a datagram may be lost.
constexpr Duration RepeatInterval = std::chrono::seconds(1);
constexpr Duration ReceivedLifetime = std::chrono::milliseconds(2500);
// Traffic between data centres is expensive, and its load values only guide requests that leave their data centre.
constexpr Duration RemoteInterval = std::chrono::milliseconds(200);
// About 1.3 KB, which fits into one packet and into the receive buffer.
constexpr std::size_t MaxLoadsPerMessage = 120;

} // namespace

LoadExchange::LoadExchange(std::string vm, std::string dataCentre)
    : ownVm(std::move(vm))
    , ownDataCentre(std::move(dataCentre))
    , serviceLoad(this->ownDataCentre)
{
}

void LoadExchange::configure(const Core::Configuration &configuration)
{
    this->serviceLoad.configure(configuration);
    this->upstreams.clear();
    for (const auto &bundle : configuration.bundles) {
        for (const auto &service : bundle.services) {
            for (const auto &upstream : service.upstreams) {
                this->upstreams.insert_or_assign(Mesh::upstreamNumber(service.name, upstream.id),
                                                 Upstream{.service = service.name,
                                                          .id = upstream.id,
                                                          .dataCentre = upstream.dataCentre,
                                                          .slots = upstream.slots});
            }
        }
    }
}

void LoadExchange::appendChange(std::vector<Core::LoadChanged> &changes,
                                Mesh::UpstreamNumber upstream,
                                unsigned inFlight,
                                bool includesOwn,
                                TimePoint now) const
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end()) {
        // The directory of the other VM is newer or older than that of this VM.
        return;
    }
    changes.push_back({.at = now,
                       .upstream = {.bundle = std::string(Discovery::PlatformBundle),
                                    .service = found->second.service,
                                    .upstream = found->second.id},
                       .otherEntriesInFlight = inFlight,
                       .includesOwn = includesOwn});
}

void LoadExchange::observe(const Core::ReportLoad &load)
{
    const auto number = Mesh::upstreamNumber(load.upstream.service, load.upstream.upstream);
    auto &requests = this->ownLoads[load.dataCentre];
    if (load.inFlight > 0) {
        requests[number] = load.inFlight;
    } else {
        requests.erase(number);
    }
}

std::vector<OutgoingMessage> LoadExchange::report(const std::vector<std::string> &localHubs, TimePoint now)
{
    if (localHubs != this->lastLocalHubs) {
        // A new hub has no earlier reports of this entry.
        this->sentOwn.erase(this->ownDataCentre);
        this->lastLocalHubs = localHubs;
    }
    std::vector<OutgoingMessage> outgoing;
    for (const auto &[dataCentre, requests] : this->ownLoads) {
        std::vector<std::string> hubs;
        const auto remoteHub = this->remoteHubs.find(dataCentre);
        if (dataCentre == this->ownDataCentre) {
            hubs = localHubs;
        } else if (remoteHub != this->remoteHubs.end() && now - remoteHub->second.lastReceivedAt <= HubLifetime) {
            hubs.push_back(remoteHub->second.vm);
        }
        std::erase(hubs, this->ownVm);
        if (hubs.empty()) {
            continue;
        }
        for (const auto &part : changedLoads(requests, this->sentOwn[dataCentre], now)) {
            for (const auto &hub : hubs) {
                outgoing.push_back({.vm = hub, .message = Mesh::VmLoads{.vm = this->ownVm, .loads = part}});
            }
        }
    }
    return outgoing;
}

LoadExchange::Update LoadExchange::handle(const Mesh::VmLoads &message, TimePoint now)
{
    this->otherVmLoads.update(message, now);
    Update update;
    for (const auto &load : message.loads) {
        this->appendChange(
            update.changes, load.upstream, this->otherVmLoads.inFlightAt(load.upstream, now), false, now);
    }
    return update;
}

LoadExchange::Update LoadExchange::handle(const Mesh::UpstreamLoads &message, bool fromRemote, TimePoint now)
{
    const bool isOwnDataCentre = message.dataCentre == this->ownDataCentre;
    if (isOwnDataCentre && fromRemote) {
        return {};
    }
    Update update;
    for (const auto &load : message.loads) {
        const auto inFlight = static_cast<unsigned>(load.inFlight);
        this->received[load.upstream] = {.inFlight = inFlight, .at = now};
        this->appendChange(update.changes, load.upstream, inFlight, true, now);
    }
    if (fromRemote) {
        update.outgoing.push_back({.vm = {}, .message = message});
    }
    return update;
}

void LoadExchange::handle(const Mesh::DataCentreLoads &message, TimePoint now)
{
    this->remoteHubs[message.dataCentre] = {.vm = message.vm, .lastReceivedAt = now};
    for (const auto &load : message.services) {
        this->serviceLoad.setReportedLoad(
            load.service, message.dataCentre, static_cast<double>(load.percent) / 100, now);
    }
}

LoadExchange::Totals LoadExchange::localTotals(TimePoint now) const
{
    auto totals = this->otherVmLoads.totals(now);
    if (const auto requests = this->ownLoads.find(this->ownDataCentre); requests != this->ownLoads.end()) {
        for (const auto &[upstream, inFlight] : requests->second) {
            totals[upstream] += inFlight;
        }
    }
    return totals;
}

LoadExchange::Totals LoadExchange::fullUpstreams(const Totals &totals) const
{
    Totals full;
    for (const auto &[number, inFlight] : totals) {
        const auto found = this->upstreams.find(number);
        if (found != this->upstreams.end() && inFlight >= found->second.slots) {
            full.emplace(number, inFlight);
        }
    }
    return full;
}

std::vector<std::vector<Mesh::UpstreamRequests>> LoadExchange::changedLoads(const Totals &loads,
                                                                            ExchangedLoads &last,
                                                                            TimePoint now)
{
    // An upstream that is no longer listed is sent once with the value zero.
    auto current = loads;
    for (const auto &entry : last) {
        current.try_emplace(entry.first, 0);
    }
    std::vector<std::vector<Mesh::UpstreamRequests>> parts;
    for (const auto &[upstream, inFlight] : current) {
        const auto found = last.find(upstream);
        if (found != last.end() && found->second.inFlight == inFlight && now - found->second.at < RepeatInterval) {
            continue;
        }
        if (parts.empty() || parts.back().size() >= MaxLoadsPerMessage) {
            parts.emplace_back();
        }
        parts.back().push_back({.upstream = upstream, .inFlight = inFlight});
        if (inFlight == 0) {
            last.erase(upstream);
        } else {
            last[upstream] = {.inFlight = inFlight, .at = now};
        }
    }
    return parts;
}

std::vector<OutgoingMessage> LoadExchange::summarize(TimePoint now)
{
    std::vector<OutgoingMessage> outgoing;
    const auto makeMessage = [this](std::vector<Mesh::UpstreamRequests> part) {
        return Mesh::UpstreamLoads{.vm = this->ownVm, .dataCentre = this->ownDataCentre, .loads = std::move(part)};
    };
    const auto totals = this->localTotals(now);
    for (auto &part : changedLoads(totals, this->sentLocal, now)) {
        outgoing.push_back({.vm = {}, .message = makeMessage(std::move(part))});
    }
    if (now - this->sentRemoteAt < RemoteInterval) {
        return outgoing;
    }
    this->sentRemoteAt = now;
    for (const auto &part : changedLoads(this->fullUpstreams(totals), this->sentRemote, now)) {
        for (const auto &[dataCentre, hub] : this->remoteHubs) {
            if (now - hub.lastReceivedAt <= HubLifetime) {
                outgoing.push_back({.vm = hub.vm, .message = makeMessage(part)});
            }
        }
    }
    return outgoing;
}

std::vector<Core::LoadChanged> LoadExchange::expire(TimePoint now)
{
    std::vector<Core::LoadChanged> changes;
    for (const auto upstream : this->otherVmLoads.expire(now)) {
        this->appendChange(changes, upstream, this->otherVmLoads.inFlightAt(upstream, now), false, now);
    }
    std::erase_if(this->received, [&](const auto &entry) {
        const bool silent = now - entry.second.at > ReceivedLifetime;
        if (silent && entry.second.inFlight > 0) {
            this->appendChange(changes, entry.first, 0, true, now);
        }
        return silent;
    });
    return changes;
}

std::map<std::string, double> LoadExchange::sample(TimePoint now)
{
    // Takes the larger value: a hub's own sums cover more than the totals received from another hub, and the other VMs
    // have only the received totals.
    auto totals = this->localTotals(now);
    for (const auto &[upstream, load] : this->received) {
        if (now - load.at <= ReceivedLifetime) {
            totals[upstream] = std::max(totals[upstream], load.inFlight);
        }
    }
    std::map<std::string, unsigned> inFlight;
    for (const auto &[number, requests] : totals) {
        const auto found = this->upstreams.find(number);
        if (found != this->upstreams.end() && found->second.dataCentre == this->ownDataCentre) {
            inFlight[found->second.service] += requests;
        }
    }
    return this->serviceLoad.sample(inFlight);
}

std::vector<std::string> LoadExchange::remoteFirstHubs(TimePoint now) const
{
    std::vector<std::string> result;
    for (const auto &entry : this->remoteHubs) {
        if (now - entry.second.lastReceivedAt <= HubLifetime) {
            result.push_back(entry.second.vm);
        }
    }
    return result;
}

double LoadExchange::inFlight(const std::string &service, TimePoint now) const
{
    return this->serviceLoad.inFlight(service, now);
}

double LoadExchange::highestLoad(const std::string &service, TimePoint now) const
{
    return this->serviceLoad.highestLoad(service, now);
}

} // namespace Verbenadock::Fleet
