#include "verbenadock/mesh/fleetload.h"

#include <utility>

namespace Verbenadock::Mesh {

namespace {

// Nearly all requests end within 2 s; a VM reports each end.
constexpr Duration ShareLifetime = std::chrono::seconds(2);

} // namespace

UpstreamLoad FleetLoad::totalOf(const Key &key, const std::map<std::string, Share> &shares)
{
    UpstreamLoad load{.service = key.first, .upstream = key.second, .inFlight = 0};
    for (const auto &[vm, share] : shares) {
        load.inFlight += share.inFlight;
    }
    return load;
}

UpstreamLoad FleetLoad::note(const LoadSeen &load, TimePoint now)
{
    const Key key(load.service, load.upstream);
    auto &shares = this->upstreams[key];
    if (load.inFlight == 0) {
        shares.erase(load.vm);
    } else {
        shares[load.vm] = {.inFlight = static_cast<unsigned>(load.inFlight), .at = now};
    }
    auto total = totalOf(key, shares);
    if (shares.empty()) {
        this->upstreams.erase(key);
    }
    return total;
}

std::vector<UpstreamLoad> FleetLoad::all() const
{
    std::vector<UpstreamLoad> result;
    for (const auto &[key, shares] : this->upstreams) {
        result.push_back(totalOf(key, shares));
    }
    return result;
}

unsigned FleetLoad::inFlight(const std::string &service) const
{
    unsigned sum = 0;
    for (auto entry = this->upstreams.lower_bound({service, {}});
         entry != this->upstreams.end() && entry->first.first == service;
         ++entry) {
        sum += totalOf(entry->first, entry->second).inFlight;
    }
    return sum;
}

std::vector<UpstreamLoad> FleetLoad::expire(TimePoint now)
{
    std::vector<UpstreamLoad> changed;
    for (auto entry = this->upstreams.begin(); entry != this->upstreams.end();) {
        auto &[key, shares] = *entry;
        const auto dropped = std::erase_if(shares, [now](const auto &share) {
            return now - share.second.at > ShareLifetime;
        });
        if (dropped > 0) {
            changed.push_back(totalOf(key, shares));
        }
        entry = shares.empty() ? this->upstreams.erase(entry) : std::next(entry);
    }
    return changed;
}

} // namespace Verbenadock::Mesh
