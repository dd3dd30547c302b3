#ifndef VERBENADOCK_HEALTH_SAMPLE_H
#define VERBENADOCK_HEALTH_SAMPLE_H

#include "verbenadock/base/time.h"

#include <compare>
#include <string_view>

namespace Verbenadock::Health {

/// Outcome of an attempt, as evidence about its upstream.
enum class Cause {
    Success,
    /// The connection was refused.
    Refused,
    ConnectTimeout,
    /// A reused connection was reset or gave no answer. Evidence about the connection, not about the upstream.
    StaleConnection,
    /// The upstream declined the request without running it, and said so.
    Shed,
    Timeout,
    /// The connection was reset before the head of an answer.
    Reset,
    ServerError,
    /// The answer ended before its announced length.
    Truncated,
    /// The answer belonged to another request.
    Mismatched,
    /// The answer was malformed.
    Malformed,
    /// The entry or the caller cancelled the attempt; not evidence.
    Cancelled,
};

std::string_view toString(Cause cause);

/// Whether the cause counts for or against the upstream at all.
bool isEvidence(Cause cause);

/// Whether the cause counts against the upstream.
bool isFailure(Cause cause);

/// Outcome of one request at an upstream.
struct Sample
{
    TimePoint at;
    Cause cause = Cause::Success;
    /// Time from the written request to the end of the answer; set for Success only.
    Duration latency{0};
    /// The request failed long before its processing could have ended, which indicates an unhealthy upstream.
    bool early = false;

    auto operator<=>(const Sample &) const = default;
};

} // namespace Verbenadock::Health

#endif
