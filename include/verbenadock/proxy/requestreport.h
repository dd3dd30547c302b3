#ifndef VERBENADOCK_PROXY_REQUESTREPORT_H
#define VERBENADOCK_PROXY_REQUESTREPORT_H

#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/core/effect.h"
#include "verbenadock/health/sample.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Proxy {

/// One attempt of a request, for the log.
struct AttemptReport
{
    AttemptId id = 0;
    std::string upstream;
    Core::UpstreamView seen;
    /// From the head of the request to the start of the attempt.
    Duration startedAfter{0};
    Duration took{0};
    /// Nothing while it runs.
    std::optional<Health::Cause> result;
};

/// A caller's request at its end, for the log.
struct RequestReport
{
    /// The caller's id of the request.
    std::string id;
    std::string host;
    std::string target;
    /// What became of it: "answered", "not-run", "unknown", "aborted", "caller-gone" or "bad-request".
    std::string_view outcome;
    std::string_view reason;
    unsigned status = 0;
    /// Empty when the request reached none.
    std::string service;
    /// What was known of the service when the request ended without an upstream's answer.
    std::optional<Core::RejectionView> refusal;
    std::vector<AttemptReport> attempts;
    /// From the head of the request to the decision.
    Duration took{0};
    /// How long the caller said it would wait.
    std::optional<Duration> callerDeadline;
};

} // namespace Verbenadock::Proxy

#endif
