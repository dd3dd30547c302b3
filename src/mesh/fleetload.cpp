#include "verbenadock/mesh/fleetload.h"

namespace Verbenadock::Mesh {

namespace {

// VMs resend unchanged values once a second, and one of these messages may be lost.
constexpr Duration ReportLifetime = std::chrono::milliseconds(2500);

} // namespace

unsigned FleetLoad::totalOf(const VmReports &reports, TimePoint now)
{
    // Totals may be read before expire() when the process was paused.
    unsigned total = 0;
    for (const auto &[vm, report] : reports) {
        total += now - report.at <= ReportLifetime ? report.inFlight : 0;
    }
    return total;
}

void FleetLoad::update(const VmLoads &message, TimePoint now)
{
    for (const auto &load : message.loads) {
        if (load.inFlight > 0) {
            this->upstreams[load.upstream].insert_or_assign(
                message.vm, VmReport{.inFlight = static_cast<unsigned>(load.inFlight), .at = now});
            continue;
        }
        const auto found = this->upstreams.find(load.upstream);
        if (found != this->upstreams.end() && found->second.erase(message.vm) > 0 && found->second.empty()) {
            this->upstreams.erase(found);
        }
    }
}

std::vector<UpstreamNumber> FleetLoad::expire(TimePoint now)
{
    std::vector<UpstreamNumber> changed;
    for (auto entry = this->upstreams.begin(); entry != this->upstreams.end();) {
        auto &[upstream, reports] = *entry;
        const auto expired = std::erase_if(reports, [now](const auto &report) {
            return now - report.second.at > ReportLifetime;
        });
        if (expired > 0) {
            changed.push_back(upstream);
        }
        entry = reports.empty() ? this->upstreams.erase(entry) : std::next(entry);
    }
    return changed;
}

unsigned FleetLoad::inFlightAt(UpstreamNumber upstream, TimePoint now) const
{
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? 0 : totalOf(found->second, now);
}

std::map<UpstreamNumber, unsigned> FleetLoad::totals(TimePoint now) const
{
    std::map<UpstreamNumber, unsigned> result;
    for (const auto &[upstream, reports] : this->upstreams) {
        if (const auto total = totalOf(reports, now); total > 0) {
            result.emplace(upstream, total);
        }
    }
    return result;
}

} // namespace Verbenadock::Mesh
