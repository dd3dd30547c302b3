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

/// Derives verdicts on upstreams from the pooled outcomes of all observers, for the services that this agent collects
/// evidence for.
class EvidencePool
{
public:
    explicit EvidencePool(AgentCounters &agentCounters);

    /// Applies the services of a bundle in force; removes the pools of services that are gone from the bundle.
    void configure(const Bundles::Bundle &bundle);

    void add(TimePoint now, const EvidenceReport &report);

    /// Evaluates all pools and returns the changed verdicts. With soleVm, a single observer is enough.
    std::vector<UpstreamVerdict> evaluate(TimePoint now, bool soleVm);

    std::optional<TimePoint> nextDeadline() const;
    std::vector<UpstreamKey> unhealthy() const;
    /// Number of services with a pool.
    std::size_t services() const;

private:
    struct Pool
    {
        explicit Pool(const Bundles::Service &service);

        Health::ServiceDetector detector;
        double slowFactor;
        /// Time of the last report of failures or slow answers, by upstream and observer.
        std::map<std::string, std::map<std::string, TimePoint>> observers;
        std::set<std::string> ejected;
        std::set<std::string> unhealthy;
    };

    void addToPool(TimePoint now,
                   Pool &pool,
                   const std::string &observer,
                   const std::vector<UpstreamEvidence> &evidence);
    void evaluatePool(TimePoint now,
                      const ServiceKey &key,
                      Pool &pool,
                      bool soleVm,
                      std::vector<UpstreamVerdict> &changes);

    AgentCounters &counters;
    std::map<ServiceKey, Bundles::Service> configuredServices;
    std::map<ServiceKey, Pool> pools;
};

} // namespace Verbenadock::Control::internal

#endif
