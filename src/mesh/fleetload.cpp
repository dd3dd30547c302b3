#include "verbenadock/mesh/fleetload.h"

namespace Verbenadock::Mesh {

namespace {

// VMs resend unchanged values once a second, and one of these messages may be lost.
constexpr Duration ShareLifetime = std::chrono::milliseconds(2500);

} // namespace

unsigned FleetLoad::totalOf(const Shares &shares, TimePoint now)
{
    // Totals may be read before expire() when the process was paused.
    unsigned total = 0;
    for (const auto &[vm, share] : shares) {
        total += now - share.at <= ShareLifetime ? share.inFlight : 0;
    }
    return total;
}

void FleetLoad::note(const VmLoads &loads, TimePoint now)
{
    for (const auto &load : loads.loads) {
        if (load.inFlight > 0) {
            this->upstreams[load.upstream].insert_or_assign(
                loads.vm, Share{.inFlight = static_cast<unsigned>(load.inFlight), .at = now});
            continue;
        }
        const auto known = this->upstreams.find(load.upstream);
        if (known != this->upstreams.end() && known->second.erase(loads.vm) > 0 && known->second.empty()) {
            this->upstreams.erase(known);
        }
    }
}

std::vector<UpstreamNumber> FleetLoad::expire(TimePoint now)
{
    std::vector<UpstreamNumber> changed;
    for (auto entry = this->upstreams.begin(); entry != this->upstreams.end();) {
        auto &[upstream, shares] = *entry;
        const auto dropped = std::erase_if(shares, [now](const auto &share) {
            return now - share.second.at > ShareLifetime;
        });
        if (dropped > 0) {
            changed.push_back(upstream);
        }
        entry = shares.empty() ? this->upstreams.erase(entry) : std::next(entry);
    }
    return changed;
}

unsigned FleetLoad::at(UpstreamNumber upstream, TimePoint now) const
{
    const auto known = this->upstreams.find(upstream);
    return known == this->upstreams.end() ? 0 : totalOf(known->second, now);
}

std::map<UpstreamNumber, unsigned> FleetLoad::all(TimePoint now) const
{
    std::map<UpstreamNumber, unsigned> result;
    for (const auto &[upstream, shares] : this->upstreams) {
        if (const auto total = totalOf(shares, now); total > 0) {
            result.emplace(upstream, total);
        }
    }
    return result;
}

} // namespace Verbenadock::Mesh
