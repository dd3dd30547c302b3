#ifndef VERBENADOCK_HEALTH_SAMPLE_H
#define VERBENADOCK_HEALTH_SAMPLE_H

#include "verbenadock/base/time.h"

#include <compare>
#include <string_view>

namespace Verbenadock::Health {

/// How an attempt ended, as evidence about its upstream.
enum class Cause {
    Success,
    /// The connection was refused.
    Refused,
    ConnectTimeout,
    /// A pooled connection gave no sign of life; it is evidence about the connection, not about the upstream.
    SilentConnection,
    /// The upstream said explicitly that it did not run the request.
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
    /// The entry or the caller gave up; it is no evidence.
    Cancelled,
};

std::string_view toString(Cause cause);

/// Whether the cause counts for or against the upstream at all.
bool isEvidence(Cause cause);

/// Whether the cause counts against the upstream.
bool isFailure(Cause cause);

/// One outcome of real work at an upstream.
struct Sample
{
    TimePoint at;
    Cause cause = Cause::Success;
    /// From the written request to the end of the answer; meaningful for Success only.
    Duration latency{0};
    /// The request failed long before its work could have been done; an upstream in trouble does that.
    bool early = false;

    auto operator<=>(const Sample &) const = default;
};

} // namespace Verbenadock::Health

#endif
