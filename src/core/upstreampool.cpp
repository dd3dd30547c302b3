#include "upstreampool.h"

#include "upstreamload.h"
#include "verbenadock/base/drain.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace Verbenadock::Core::Internal {

namespace {

/// Backoff after shed requests. The first wait is about the time in which a slot becomes free.
constexpr Duration FirstShedBackOff = std::chrono::milliseconds(5);
constexpr Duration LongestShedBackOff = std::chrono::milliseconds(250);
/// Backoff after failed connection attempts. It bounds the cost of a stopped upstream until the detector ejects it.
constexpr Duration FirstConnectBackOff = std::chrono::milliseconds(100);
constexpr Duration LongestConnectBackOff = std::chrono::seconds(2);
/// Times for which a path stays suspect: a network interruption usually lasts some seconds, while an upstream that
/// answers late may only be overloaded for a moment.
constexpr Duration UnreachableSuspectTime = std::chrono::seconds(5);
constexpr Duration OverdueSuspectTime = std::chrono::seconds(3);
/// Upstreams that drop idle connections early or reset requests do so for some seconds.
constexpr Duration StaleConnectionSuspectTime = std::chrono::seconds(4);

/// Time for which the announcements of an upstream are kept after its removal from the configuration. The entry of an
/// upstream that is alive can end and return, for example in an outage of the store.
constexpr Duration AbsentNoticeLifetime = std::chrono::seconds(60);

} // namespace

void UpstreamPool::configure(const std::string &bundle,
                             const Bundles::Service *service,
                             const std::string &ownDataCentre,
                             TimePoint now)
{
    for (const auto index : std::exchange(this->configuredIndices, {})) {
        this->upstreams[index].configured = false;
    }
    this->indexById.clear();
    if (service == nullptr) {
        this->restoreNotices(now);
        return;
    }
    this->prefersLocal = service->prefersOwnDataCentre;
    this->balancing = service->balancing;
    std::set<std::string_view> dataCentreNames;
    for (const auto &upstream : service->upstreams) {
        dataCentreNames.insert(upstream.dataCentre);
        const auto index = this->indexFor(upstream);
        auto &state = this->upstreams[index];
        const bool own = upstream.dataCentre == ownDataCentre;
        const bool isSame = state.endpoint == upstream.endpoint && state.key.upstream == upstream.id
                            && state.slots == upstream.slots && state.ownDataCentre == own;
        if (!isSame) {
            // The state, including a drain, is kept when the configuration of the upstream did not change.
            state = UpstreamState{
                .key = {.bundle = bundle, .service = service->name, .upstream = upstream.id},
                .endpoint = upstream.endpoint,
                .slots = upstream.slots,
                .dataCentre = upstream.dataCentre,
                .ownDataCentre = own,
                .concurrency = static_cast<double>(upstream.slots),
                .inFlight = state.inFlight,
                .otherEntriesInFlight = 0,
                .admission = {},
                .warmUntil = now + upstream.remainingWarmUp,
            };
        }
        state.instance = upstream.instance;
        state.configured = true;
        this->configuredIndices.push_back(index);
        this->indexById.emplace(upstream.id, index);
    }
    this->dataCentres = dataCentreNames.size();
    this->restoreNotices(now);
}

void UpstreamPool::restoreNotices(TimePoint now)
{
    this->forgetOldNotices(now);
    for (const auto index : this->configuredIndices) {
        // A final announcement holds only as long as its notice is kept.
        auto &state = this->upstreams[index];
        state.drainingUntil = state.drainingUntil == TimePoint::max() ? TimePoint{} : state.drainingUntil;
    }
    for (auto &[id, notice] : this->notices) {
        const auto found = this->indexById.find(id);
        if (found == this->indexById.end()) {
            notice.absentSince = notice.absentSince.value_or(now);
            continue;
        }
        notice.absentSince.reset();
        if (notice.leavingUntil > now) {
            this->keepLeaving(found->second, notice.leavingUntil);
        }
        this->upstreams[found->second].pausedUntil = notice.pausedUntil;
    }
}

void UpstreamPool::forgetOldNotices(TimePoint now)
{
    std::erase_if(this->notices, [now](const auto &entry) {
        const auto &notice = entry.second;
        const bool isOver = notice.leavingUntil <= now && notice.pausedUntil <= now;
        return isOver || (notice.absentSince && now - *notice.absentSince >= AbsentNoticeLifetime);
    });
}

