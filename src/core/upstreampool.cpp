#include "upstreampool.h"

#include "verbenadock/base/drain.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace Verbenadock::Core::Internal {

namespace {

/// First and longest wait after shed work. The first is about the time in which a slot becomes free.
constexpr Duration FirstShedBackOff = std::chrono::milliseconds(5);
constexpr Duration LongestShedBackOff = std::chrono::milliseconds(250);
/// Waits after a failed connect. They bound what a stopped upstream costs until the detector ejects it.
constexpr Duration FirstConnectBackOff = std::chrono::milliseconds(100);
constexpr Duration LongestConnectBackOff = std::chrono::seconds(2);
/// A path that is cut stays so for some seconds; a slow upstream may be full for a moment.
constexpr Duration UnreachableMemory = std::chrono::seconds(5);
constexpr Duration OverdueMemory = std::chrono::seconds(3);
/// Upstreams that drop idle connections early, and those that reset requests, do so for some seconds.
constexpr Duration StaleMemory = std::chrono::seconds(4);

} // namespace

void UpstreamPool::configure(const std::string &bundle,
                             const Bundles::Service *service,
                             const std::string &ownDataCentre)
{
    for (const auto index : std::exchange(this->active, {})) {
        this->upstreams[index].configured = false;
    }
    this->places.clear();
    if (service == nullptr) {
        return;
    }
    this->prefersOwn = service->prefersOwnDataCentre;
    std::set<std::string_view> dataCentreNames;
    for (const auto &upstream : service->upstreams) {
        dataCentreNames.insert(upstream.dataCentre);
        const auto place = this->placeFor(upstream);
        auto &state = this->upstreams[place];
        const bool own = upstream.dataCentre == ownDataCentre;
        const bool isSame = state.endpoint == upstream.endpoint && state.key.upstream == upstream.id
                            && state.slots == upstream.slots && state.ownDataCentre == own;
        if (!isSame) {
            // A drain announcement outlives configuration changes that do not concern the upstream.
            state = UpstreamState{
                .key = {.bundle = bundle, .service = service->name, .upstream = upstream.id},
                .endpoint = upstream.endpoint,
                .slots = upstream.slots,
                .dataCentre = upstream.dataCentre,
                .ownDataCentre = own,
                .concurrency = static_cast<double>(upstream.slots),
                .inFlight = state.inFlight,
                .othersInFlight = 0,
                .admission = {},
            };
        }
        state.instance = upstream.instance;
        state.configured = true;
        this->active.push_back(place);
        this->places.emplace(upstream.id, place);
    }
    this->dataCentres = dataCentreNames.size();
}

std::uint32_t UpstreamPool::placeFor(const Bundles::Upstream &upstream)
{
    // An upstream that was removed and returns finds its requests in flight again.
    auto place = std::find_if(this->upstreams.begin(), this->upstreams.end(), [&](const UpstreamState &state) {
        return !state.configured && state.endpoint == upstream.endpoint && state.key.upstream == upstream.id;
    });
    if (place == this->upstreams.end()) {
        place = std::find_if(this->upstreams.begin(), this->upstreams.end(), [](const UpstreamState &state) {
            return !state.configured && state.inFlight == 0;
        });
    }
    if (place == this->upstreams.end()) {
        this->upstreams.emplace_back();
        return static_cast<std::uint32_t>(this->upstreams.size() - 1);
    }
    return static_cast<std::uint32_t>(place - this->upstreams.begin());
}

void UpstreamPool::noteDataCentre(const std::string &dataCentre, double load, TimePoint now)
{
    auto &known = this->others[dataCentre];
    known.load = load;
    known.at = now;
}

bool UpstreamPool::anyRestricted() const
{
    return !this->restricted.empty();
}

void UpstreamPool::start(std::uint32_t upstream)
{
    ++this->upstreams[upstream].inFlight;
}

void UpstreamPool::finish(std::uint32_t upstream)
{
    --this->upstreams[upstream].inFlight;
}

void UpstreamPool::noteOthers(const LoadChanged &change)
{
    const auto place = this->places.find(change.upstream.upstream);
    if (place == this->places.end()) {
        return;
    }
    auto &state = this->upstreams[place->second];
    const auto own = change.includesOwn ? state.inFlight : 0;
    state.othersInFlight = std::max(change.othersInFlight, own) - own;
    if (!state.ownDataCentre) {
        this->others[state.dataCentre].detailedAt = change.at;
    }
}

void UpstreamPool::noteFailure(std::uint32_t upstream)
{
    this->upstreams[upstream].lastSuccessAt = TimePoint{};
}

void UpstreamPool::noteSuccess(std::uint32_t upstream, TimePoint now)
{
    auto &state = this->upstreams[upstream];
    state.lastSuccessAt = now;
    state.backOff = Duration(0);
    state.concurrency = std::min<double>(state.slots, state.concurrency + 1 / state.concurrency);
}

