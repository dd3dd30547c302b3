#ifndef VERBENADOCK_CORE_CALLERLIMITS_H
#define VERBENADOCK_CORE_CALLERLIMITS_H

#include "verbenadock/base/time.h"
#include "verbenadock/bundle/bundle.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Verbenadock::Core::Internal {

/// One token bucket per bundle and caller. The least recently used bucket is evicted when there are too many; a caller
/// whose bucket was evicted starts again with a full one.
///
/// Usage: configure() with each configuration; admit() for each request.
class CallerLimits
{
public:
    explicit CallerLimits(std::size_t maxBuckets);

    void configure(const std::vector<Bundles::Bundle> &bundles);

    /// Takes a token; otherwise returns the time until the next one.
    std::optional<Duration> admit(std::uint32_t bundle, std::string_view caller, TimePoint now);

    std::size_t size() const;

private:
    struct Limit
    {
        double requestsPerSecond = 0;
        double burst = 0;
    };

    struct BundleLimits
    {
        std::uint64_t nameHash = 0;
        std::unordered_map<std::uint64_t, Limit> limitByCaller;
        std::optional<Limit> defaultLimit;
    };

    struct Bucket
    {
        std::uint64_t key = 0;
        double tokens = 0;
        TimePoint refilledAt{};
    };

    Bucket &bucketFor(std::uint64_t key, double burst, TimePoint now);

    std::size_t bucketLimit;
    std::vector<BundleLimits> bundles;
    /// Most recently used first.
    std::list<Bucket> buckets;
    std::unordered_map<std::uint64_t, std::list<Bucket>::iterator> bucketByKey;
};

} // namespace Verbenadock::Core::Internal

#endif
