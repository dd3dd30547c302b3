#include "evidencepool.h"

#include <utility>

namespace Verbenadock::Proxy::internal {

void EvidencePool::add(const Core::ReportEvidence &evidence)
{
    auto &sum = this->sums[evidence.upstream];
    ++sum.counts[evidence.sample.cause];
    if (evidence.sample.cause == Health::Cause::Success) {
        sum.latencySum += static_cast<std::uint64_t>(evidence.sample.latency.count());
    }
}

std::vector<Control::UpstreamEvidence> EvidencePool::take()
{
    std::vector<Control::UpstreamEvidence> result;
    result.reserve(this->sums.size());
    for (auto &[key, sum] : this->sums) {
        sum.upstream = key;
        result.push_back(std::move(sum));
    }
    this->sums.clear();
    return result;
}

} // namespace Verbenadock::Proxy::internal