void UpstreamPool::lengthenBackOff(UpstreamState &upstream,
                                   Duration first,
                                   Duration longest,
                                   TimePoint now,
                                   Random &random)
{
    upstream.backOff = std::clamp(upstream.backOff * 2, first, longest);
    // Entries that were shed at the same moment must not return at the same moment.
    const double jitter = 0.5 + random.fraction();
    upstream.backOffUntil
        = now + Duration(static_cast<Duration::rep>(static_cast<double>(upstream.backOff.count()) * jitter));
}

void UpstreamPool::noteShed(std::uint32_t upstream, TimePoint now, Random &random)
{
    auto &state = this->upstreams[upstream];
    if (state.backOffUntil > now) {
        // Several requests shed at the same moment are one sign of overload.
        return;
    }
    state.concurrency = std::max(1.0, state.concurrency / 2);
    lengthenBackOff(state, FirstShedBackOff, LongestShedBackOff, now, random);
}

void UpstreamPool::noteUnreachable(std::uint32_t upstream, TimePoint now, Random &random)
{
    auto &state = this->upstreams[upstream];
    if (state.backOffUntil <= now) {
        lengthenBackOff(state, FirstConnectBackOff, LongestConnectBackOff, now, random);
    }
    state.pathDoubtedUntil = now + UnreachableMemory;
}

void UpstreamPool::noteOverdue(std::uint32_t upstream, TimePoint now)
{
    auto &state = this->upstreams[upstream];
    state.pathDoubtedUntil = std::max(state.pathDoubtedUntil, now + OverdueMemory);
}

void UpstreamPool::noteStaleConnection(const std::string &upstream, TimePoint now)
{
    if (const auto place = this->places.find(upstream); place != this->places.end()) {
        this->upstreams[place->second].connectionsDoubtedUntil = now + StaleMemory;
    }
}

bool UpstreamPool::noteDraining(std::uint32_t upstream, TimePoint now)
{
    auto &state = this->upstreams[upstream];
    const bool isNew = state.drainingUntil <= now;
    state.drainingUntil = now + DrainAnnouncementLifetime;
    this->lastDrainEnd = state.drainingUntil;
    return isNew;
}

void UpstreamPool::setLeaving(const std::unordered_set<std::string> &addresses)
{
    for (const auto index : this->active) {
        auto &state = this->upstreams[index];
        const bool leaves = addresses.contains(state.endpoint.address) || addresses.contains(toString(state.endpoint));
        if (state.leaving && !leaves) {
            state.drainingUntil = TimePoint{};
        }
        state.leaving = leaves;
    }
}

std::vector<std::string> UpstreamPool::leavingIds(TimePoint now) const
{
    std::vector<std::string> ids;
    for (const auto index : this->active) {
        const auto &state = this->upstreams[index];
        if (state.leaving || state.drainingUntil > now) {
            ids.push_back(state.key.upstream);
        }
    }
    return ids;
}

std::optional<TimePoint> UpstreamPool::nextBackOffEnd(TimePoint now) const
{
    return this->earliestAfter(now, &UpstreamState::backOffUntil);
}

std::optional<TimePoint> UpstreamPool::nextDrainEnd(TimePoint now) const
{
    return this->lastDrainEnd > now ? this->earliestAfter(now, &UpstreamState::drainingUntil) : std::nullopt;
}

std::optional<TimePoint> UpstreamPool::earliestAfter(TimePoint now, TimePoint UpstreamState::*time) const
{
    std::optional<TimePoint> earliest;
    for (const auto index : this->active) {
        const auto candidate = this->upstreams[index].*time;
        if (candidate > now && (!earliest || candidate < *earliest)) {
            earliest = candidate;
        }
    }
    return earliest;
}

void UpstreamPool::ask(const Health::ServiceDetector &detector, std::uint32_t upstream, TimePoint now)
{
    auto &state = this->upstreams[upstream];
    state.admission = detector.admission(state.key.upstream, now);
    const bool isRestricted = !state.admission.allowed || state.admission.trialOnly || state.admission.share < 1;
    const auto listed = std::find(this->restricted.begin(), this->restricted.end(), upstream);
    if (isRestricted && listed == this->restricted.end()) {
        this->restricted.push_back(upstream);
    } else if (!isRestricted && listed != this->restricted.end()) {
        this->restricted.erase(listed);
    }
}

void UpstreamPool::refreshRestricted(const Health::ServiceDetector &detector, TimePoint now)
{
    for (std::size_t position = this->restricted.size(); position > 0; --position) {
        this->ask(detector, this->restricted[position - 1], now);
    }
}

void UpstreamPool::refreshAdmissions(const Health::ServiceDetector &detector, TimePoint now)
{
    this->restricted.clear();
    for (const auto index : this->active) {
        this->ask(detector, index, now);
    }
}

const UpstreamState &UpstreamPool::at(std::uint32_t upstream) const
{
    return this->upstreams[upstream];
}

const std::vector<std::uint32_t> &UpstreamPool::configured() const
{
    return this->active;
}

} // namespace Verbenadock::Core::Internal
