#include "verbenadock/fleet/loadexchange.h"

#include "verbenadock/discovery/directory.h"

#include <algorithm>
#include <iterator>

namespace Verbenadock::Fleet {

namespace {

// Hubs make themselves known every 1.2 s.
constexpr Duration HubLifetime = std::chrono::seconds(4);
// A datagram may be lost, so that a load that stays is told again.
constexpr Duration RepeatInterval = std::chrono::seconds(1);
constexpr Duration HeardLifetime = std::chrono::milliseconds(2500);
// About 1 KB, far below the largest datagram that is read.
constexpr std::size_t MostInMessage = 36;
// Stands for all VMs of other data centres in what a hub tells the VMs beside it.
constexpr std::string_view Elsewhere = "*";

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
    this->slots.clear();
    for (const auto &bundle : configuration.bundles) {
        for (const auto &service : bundle.services) {
            for (const auto &upstream : service.upstreams) {
                this->slots[{service.name, upstream.id}] = upstream.slots;
            }
        }
    }
}

Core::LoadChanged LoadExchange::changeOf(const Key &key, unsigned inFlight, bool includesOwn, TimePoint now)
{
    return {.at = now,
            .upstream
            = {.bundle = std::string(Discovery::PlatformBundle), .service = key.first, .upstream = key.second},
            .othersInFlight = inFlight,
            .includesOwn = includesOwn};
}

std::vector<Outgoing> LoadExchange::observe(const Core::ReportLoad &changed, TimePoint now)
{
    Outgoing outgoing{.vm = {},
                      .message = Mesh::LoadSeen{.vm = this->ownVm,
                                                .service = changed.upstream.service,
                                                .upstream = changed.upstream.upstream,
                                                .inFlight = changed.inFlight}};
    if (changed.dataCentre == this->ownDataCentre) {
        this->serviceLoad.note(changed.upstream.service, changed.upstream.upstream, changed.inFlight);
        return {outgoing};
    }
    const auto hub = this->hubs.find(changed.dataCentre);
    if (hub == this->hubs.end() || now - hub->second.heardAt > HubLifetime) {
        return {};
    }
    outgoing.vm = hub->second.vm;
    return {outgoing};
}

LoadExchange::Update LoadExchange::handle(const Mesh::LoadSeen &seen, bool isAfar, TimePoint now)
{
    if (isAfar) {
        this->afar.note(seen, now);
    }
    const auto total = this->others.note(seen, now);
    return {.changes = {changeOf({total.service, total.upstream}, total.inFlight, false, now)}, .outgoing = {}};
}

LoadExchange::Update LoadExchange::handle(const Mesh::UpstreamLoads &loads, bool fromAfar, TimePoint now)
{
    if (loads.dataCentre == this->ownDataCentre) {
        return fromAfar ? Update{} : this->handleOwn(loads, now);
    }
    Update update;
    for (const auto &load : loads.loads) {
        const Key key(loads.service, load.upstream);
        this->heard[key] = {.inFlight = static_cast<unsigned>(load.inFlight), .at = now};
        update.changes.push_back(changeOf(key, static_cast<unsigned>(load.inFlight), true, now));
    }
    if (fromAfar) {
        update.outgoing.push_back({.vm = {}, .message = loads});
    }
    return update;
}

LoadExchange::Update LoadExchange::handleOwn(const Mesh::UpstreamLoads &loads, TimePoint now)
{
    Update update;
    for (const auto &load : loads.loads) {
        const Mesh::LoadSeen elsewhere{.vm = std::string(Elsewhere),
                                       .service = loads.service,
                                       .upstream = load.upstream,
                                       .inFlight = load.inFlight};
        const auto noted = this->handle(elsewhere, false, now);
        update.changes.insert(update.changes.end(), noted.changes.begin(), noted.changes.end());
    }
    return update;
}

void LoadExchange::handle(const Mesh::DataCentreLoad &seen, TimePoint now)
{
    this->hubs[seen.dataCentre] = {.vm = seen.vm, .heardAt = now};
    this->serviceLoad.noteDataCentre(seen.service, seen.dataCentre, static_cast<double>(seen.percent) / 100, now);
}

std::map<LoadExchange::Key, unsigned> LoadExchange::fullUpstreams() const
{
    std::map<Key, unsigned> totals;
    for (const auto &load : this->others.all()) {
        totals[{load.service, load.upstream}] += load.inFlight;
    }
    for (const auto &[service, upstreams] : this->serviceLoad.ownRequests()) {
        for (const auto &[upstream, inFlight] : upstreams) {
            totals[{service, upstream}] += inFlight;
        }
    }
    std::erase_if(totals, [this](const auto &entry) {
        const auto known = this->slots.find(entry.first);
        return known == this->slots.end() || entry.second < known->second;
    });
    return totals;
}

std::map<LoadExchange::Key, unsigned> LoadExchange::requestsFromAfar() const
{
    std::map<Key, unsigned> totals;
    for (const auto &load : this->afar.all()) {
        totals[{load.service, load.upstream}] = load.inFlight;
    }
    return totals;
}

std::vector<Mesh::UpstreamLoads> LoadExchange::news(const std::map<Key, unsigned> &loads,
                                                    std::map<Key, Told> &last,
                                                    TimePoint now) const
{
    // What is not listed any more is told once with the number zero.
    auto present = loads;
    for (const auto &entry : last) {
        present.try_emplace(entry.first, 0);
    }
    std::vector<Mesh::UpstreamLoads> messages;
    for (const auto &[key, inFlight] : present) {
        const auto known = last.find(key);
        if (known != last.end() && known->second.inFlight == inFlight && now - known->second.at < RepeatInterval) {
            continue;
        }
        if (messages.empty() || messages.back().service != key.first || messages.back().loads.size() >= MostInMessage) {
            messages.push_back(
                {.vm = this->ownVm, .dataCentre = this->ownDataCentre, .service = key.first, .loads = {}});
        }
        messages.back().loads.push_back({.upstream = key.second, .inFlight = inFlight});
        if (inFlight == 0) {
            last.erase(key);
        } else {
            last[key] = {.inFlight = inFlight, .at = now};
        }
    }
    return messages;
}

std::vector<Outgoing> LoadExchange::summarize(TimePoint now)
{
    std::vector<Outgoing> outgoing;
    const auto full = this->news(this->fullUpstreams(), this->toldHubs, now);
    for (const auto &[dataCentre, hub] : this->hubs) {
        if (now - hub.heardAt <= HubLifetime) {
            std::ranges::transform(full, std::back_inserter(outgoing), [&receiver = hub.vm](const auto &message) {
                return Outgoing{.vm = receiver, .message = message};
            });
        }
    }
    const auto fromAfar = this->news(this->requestsFromAfar(), this->toldNear, now);
    std::ranges::transform(fromAfar, std::back_inserter(outgoing), [](const auto &message) {
        return Outgoing{.vm = {}, .message = message};
    });
    return outgoing;
}

std::vector<Core::LoadChanged> LoadExchange::expire(TimePoint now)
{
    std::vector<Core::LoadChanged> changes;
    this->afar.expire(now);
    for (const auto &total : this->others.expire(now)) {
        changes.push_back(changeOf({total.service, total.upstream}, total.inFlight, false, now));
    }
    std::erase_if(this->heard, [&](const auto &entry) {
        const bool silent = now - entry.second.at > HeardLifetime;
        if (silent && entry.second.inFlight > 0) {
            changes.push_back(changeOf(entry.first, 0, true, now));
        }
        return silent;
    });
    return changes;
}

std::map<std::string, double> LoadExchange::sample()
{
    return this->serviceLoad.sample(this->others);
}

double LoadExchange::busiest(const std::string &service, TimePoint now) const
{
    return this->serviceLoad.busiest(service, now);
}

} // namespace Verbenadock::Fleet
