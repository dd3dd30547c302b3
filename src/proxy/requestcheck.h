#ifndef VERBENADOCK_PROXY_REQUESTCHECK_H
#define VERBENADOCK_PROXY_REQUESTCHECK_H

#include "httpparser.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Verbenadock::Proxy::internal {

/// Reason to reject a request before it reaches the reducer.
enum class BadRequest {
    MalformedHead,
    HeadTooLarge,
    BadCharacter,
    ObsoleteFold,
    UnsupportedVersion,
    MissingHost,
    RepeatedHost,
    BadHost,
    BadTarget,
    LengthAndTransferEncoding,
    RepeatedLength,
    BadLength,
    BadTransferEncoding,
    Upgrade,
    Connect,
    HttpTwo,
    Expectation,
    BodyTooLarge,
    BadBody,
    HeaderTimeout,
    BodyTimeout,
};

inline constexpr std::size_t BadRequestCount = static_cast<std::size_t>(BadRequest::BodyTimeout) + 1;

/// The name of the reason in the answer and in the metrics.
std::string_view toString(BadRequest reason);

unsigned statusOf(BadRequest reason);

/// The parts of a valid request head that the entry uses. The views point into the head.
struct CheckedRequest
{
    /// Without the port, in lower case.
    std::string host;
    /// In origin form.
    std::string_view target;
    /// Value of X-Caller-Id. Empty if absent.
    std::string_view caller;
    std::optional<std::string_view> idempotencyKey;
    /// Nothing if the body is chunked.
    std::optional<std::uint64_t> bodyBytes;
    /// Whether a Content-Length or Transfer-Encoding field is present.
    bool announcesBody = false;
    bool expectContinue = false;
    bool keepAlive = true;
    bool headMethod = false;
};

using CheckResult = std::variant<CheckedRequest, BadRequest>;

/// Rejects heads that two HTTP implementations could interpret differently, to prevent request smuggling.
CheckResult checkRequest(const RequestParser &parser);

/// The reason for a head that the scanner rejected.
BadRequest reasonOf(HeadState state, std::string_view head);

/// The reason for a head that Beast's parser rejected. The message holds the fields before the error.
BadRequest reasonOf(const ErrorCode &error, const RequestMessage &message);

} // namespace Verbenadock::Proxy::internal

#endif
