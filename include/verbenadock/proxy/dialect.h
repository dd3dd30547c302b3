#ifndef VERBENADOCK_PROXY_DIALECT_H
#define VERBENADOCK_PROXY_DIALECT_H

#include <compare>
#include <string>

namespace Verbenadock::Proxy {

/// Header names and conventions between callers, entries and upstreams. The defaults are those of Verbenadock (design
/// page, section 3.6). An empty name disables the header.
struct Dialect
{
    /// Id of the caller's request. Upstreams echo it.
    std::string requestId = "X-Request-Id";
    /// Id of an attempt. Upstreams echo it.
    std::string attemptId = "X-Attempt-Id";
    /// Remaining milliseconds until the deadline, sent to upstreams.
    std::string deadline = "X-Deadline-Ms";
    /// Remaining milliseconds until the caller's deadline, sent by callers.
    std::string callerDeadline = {};
    /// Name of the upstream instance that the request is addressed to.
    std::string expectedInstance = {};
    /// Name of the customer whose key the request bears, sent to upstreams.
    std::string customer = {};
    /// Scheme of the Authorization field in which callers send the key of a customer; no keys are read if empty.
    std::string credentialScheme = {};
    /// Present on an answer, with a value other than "false", if the request was not run.
    std::string notRun = "X-Not-Run";
    /// Present on the answers of an upstream that is leaving.
    std::string leaving = "X-Draining";
    /// The value with which an upstream announces that it is leaving; any value other than "false" if empty.
    std::string leavingValue = {};
    /// Whether Retry-After on a 503 of an upstream, in seconds, asks this entry to send the upstream nothing for this
    /// time.
    bool pausesByRetryAfter = false;
    /// Whether the entry assigns an id to a request without one.
    bool assignsRequestIds = true;
    /// Whether callers interpret 408, 421, 429 and 503 as "not run". If so, an upstream's answer with such a status is
    /// a server error unless it states that the request was not run.
    bool statusesImplyNotRun = false;
    /// Whether the end of the connection may end an answer without a length.
    bool answersMayEndWithConnection = false;
    /// Whether Retry-After may contain fractions of a second.
    bool fractionalRetryAfter = false;

    auto operator<=>(const Dialect &) const = default;
};

} // namespace Verbenadock::Proxy

#endif
