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

/// One attempt of a request, as written to the log.
struct AttemptReport
{
    AttemptId id = 0;
    std::string upstream;
    Core::UpstreamView seen;
    /// Time from the head of the request to the start of the attempt.
    Duration startDelay{0};
    Duration duration{0};
    /// Nothing while the attempt runs.
    std::optional<Health::Cause> result;
    /// What the upstream announced about itself in its answer.
    bool announcedLeaving = false;
    Duration announcedPause{0};
    /// Reasons why parts of the announcement were not taken as they stand.
    std::vector<std::string_view> announcementErrors;
};

/// A finished request of a caller, as written to the log.
struct RequestReport
{
    /// Id of the request, sent by the caller or assigned by the entry. Empty if neither.
    std::string id;
    std::string host;
    std::string target;
    /// One of "answered", "not-run", "unknown", "aborted", "caller-gone", "not-read" or "bad-request".
    std::string_view outcome;
    std::string_view reason;
    unsigned status = 0;
    /// Empty if the request reached no service.
    std::string service;
    /// Name of the customer. Empty if the request has none, or was rejected before it was assigned to a service.
    std::string customer;
    /// State of the service when the request ended without an answer of an upstream.
    std::optional<Core::RejectionView> refusal;
    std::vector<AttemptReport> attempts;
    /// Time from the head of the request to the decision.
    Duration duration{0};
    /// Time that the caller announced to wait for the answer.
    std::optional<Duration> callerDeadline;
    /// The request was refused, or its answer was streamed from the first byte, because memory ran short.
    bool memoryLimited = false;
};

} // namespace Verbenadock::Proxy

#endif
