#ifndef VERBENADOCK_PROXY_REQUESTCHECK_H
#define VERBENADOCK_PROXY_REQUESTCHECK_H

#include "httpparser.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Verbenadock::Proxy::internal {

/// Why a request is answered without reaching the reducer.
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

/// Name in the answer's reason and in the metrics.
std::string_view toString(BadRequest reason);

unsigned statusOf(BadRequest reason);

/// What the entry needs of a valid request's head. The views point into the head.
struct CheckedRequest
{
    /// Without the port, in lower case.
    std::string host;
    /// In origin form.
    std::string_view target;
    /// Empty without X-Caller-Id.
    std::string_view caller;
    std::optional<std::string_view> idempotencyKey;
    std::optional<std::uint64_t> bodyBytes;
    /// Whether a Content-Length or Transfer-Encoding field is present.
    bool announcesBody = false;
    bool expectContinue = false;
    bool keepAlive = true;
    bool headMethod = false;
};

using CheckResult = std::variant<CheckedRequest, BadRequest>;

/// Refuses what two HTTP implementations could read differently, so that no request can be smuggled past the entry.
CheckResult checkRequest(const RequestParser &parser);

/// The reason for a head that the scanner refused.
BadRequest reasonOf(HeadState state, std::string_view head);

/// The reason for a head that Beast's parser refused; the fields before the mistake are known.
BadRequest reasonOf(const ErrorCode &error, const RequestMessage &message);

} // namespace Verbenadock::Proxy::internal

#endif
