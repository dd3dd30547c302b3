#ifndef VERBENADOCK_PROXY_EVIDENCEPOOL_H
#define VERBENADOCK_PROXY_EVIDENCEPOOL_H

#include "verbenadock/control/message.h"
#include "verbenadock/core/effect.h"

#include <map>
#include <vector>

namespace Verbenadock::Proxy::internal {

/// Aggregates the outcomes of attempts by upstream and cause between two reports to the agent.
class EvidencePool
{
public:
    void add(const Core::ReportEvidence &evidence);

    /// Returns the sums and resets them.
    std::vector<Control::UpstreamEvidence> take();

private:
    std::map<UpstreamKey, Control::UpstreamEvidence> sums;
};

} // namespace Verbenadock::Proxy::internal

#endif
