#ifndef VERBENADOCK_CORE_UPSTREAMLOAD_H
#define VERBENADOCK_CORE_UPSTREAMLOAD_H

#include "upstreampool.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Verbenadock::Core::Internal {

/// Load in requests per slot up to which a request with a large body stays in the data centre.
inline constexpr double LargeBodyLocalLoadLimit = 2.5;
/// Age up to which a load report of another data centre is used; reports arrive every 1.2 s.
inline constexpr Duration DataCentreLoadValidity = std::chrono::seconds(4);
/// Requests per slot added to the load of an upstream that recently did not answer this entry.
inline constexpr double SuspectPathPenalty = 1.5;

/// Time in seconds within which the weight of an earlier answer falls to a third. An entry of a large fleet sends one
/// upstream less than a request per second.
inline constexpr double AnswerMemorySeconds = 5;

/// Admitted slots.
inline double capacity(const UpstreamState &upstream)
{
    return std::max(1.0, upstream.concurrency * upstream.admission.share);
}

/// Known requests per slot.
inline double load(const UpstreamState &upstream)
{
    return (upstream.inFlight + upstream.otherEntriesInFlight) / capacity(upstream);
}

/// Weight that an answer of an earlier time still has.
inline double agedWeight(TimePoint earlier, TimePoint now)
{
    return std::exp(-std::chrono::duration<double>(now - earlier).count() / AnswerMemorySeconds);
}

} // namespace Verbenadock::Core::Internal

#endif
