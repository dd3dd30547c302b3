#include "verbenadock/fleet/serviceload.h"

#include <algorithm>
#include <utility>

namespace Verbenadock::Fleet {

namespace {

// With a sample every 400 ms, the smoothed load follows a change within about 2 s, and single requests have little
// influence.
constexpr double NewestWeight = 0.2;

// Other data centres report every 1.2 s.
constexpr Duration ReportLifetime = std::chrono::seconds(4);

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
                this->slots[service.name][upstream.dataCentre] += upstream.slots;
            }
        }
    }
    std::erase_if(this->smoothed, [this](const auto &entry) {
        return !this->slots.contains(entry.first);
    });
}

void ServiceLoad::noteDataCentre(const std::string &service, const std::string &dataCentre, double load, TimePoint now)
{
    this->reported[service][dataCentre] = {.load = load, .at = now};
}

double ServiceLoad::busiest(const std::string &service, TimePoint now) const
{
    const auto own = this->smoothed.find(service);
    double most = own == this->smoothed.end() ? 0 : own->second;
    if (const auto others = this->reported.find(service); others != this->reported.end()) {
        for (const auto &[dataCentre, last] : others->second) {
            most = now - last.at <= ReportLifetime ? std::max(most, last.load) : most;
        }
    }
    return most;
}

double ServiceLoad::inFlight(const std::string &service, TimePoint now) const
{
    const auto own = this->smoothed.find(service);
    double sum = own == this->smoothed.end() ? 0 : own->second * this->slotsIn(service, this->ownDataCentre);
    if (const auto others = this->reported.find(service); others != this->reported.end()) {
        for (const auto &[dataCentre, last] : others->second) {
            const bool counts = dataCentre != this->ownDataCentre && now - last.at <= ReportLifetime;
            sum += counts ? last.load * this->slotsIn(service, dataCentre) : 0;
        }
    }
    return sum;
}

unsigned ServiceLoad::slotsIn(const std::string &service, const std::string &dataCentre) const
{
    const auto services = this->slots.find(service);
    if (services == this->slots.end()) {
        return 0;
    }
    const auto count = services->second.find(dataCentre);
    return count == services->second.end() ? 0 : count->second;
}

std::map<std::string, double> ServiceLoad::sample(const std::map<std::string, unsigned> &inFlight)
{
    for (const auto &entry : this->slots) {
        const auto &service = entry.first;
        const auto count = this->slotsIn(service, this->ownDataCentre);
        if (count == 0) {
            continue;
        }
        const auto requests = inFlight.find(service);
        const double now = requests == inFlight.end() ? 0 : static_cast<double>(requests->second) / count;
        const auto [smooth, isNew] = this->smoothed.try_emplace(service, now);
        smooth->second += NewestWeight * (now - smooth->second);
    }
    return this->smoothed;
}

} // namespace Verbenadock::Fleet
