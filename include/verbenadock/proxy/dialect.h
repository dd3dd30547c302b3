#ifndef VERBENADOCK_PROXY_DIALECT_H
#define VERBENADOCK_PROXY_DIALECT_H

#include <compare>
#include <string>

namespace Verbenadock::Proxy {

/// Header names and conventions between callers, entries and upstreams. The defaults are Verbenadock's own (design
/// page, section 3.6); an empty name means that there is no such header.
struct Dialect
{
    /// Identifies the caller's request. Upstreams repeat it.
    std::string requestId = "X-Request-Id";
    /// Identifies an attempt. Upstreams repeat it.
    std::string attemptId = "X-Attempt-Id";
    /// Milliseconds that the entry will still wait; upstreams read it.
    std::string deadline = "X-Deadline-Ms";
    /// Milliseconds that a caller will still wait.
    std::string callerDeadline = {};
    /// The upstream instance that the request is meant for.
    std::string expectedInstance = {};
    /// Present on an answer, other than with the value "false", when the request was not run.
    std::string notRun = "X-Not-Run";
    /// Present on an answer of an upstream that leaves.
    std::string draining = "X-Draining";
    /// Whether the entry gives a request without an id one of its own.
    bool assignsRequestIds = true;
    /// Whether callers read 408, 421, 429 and 503 as "not run", so that an upstream's answer with such a status is only
    /// passed on as what it proves.
    bool statusesPromiseNotRun = false;
    /// Whether an answer may end with its connection.
    bool answersMayEndWithConnection = false;
    /// Whether Retry-After may have fractions of seconds.
    bool fractionalRetryAfter = false;

    auto operator<=>(const Dialect &) const = default;
};

} // namespace Verbenadock::Proxy

#endif
