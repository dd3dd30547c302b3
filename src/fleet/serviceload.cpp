#include "verbenadock/fleet/serviceload.h"

#include <algorithm>
#include <utility>

namespace Verbenadock::Fleet {

namespace {

// With a sample every 400 ms, the smoothed load follows a change within about 2 s, and single requests have little
// influence.
constexpr double NewestSampleWeight = 0.2;

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

void ServiceLoad::setReportedLoad(const std::string &service, const std::string &dataCentre, double load, TimePoint now)
{
    this->reported[service][dataCentre] = {.load = load, .at = now};
}

double ServiceLoad::highestLoad(const std::string &service, TimePoint now) const
{
    const auto own = this->smoothed.find(service);
    double highest = own == this->smoothed.end() ? 0 : own->second;
    if (const auto reports = this->reported.find(service); reports != this->reported.end()) {
        for (const auto &[dataCentre, last] : reports->second) {
            highest = now - last.at <= ReportLifetime ? std::max(highest, last.load) : highest;
        }
    }
    return highest;
}

double ServiceLoad::inFlight(const std::string &service, TimePoint now) const
{
    const auto own = this->smoothed.find(service);
    double sum = own == this->smoothed.end() ? 0 : own->second * this->slotsIn(service, this->ownDataCentre);
    if (const auto reports = this->reported.find(service); reports != this->reported.end()) {
        for (const auto &[dataCentre, last] : reports->second) {
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
        const double current = requests == inFlight.end() ? 0 : static_cast<double>(requests->second) / count;
        const auto [smooth, isNew] = this->smoothed.try_emplace(service, current);
        smooth->second += NewestSampleWeight * (current - smooth->second);
    }
    return this->smoothed;
}

} // namespace Verbenadock::Fleet