bool UpstreamPool::remembersAnnouncements(TimePoint now)
{
    this->forgetOldNotices(now);
    return !this->notices.empty();
}

std::uint32_t UpstreamPool::indexFor(const Bundles::Upstream &upstream)
{
    // An upstream that was removed and returns gets its old index, so that its requests in flight stay counted.
    auto found = std::find_if(this->upstreams.begin(), this->upstreams.end(), [&](const UpstreamState &state) {
        return !state.configured && state.endpoint == upstream.endpoint && state.key.upstream == upstream.id;
    });
    if (found == this->upstreams.end()) {
        found = std::find_if(this->upstreams.begin(), this->upstreams.end(), [](const UpstreamState &state) {
            return !state.configured && state.inFlight == 0;
        });
    }
    if (found == this->upstreams.end()) {
        this->upstreams.emplace_back();
        return static_cast<std::uint32_t>(this->upstreams.size() - 1);
    }
    return static_cast<std::uint32_t>(found - this->upstreams.begin());
}

void UpstreamPool::noteDataCentreLoad(const std::string &dataCentre, double load, TimePoint now)
{
    auto &report = this->dataCentreLoads[dataCentre];
    report.load = load;
    report.at = now;
}

bool UpstreamPool::anyRestricted() const
{
    return !this->restricted.empty();
}

void UpstreamPool::start(std::uint32_t upstream, TimePoint now)
{
    ++this->upstreams[upstream].inFlight;
    if (this->balancing == Bundles::Balancing::Even) {
        this->reports.noteOwnChange(upstream, 1, now);
    }
}

void UpstreamPool::finish(std::uint32_t upstream, TimePoint now)
{
    --this->upstreams[upstream].inFlight;
    if (this->balancing == Bundles::Balancing::Even) {
        this->reports.noteOwnChange(upstream, -1, now);
    }
}

void UpstreamPool::noteOtherEntriesLoad(const LoadChanged &change)
{
    const auto found = this->indexById.find(change.upstream.upstream);
    if (found == this->indexById.end()) {
        return;
    }
    auto &state = this->upstreams[found->second];
    // The sum does not contain own requests that started just before it arrived, but contains those that ended then.
    const auto included = this->balancing == Bundles::Balancing::Even
                              ? this->reports.ownInReport(found->second, state.inFlight, change.at)
                              : state.inFlight;
    const auto own = change.includesOwn ? included : 0;
    state.otherEntriesInFlight = std::max(change.otherEntriesInFlight, own) - own;
    if (state.ownDataCentre) {
        this->reports.noteReport(change.at);
    } else {
        this->dataCentreLoads[state.dataCentre].detailedAt = change.at;
    }
}

void UpstreamPool::noteLatency(std::uint32_t upstream, Duration latency, TimePoint now)
{
    auto &state = this->upstreams[upstream];
    const double kept = agedWeight(state.latencyAt, now);
    state.latencySum = state.latencySum * kept + std::chrono::duration<double>(latency).count();
    state.latencyCount = state.latencyCount * kept + 1;
    state.latencyAt = now;
    this->reports.noteLatency(latency);
}

void UpstreamPool::noteFailure(std::uint32_t upstream)
{
    this->upstreams[upstream].lastSuccessAt = TimePoint{};
    this->upstreams[upstream].successes = 0;
}

void UpstreamPool::noteSuccess(std::uint32_t upstream, TimePoint now)
{
    auto &state = this->upstreams[upstream];
    state.successes = 1 + (state.successes > 0 ? state.successes * agedWeight(state.lastSuccessAt, now) : 0);
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
    // Jitter keeps entries whose requests were shed at the same moment from retrying at the same moment.
    const double jitter = 0.5 + random.fraction();
    upstream.backOffUntil
        = now + Duration(static_cast<Duration::rep>(static_cast<double>(upstream.backOff.count()) * jitter));
}

