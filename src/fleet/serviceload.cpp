#include "verbenadock/fleet/serviceload.h"

#include <utility>

namespace Verbenadock::Fleet {

namespace {

// With a sample every 400 ms the load follows within about 2 s; single requests make little difference.
constexpr double NewestWeight = 0.2;

} // namespace

ServiceLoad::ServiceLoad(std::string dataCentre)
    : ownDataCentre(std::move(dataCentre))
{
}

void ServiceLoad::configure(const Core::Configuration &configuration)
{
    this->slots.clear();
    for (const auto &bundle : configuration.bundles) {
        for (const auto &service : bundle.services) {
            for (const auto &upstream : service.upstreams) {
                this->slots[service.name] += upstream.dataCentre == this->ownDataCentre ? upstream.slots : 0;
            }
        }
    }
    std::erase_if(this->smoothed, [this](const auto &entry) {
        return !this->slots.contains(entry.first);
    });
}

void ServiceLoad::note(const std::string &service, const std::string &upstream, unsigned inFlight)
{
    auto &requests = this->own[service];
    if (inFlight > 0) {
        requests[upstream] = inFlight;
    } else {
        requests.erase(upstream);
    }
}

std::map<std::string, double> ServiceLoad::sample(const Mesh::FleetLoad &others)
{
    for (const auto &[service, count] : this->slots) {
        if (count == 0) {
            continue;
        }
        unsigned inFlight = others.inFlight(service);
        for (const auto &[upstream, requests] : this->own[service]) {
            inFlight += requests;
        }
        const double now = static_cast<double>(inFlight) / count;
        const auto [entry, isNew] = this->smoothed.try_emplace(service, now);
        entry->second += NewestWeight * (now - entry->second);
    }
    return this->smoothed;
}

} // namespace Verbenadock::Fleet
