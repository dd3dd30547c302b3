#include "requestpipeline.h"

#include <algorithm>

namespace Verbenadock::Proxy::internal {

namespace {

bool maySharePipeline(const PipelineTraits &traits)
{
    // An answer in front may still close the connection. The caller then sends everything behind it again, so only a
    // request that may run twice can start. A body cannot be told from the next head before it was read.
    return traits.idempotent && !traits.hasBody && !traits.hasIdempotencyKey;
}

} // namespace

bool RequestPipeline::mayStartAnother(std::size_t depth) const
{
    if (this->connectionCloses) {
        return false;
    }
    if (this->unanswered.empty()) {
        return true;
    }
    // All requests before the last one were checked when it was started.
    const auto &last = this->unanswered.back().traits;
    return this->unanswered.size() < depth && maySharePipeline(last) && last.keepAlive;
}

bool RequestPipeline::mayStart(const PipelineTraits &traits, std::size_t depth) const
{
    return this->mayStartAnother(depth) && (this->unanswered.empty() || maySharePipeline(traits));
}

void RequestPipeline::start(RequestId id, const PipelineTraits &traits)
{
    this->unanswered.push_back({.id = id, .traits = traits});
}

bool RequestPipeline::isFirst(RequestId id) const
{
    return !this->unanswered.empty() && this->unanswered.front().id == id;
}

bool RequestPipeline::isLast(RequestId id) const
{
    return !this->unanswered.empty() && this->unanswered.back().id == id;
}

void RequestPipeline::finishFirst()
{
    if (!this->unanswered.empty()) {
        this->unanswered.erase(this->unanswered.begin());
    }
}

void RequestPipeline::close()
{
    this->connectionCloses = true;
}

bool RequestPipeline::closed() const
{
    return this->connectionCloses;
}

bool RequestPipeline::empty() const
{
    return this->unanswered.empty();
}

std::size_t RequestPipeline::size() const
{
    return this->unanswered.size();
}

} // namespace Verbenadock::Proxy::internal