void UpstreamPool::noteShed(std::uint32_t upstream, TimePoint now, Random &random)
{
    auto &state = this->upstreams[upstream];
    if (state.backOffUntil > now) {
        // Several requests shed at about the same time count as a single sign of overload.
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
    state.pathSuspectUntil = now + UnreachableSuspectTime;
}

void UpstreamPool::noteOverdue(std::uint32_t upstream, TimePoint now)
{
    auto &state = this->upstreams[upstream];
    state.pathSuspectUntil = std::max(state.pathSuspectUntil, now + OverdueSuspectTime);
}

void UpstreamPool::noteStaleConnection(const std::string &upstream, TimePoint now)
{
    if (const auto found = this->indexById.find(upstream); found != this->indexById.end()) {
        this->upstreams[found->second].connectionsSuspectUntil = now + StaleConnectionSuspectTime;
    }
}

bool UpstreamPool::noteMisdirected(std::uint32_t upstream, TimePoint now)
{
    const bool isNew = this->upstreams[upstream].drainingUntil <= now;
    this->keepLeaving(upstream, now + DrainAnnouncementLifetime);
    return isNew;
}

bool UpstreamPool::noteLeaving(const std::string &upstream, TimePoint until, TimePoint now)
{
    auto &notice = this->notices[upstream];
    const bool isNew = notice.leavingUntil <= now;
    notice.leavingUntil = std::max(notice.leavingUntil, until);
    if (const auto found = this->indexById.find(upstream); found != this->indexById.end()) {
        this->keepLeaving(found->second, notice.leavingUntil);
    } else {
        notice.absentSince = notice.absentSince.value_or(now);
    }
    return isNew;
}

bool UpstreamPool::notePause(const std::string &upstream, TimePoint until, TimePoint now)
{
    auto &notice = this->notices[upstream];
    const bool isNew = notice.pausedUntil <= now;
    notice.pausedUntil = std::max(notice.pausedUntil, until);
    if (const auto found = this->indexById.find(upstream); found != this->indexById.end()) {
        this->upstreams[found->second].pausedUntil = notice.pausedUntil;
    } else {
        notice.absentSince = notice.absentSince.value_or(now);
    }
    return isNew;
}

void UpstreamPool::keepLeaving(std::uint32_t upstream, TimePoint until)
{
    auto &state = this->upstreams[upstream];
    state.drainingUntil = std::max(state.drainingUntil, until);
    this->lastDrainEnd = std::max(this->lastDrainEnd, until);
}

void UpstreamPool::setLeaving(const std::unordered_set<std::string> &addresses)
{
    for (const auto index : this->configuredIndices) {
        auto &state = this->upstreams[index];
        const bool isLeaving
            = addresses.contains(state.endpoint.address) || addresses.contains(toString(state.endpoint));
        if (state.leaving && !isLeaving) {
            state.drainingUntil = TimePoint{};
            if (const auto notice = this->notices.find(state.key.upstream); notice != this->notices.end()) {
                notice->second.leavingUntil = TimePoint{};
            }
        }
        state.leaving = isLeaving;
    }
}

std::vector<std::string> UpstreamPool::leavingIds(TimePoint now) const
{
    std::vector<std::string> ids;
    for (const auto index : this->configuredIndices) {
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

std::optional<TimePoint> UpstreamPool::nextPauseEnd(TimePoint now) const
{
    return this->notices.empty() ? std::nullopt : this->earliestAfter(now, &UpstreamState::pausedUntil);
}

std::optional<TimePoint> UpstreamPool::earliestAfter(TimePoint now, TimePoint UpstreamState::*time) const
{
    std::optional<TimePoint> earliest;
    for (const auto index : this->configuredIndices) {
        const auto candidate = this->upstreams[index].*time;
        if (candidate > now && candidate != TimePoint::max() && (!earliest || candidate < *earliest)) {
            earliest = candidate;
        }
    }
    return earliest;
}

void UpstreamPool::refreshAdmission(const Health::ServiceDetector &detector, std::uint32_t upstream, TimePoint now)
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
        this->refreshAdmission(detector, this->restricted[position - 1], now);
    }
}

void UpstreamPool::refreshAdmissions(const Health::ServiceDetector &detector, TimePoint now)
{
    this->restricted.clear();
    for (const auto index : this->configuredIndices) {
        this->refreshAdmission(detector, index, now);
    }
}

const UpstreamState &UpstreamPool::at(std::uint32_t upstream) const
{
    return this->upstreams[upstream];
}

const std::vector<std::uint32_t> &UpstreamPool::configured() const
{
    return this->configuredIndices;
}

} // namespace Verbenadock::Core::Internal
