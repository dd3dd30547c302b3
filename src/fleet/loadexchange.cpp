#include "verbenadock/fleet/loadexchange.h"

#include "verbenadock/discovery/directory.h"

#include <algorithm>

namespace Verbenadock::Fleet {

namespace {

// Hubs announce themselves to other data centres every 1.2 s.
constexpr Duration HubLifetime = std::chrono::seconds(4);
// Unchanged values are resent because a datagram may be lost.
constexpr Duration RepeatInterval = std::chrono::seconds(1);
constexpr Duration HeardLifetime = std::chrono::milliseconds(2500);
// Traffic between data centres is expensive, and its load values only guide requests that leave their data centre.
constexpr Duration FarInterval = std::chrono::milliseconds(200);
// About 1.3 KB, which fits into one packet and into the receive buffer.
constexpr std::size_t MostInMessage = 120;

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

void LoadExchange::append(std::vector<Core::LoadChanged> &changes,
                          Mesh::UpstreamNumber upstream,
                          unsigned inFlight,
                          bool includesOwn,
                          TimePoint now) const
{
    const auto known = this->upstreams.find(upstream);
    if (known == this->upstreams.end()) {
        // The directory of the other VM is newer or older than that of this VM.
        return;
    }
    changes.push_back({.at = now,
                       .upstream = {.bundle = std::string(Discovery::PlatformBundle),
                                    .service = known->second.service,
                                    .upstream = known->second.id},
                       .othersInFlight = inFlight,
                       .includesOwn = includesOwn});
}

void LoadExchange::observe(const Core::ReportLoad &changed)
{
    const auto number = Mesh::upstreamNumber(changed.upstream.service, changed.upstream.upstream);
    auto &requests = this->own[changed.dataCentre];
    if (changed.inFlight > 0) {
        requests[number] = changed.inFlight;
    } else {
        requests.erase(number);
    }
}

std::vector<Outgoing> LoadExchange::tell(const std::vector<std::string> &nearHubs, TimePoint now)
{
    if (nearHubs != this->lastNearHubs) {
        // A new hub has no earlier reports of this entry.
        this->toldOwn.erase(this->ownDataCentre);
        this->lastNearHubs = nearHubs;
    }
    std::vector<Outgoing> outgoing;
    for (const auto &[dataCentre, requests] : this->own) {
        std::vector<std::string> hubs;
        const auto far = this->farHubs.find(dataCentre);
        if (dataCentre == this->ownDataCentre) {
            hubs = nearHubs;
        } else if (far != this->farHubs.end() && now - far->second.heardAt <= HubLifetime) {
            hubs.push_back(far->second.vm);
        }
        std::erase(hubs, this->ownVm);
        if (hubs.empty()) {
            continue;
        }
        for (const auto &part : news(requests, this->toldOwn[dataCentre], now)) {
            for (const auto &hub : hubs) {
                outgoing.push_back({.vm = hub, .message = Mesh::VmLoads{.vm = this->ownVm, .loads = part}});
            }
        }
    }
    return outgoing;
}

LoadExchange::Update LoadExchange::handle(const Mesh::VmLoads &seen, TimePoint now)
{
    this->others.note(seen, now);
    Update update;
    for (const auto &load : seen.loads) {
        this->append(update.changes, load.upstream, this->others.at(load.upstream, now), false, now);
    }
    return update;
}

LoadExchange::Update LoadExchange::handle(const Mesh::UpstreamLoads &loads, bool fromAfar, TimePoint now)
{
    const bool isOwnDataCentre = loads.dataCentre == this->ownDataCentre;
    if (isOwnDataCentre && fromAfar) {
        return {};
    }
    Update update;
    for (const auto &load : loads.loads) {
        const auto inFlight = static_cast<unsigned>(load.inFlight);
        this->heard[load.upstream] = {.inFlight = inFlight, .at = now};
        this->append(update.changes, load.upstream, inFlight, true, now);
    }
    if (fromAfar) {
        update.outgoing.push_back({.vm = {}, .message = loads});
    }
    return update;
}

void LoadExchange::handle(const Mesh::DataCentreLoads &seen, TimePoint now)
{
    this->farHubs[seen.dataCentre] = {.vm = seen.vm, .heardAt = now};
    for (const auto &load : seen.services) {
        this->serviceLoad.noteDataCentre(load.service, seen.dataCentre, static_cast<double>(load.percent) / 100, now);
    }
}

LoadExchange::Totals LoadExchange::nearTotals(TimePoint now) const
{
    auto totals = this->others.all(now);
    if (const auto requests = this->own.find(this->ownDataCentre); requests != this->own.end()) {
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
        const auto known = this->upstreams.find(number);
        if (known != this->upstreams.end() && inFlight >= known->second.slots) {
            full.emplace(number, inFlight);
        }
    }
    return full;
}

std::vector<std::vector<Mesh::UpstreamRequests>> LoadExchange::news(const Totals &loads, News &last, TimePoint now)
{
    // An upstream that is no longer listed is sent once with the value zero.
    auto present = loads;
    for (const auto &entry : last) {
        present.try_emplace(entry.first, 0);
    }
    std::vector<std::vector<Mesh::UpstreamRequests>> parts;
    for (const auto &[upstream, inFlight] : present) {
        const auto known = last.find(upstream);
        if (known != last.end() && known->second.inFlight == inFlight && now - known->second.at < RepeatInterval) {
            continue;
        }
        if (parts.empty() || parts.back().size() >= MostInMessage) {
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

std::vector<Outgoing> LoadExchange::summarize(TimePoint now)
{
    std::vector<Outgoing> outgoing;
    const auto messageOf = [this](std::vector<Mesh::UpstreamRequests> part) {
        return Mesh::UpstreamLoads{.vm = this->ownVm, .dataCentre = this->ownDataCentre, .loads = std::move(part)};
    };
    const auto totals = this->nearTotals(now);
    for (auto &part : news(totals, this->toldNear, now)) {
        outgoing.push_back({.vm = {}, .message = messageOf(std::move(part))});
    }
    if (now - this->toldFarAt < FarInterval) {
        return outgoing;
    }
    this->toldFarAt = now;
    for (const auto &part : news(this->fullUpstreams(totals), this->toldFar, now)) {
        for (const auto &[dataCentre, hub] : this->farHubs) {
            if (now - hub.heardAt <= HubLifetime) {
                outgoing.push_back({.vm = hub.vm, .message = messageOf(part)});
            }
        }
    }
    return outgoing;
}

std::vector<Core::LoadChanged> LoadExchange::expire(TimePoint now)
{
    std::vector<Core::LoadChanged> changes;
    for (const auto upstream : this->others.expire(now)) {
        this->append(changes, upstream, this->others.at(upstream, now), false, now);
    }
    std::erase_if(this->heard, [&](const auto &entry) {
        const bool silent = now - entry.second.at > HeardLifetime;
        if (silent && entry.second.inFlight > 0) {
            this->append(changes, entry.first, 0, true, now);
        }
        return silent;
    });
    return changes;
}

std::map<std::string, double> LoadExchange::sample(TimePoint now)
{
    // The hub's own sums are more recent than the totals of another hub. Other VMs only have the received totals.
    auto totals = this->nearTotals(now);
    for (const auto &[upstream, told] : this->heard) {
        if (now - told.at <= HeardLifetime) {
            totals[upstream] = std::max(totals[upstream], told.inFlight);
        }
    }
    std::map<std::string, unsigned> inFlight;
    for (const auto &[number, requests] : totals) {
        const auto known = this->upstreams.find(number);
        if (known != this->upstreams.end() && known->second.dataCentre == this->ownDataCentre) {
            inFlight[known->second.service] += requests;
        }
    }
    return this->serviceLoad.sample(inFlight);
}

double LoadExchange::inFlight(const std::string &service, TimePoint now) const
{
    return this->serviceLoad.inFlight(service, now);
}

double LoadExchange::busiest(const std::string &service, TimePoint now) const
{
    return this->serviceLoad.busiest(service, now);
}

} // namespace Verbenadock::Fleet
