#include "evidencepool.h"

#include "verbenadock/health/servicesettings.h"

#include <algorithm>
#include <cstdint>

namespace Verbenadock::Control::internal {

namespace {

// Older failures do not count as an observation of the current state.
constexpr Duration ObservationLifetime = std::chrono::seconds(30);
constexpr std::size_t RequiredObservers = 2;
// A report covers a fraction of a second; larger counts come from a faulty or hostile entry.
constexpr std::uint64_t MaxSamples = 2000;

std::uint64_t successes(const UpstreamEvidence &evidence)
{
    const auto found = evidence.counts.find(Health::Cause::Success);
    return found == evidence.counts.end() ? 0 : found->second;
}

bool hasFailures(const UpstreamEvidence &evidence)
{
    return std::any_of(evidence.counts.begin(), evidence.counts.end(), [](const auto &item) {
        return item.second > 0 && Health::isFailure(item.first);
    });
}

/// True if the mean latency of the successes at this upstream exceeds slowFactor times that at the other upstreams.
bool isSlow(const UpstreamEvidence &evidence, const std::vector<UpstreamEvidence> &all, double slowFactor)
{
    std::uint64_t count = 0;
    std::uint64_t sum = 0;
    for (const auto &sibling : all) {
        if (sibling.upstream != evidence.upstream) {
            count += successes(sibling);
            sum += sibling.latencySum;
        }
    }
    if (count == 0 || successes(evidence) == 0) {
        return false;
    }
    const double own = static_cast<double>(evidence.latencySum) / static_cast<double>(successes(evidence));
    return own > slowFactor * static_cast<double>(sum) / static_cast<double>(count);
}

/// Spreads the causes of a report evenly, because consecutive failures would look like an outage.
std::vector<Health::Cause> interleaveCauses(const std::map<Health::Cause, std::uint32_t> &counts)
{
    std::uint64_t total = 0;
    for (const auto &[cause, count] : counts) {
        total += count;
    }
    std::vector<std::pair<double, Health::Cause>> positions;
    const double scale = total > MaxSamples ? static_cast<double>(MaxSamples) / static_cast<double>(total) : 1;
    for (const auto &[cause, count] : counts) {
        const auto kept = static_cast<std::uint64_t>(static_cast<double>(count) * scale);
        for (std::uint64_t index = 0; index < kept; ++index) {
            positions.emplace_back((static_cast<double>(index) + 0.5) / static_cast<double>(kept), cause);
        }
    }
    std::sort(positions.begin(), positions.end());
    std::vector<Health::Cause> causes;
    causes.reserve(positions.size());
    for (const auto &[position, cause] : positions) {
        causes.push_back(cause);
    }
    return causes;
}

} // namespace

EvidencePool::Pool::Pool(const Bundles::Service &service)
    : detector(Health::detectorSettings(service), Health::upstreamCapacities(service))
    , slowFactor(service.detection.slowFactor)
{
}

EvidencePool::EvidencePool(AgentCounters &agentCounters)
    : counters(agentCounters)
{
}

void EvidencePool::configure(const Bundles::Bundle &bundle)
{
    std::erase_if(this->configuredServices, [&](const auto &item) {
        return item.first.bundle == bundle.name;
    });
    for (const auto &service : bundle.services) {
        this->configuredServices.emplace(ServiceKey{bundle.name, service.name}, service);
    }
    std::erase_if(this->pools, [&](const auto &item) {
        return !this->configuredServices.contains(item.first);
    });
    for (auto &[key, pool] : this->pools) {
        if (key.bundle == bundle.name) {
            const auto &service = this->configuredServices.at(key);
            pool.detector.reconfigure(Health::detectorSettings(service), Health::upstreamCapacities(service));
            pool.slowFactor = service.detection.slowFactor;
        }
    }
}

void EvidencePool::add(TimePoint now, const EvidenceReport &report)
{
    ++this->counters.evidenceReports;
    std::map<ServiceKey, std::vector<UpstreamEvidence>> byService;
    for (const auto &evidence : report.upstreams) {
        byService[{evidence.upstream.bundle, evidence.upstream.service}].push_back(evidence);
    }
    for (const auto &[key, evidence] : byService) {
        const auto service = this->configuredServices.find(key);
        if (service != this->configuredServices.end()) {
            auto &pool = this->pools.try_emplace(key, service->second).first->second;
            this->addToPool(now, pool, report.observer, evidence);
        }
    }
}

void EvidencePool::addToPool(TimePoint now,
                             Pool &pool,
                             const std::string &observer,
                             const std::vector<UpstreamEvidence> &evidence)
{
    for (const auto &upstream : evidence) {
        if (hasFailures(upstream) || isSlow(upstream, evidence, pool.slowFactor)) {
            pool.observers[upstream.upstream.upstream][observer] = now;
        }
        const auto count = static_cast<std::int64_t>(std::max<std::uint64_t>(successes(upstream), 1));
        const Duration latency(static_cast<std::int64_t>(upstream.latencySum) / count);
        for (const auto cause : interleaveCauses(upstream.counts)) {
            pool.detector.record(upstream.upstream.upstream, {.at = now, .cause = cause, .latency = latency});
        }
    }
}

std::vector<UpstreamVerdict> EvidencePool::evaluate(TimePoint now, bool soleVm)
{
    std::vector<UpstreamVerdict> changes;
    for (auto &[key, pool] : this->pools) {
        this->evaluatePool(now, key, pool, soleVm, changes);
    }
    return changes;
}

void EvidencePool::evaluatePool(TimePoint now,
                                const ServiceKey &key,
                                Pool &pool,
                                bool soleVm,
                                std::vector<UpstreamVerdict> &changes)
{
    pool.detector.evaluate(now);
    std::set<std::string> ejected;
    for (const auto &report : pool.detector.report(now)) {
        // An upstream that the floor keeps in use is unhealthy too; each entry applies the floor to all verdicts.
        if (report.state == Health::HealthState::Ejected || report.state == Health::HealthState::HeldByFloor) {
            ejected.insert(report.upstream);
        }
    }
    std::set<std::string> unhealthy;
    for (const auto &upstream : ejected) {
        auto &observers = pool.observers[upstream];
        std::erase_if(observers, [&](const auto &item) {
            return now - item.second > ObservationLifetime;
        });
        const bool confirmed = soleVm || observers.size() >= RequiredObservers || pool.unhealthy.contains(upstream);
        if (confirmed) {
            unhealthy.insert(upstream);
        } else if (!pool.ejected.contains(upstream)) {
            ++this->counters.unsupportedVerdicts;
        }
    }
    for (const auto &upstream : unhealthy) {
        if (!pool.unhealthy.contains(upstream)) {
            changes.push_back({.upstream = {key.bundle, key.service, upstream}, .sick = true});
        }
    }
    for (const auto &upstream : pool.unhealthy) {
        if (!unhealthy.contains(upstream)) {
            changes.push_back({.upstream = {key.bundle, key.service, upstream}, .sick = false});
        }
    }
    pool.ejected = std::move(ejected);
    pool.unhealthy = std::move(unhealthy);
}

std::optional<TimePoint> EvidencePool::nextDeadline() const
{
    std::optional<TimePoint> earliest;
    for (const auto &[key, pool] : this->pools) {
        const auto next = pool.detector.nextDeadline();
        if (next) {
            earliest = earliest ? std::min(*earliest, *next) : *next;
        }
    }
    return earliest;
}

std::vector<UpstreamKey> EvidencePool::unhealthy() const
{
    std::vector<UpstreamKey> result;
    for (const auto &[key, pool] : this->pools) {
        for (const auto &upstream : pool.unhealthy) {
            result.push_back({key.bundle, key.service, upstream});
        }
    }
    return result;
}

std::size_t EvidencePool::services() const
{
    return this->pools.size();
}

} // namespace Verbenadock::Control::internal
