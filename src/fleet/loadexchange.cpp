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

LoadExchange::Update LoadExchange::handle(const Mesh::LoadSeen &seen, bool fromAfar, TimePoint now)
{
    const auto total = this->others.note(seen, now);
    Update update;
    update.changes.push_back(changeOf({total.service, total.upstream}, total.inFlight, false, now));
    if (fromAfar) {
        update.outgoing.push_back({.vm = {}, .message = seen});
    }
    return update;
}

LoadExchange::Update LoadExchange::handle(const Mesh::UpstreamLoads &loads, bool fromAfar, TimePoint now)
{
    Update update;
    if (loads.dataCentre == this->ownDataCentre) {
        return update;
    }
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

void LoadExchange::handle(const Mesh::DataCentreLoad &seen, TimePoint now)
{
    this->hubs[seen.dataCentre] = {.vm = seen.vm, .heardAt = now};
    this->serviceLoad.noteDataCentre(seen.service, seen.dataCentre, static_cast<double>(seen.percent) / 100, now);
}

std::vector<Outgoing> LoadExchange::summarize(TimePoint now)
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
    for (const auto &[key, last] : this->told) {
        totals.try_emplace(key, 0);
    }
    std::vector<Mesh::UpstreamLoads> messages;
    for (const auto &[key, inFlight] : totals) {
        const auto last = this->told.find(key);
        if (last != this->told.end() && last->second.inFlight == inFlight && now - last->second.at < RepeatInterval) {
            continue;
        }
        if (messages.empty() || messages.back().service != key.first || messages.back().loads.size() >= MostInMessage) {
            messages.push_back(
                {.vm = this->ownVm, .dataCentre = this->ownDataCentre, .service = key.first, .loads = {}});
        }
        messages.back().loads.push_back({.upstream = key.second, .inFlight = inFlight});
        if (inFlight == 0) {
            this->told.erase(key);
        } else {
            this->told[key] = {.inFlight = inFlight, .at = now};
        }
    }
    std::vector<Outgoing> outgoing;
    for (const auto &[dataCentre, hub] : this->hubs) {
        if (now - hub.heardAt <= HubLifetime) {
            std::ranges::transform(messages, std::back_inserter(outgoing), [&hub](const auto &message) {
                return Outgoing{.vm = hub.vm, .message = message};
            });
        }
    }
    return outgoing;
}

std::vector<Core::LoadChanged> LoadExchange::expire(TimePoint now)
{
    std::vector<Core::LoadChanged> changes;
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
