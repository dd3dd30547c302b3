#include "callerlimits.h"

#include <algorithm>
#include <xxhash.h>

namespace Verbenadock::Core::Internal {

namespace {

constexpr std::string_view DefaultCaller = "*";

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

CallerLimits::CallerLimits(std::size_t maxBuckets)
    : bucketLimit(maxBuckets)
{
}

void CallerLimits::configure(const std::vector<Bundles::Bundle> &configured)
{
    this->bundles.clear();
    for (const auto &bundle : configured) {
        // Buckets are keyed by the name of the bundle, so that they survive a change of its index.
        BundleLimits limits{.nameHash = hashOf(bundle.name, 0), .limitByCaller = {}, .defaultLimit = {}};
        for (const auto &entry : bundle.callerLimits) {
            const Limit limit{.requestsPerSecond = entry.requestsPerSecond, .burst = entry.burst};
            if (entry.caller == DefaultCaller) {
                limits.defaultLimit = limit;
            } else {
                limits.limitByCaller.emplace(hashOf(entry.caller, limits.nameHash), limit);
            }
        }
        this->bundles.push_back(std::move(limits));
    }
}

std::optional<Duration> CallerLimits::admit(std::uint32_t bundle, std::string_view caller, TimePoint now)
{
    const auto &limits = this->bundles.at(bundle);
    if (limits.limitByCaller.empty() && !limits.defaultLimit) {
        return std::nullopt;
    }
    const auto key = hashOf(caller, limits.nameHash);
    const auto limitByCaller = limits.limitByCaller.find(key);
    if (limitByCaller == limits.limitByCaller.end() && !limits.defaultLimit) {
        return std::nullopt;
    }
    const auto &limit = limitByCaller == limits.limitByCaller.end() ? *limits.defaultLimit : limitByCaller->second;
    // A burst below one would reject every request.
    const double burst = std::max(1.0, limit.burst);
    auto &bucket = this->bucketFor(key, burst, now);
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - bucket.refilledAt).count());
    bucket.tokens = std::min(burst, bucket.tokens + seconds * limit.requestsPerSecond);
    bucket.refilledAt = std::max(bucket.refilledAt, now);
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return std::nullopt;
    }
    constexpr double MinRequestsPerSecond = 0.001;
    const double wait = (1 - bucket.tokens) / std::max(MinRequestsPerSecond, limit.requestsPerSecond);
    return Duration(static_cast<Duration::rep>(wait * 1e6) + 1);
}

CallerLimits::Bucket &CallerLimits::bucketFor(std::uint64_t key, double burst, TimePoint now)
{
    const auto found = this->bucketByKey.find(key);
    if (found != this->bucketByKey.end()) {
        this->buckets.splice(this->buckets.begin(), this->buckets, found->second);
        return *found->second;
    }
    if (this->buckets.size() >= this->bucketLimit) {
        this->bucketByKey.erase(this->buckets.back().key);
        this->buckets.pop_back();
    }
    this->buckets.push_front(Bucket{.key = key, .tokens = burst, .refilledAt = now});
    this->bucketByKey.emplace(key, this->buckets.begin());
    return this->buckets.front();
}

std::size_t CallerLimits::size() const
{
    return this->buckets.size();
}

} // namespace Verbenadock::Core::Internal
