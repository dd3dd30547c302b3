#ifndef VERBENADOCK_CONTROL_EVIDENCEPOOL_H
#define VERBENADOCK_CONTROL_EVIDENCEPOOL_H

#include "verbenadock/bundle/bundle.h"
#include "verbenadock/control/agentreducer.h"
#include "verbenadock/health/servicedetector.h"

#include <set>

namespace Verbenadock::Control::internal {

struct ServiceKey
{
    std::string bundle;
    std::string service;

    auto operator<=>(const ServiceKey &) const = default;
};

/// Judges the upstreams of the services that this agent collects evidence for, on the outcomes of all observers.
class EvidencePool
{
public:
    explicit EvidencePool(AgentCounters &agentCounters);

    /// Takes over a bundle in force.
    void configure(const Bundles::Bundle &bundle);

    void add(TimePoint now, const EvidenceReport &report);

    /// Moves on and returns the verdicts that changed. A sole VM needs no second observer.
    std::vector<UpstreamVerdict> evaluate(TimePoint now, bool soleVm);

    std::optional<TimePoint> nextDeadline() const;
    std::vector<UpstreamKey> sick() const;
    std::size_t services() const;

private:
    struct Pool
    {
        explicit Pool(const Bundles::Service &service);

        Health::ServiceDetector detector;
        double slowFactor;
        /// When each observer last reported failures of an upstream.
        std::map<std::string, std::map<std::string, TimePoint>> observers;
        std::set<std::string> ejected;
        std::set<std::string> sick;
    };

    void addToPool(TimePoint now,
                   Pool &pool,
                   const std::string &observer,
                   const std::vector<UpstreamEvidence> &evidence);
    void evaluatePool(TimePoint now, const ServiceKey &key, Pool &pool, bool soleVm, std::vector<UpstreamVerdict> &out);

    AgentCounters &counters;
    std::map<ServiceKey, Bundles::Service> known;
    std::map<ServiceKey, Pool> pools;
};

} // namespace Verbenadock::Control::internal

#endif
