#include "requestcheck.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Verbenadock::Proxy::internal {

namespace {

struct Description
{
    std::string_view name;
    unsigned status;
};

constexpr std::array<Description, BadRequestCount> Descriptions{{
    {"malformed-head", 400},
    {"head-too-large", 431},
    {"bad-character", 400},
    {"obsolete-fold", 400},
    {"unsupported-version", 400},
    {"missing-host", 400},
    {"repeated-host", 400},
    {"bad-host", 400},
    {"bad-target", 400},
    {"length-and-transfer-encoding", 400},
    {"repeated-length", 400},
    {"bad-length", 400},
    {"bad-transfer-encoding", 400},
    {"upgrade", 400},
    {"connect", 400},
    {"http-2", 400},
    {"expectation", 417},
    {"body-too-large", 413},
    {"bad-body", 400},
    {"header-timeout", 408},
    {"body-timeout", 408},
}};

/// The fields that determine the framing and the host, and the first violation found among all fields.
struct Framing
{
    std::optional<std::string_view> host;
    std::optional<std::string_view> length;
    std::optional<std::string_view> transferEncoding;
    std::optional<BadRequest> violation;
};

void storeSingle(std::optional<std::string_view> &slot, const Field &field, BadRequest whenRepeated, Framing &framing)
{
    if (slot) {
        framing.violation = framing.violation.value_or(whenRepeated);
    }
    slot = field.value;
}

void inspectField(const Field &field, Framing &framing, CheckedRequest &request)
{
    switch (field.name) {
    case http::field::host:
        storeSingle(framing.host, field, BadRequest::RepeatedHost, framing);
        break;
    case http::field::content_length:
        storeSingle(framing.length, field, BadRequest::RepeatedLength, framing);
        break;
    case http::field::transfer_encoding:
        storeSingle(framing.transferEncoding, field, BadRequest::BadTransferEncoding, framing);
        break;
    case http::field::upgrade:
        framing.violation = framing.violation.value_or(BadRequest::Upgrade);
        break;
    case http::field::expect:
        if (!equalsIgnoringCase(field.value, "100-continue")) {
            framing.violation = framing.violation.value_or(BadRequest::Expectation);
        }
        request.expectContinue = true;
        break;
    case http::field::connection:
        request.keepAlive = request.keepAlive && !hasToken(field.value, "close");
        break;
    default:
        if (equalsIgnoringCase(field.nameText, "X-Caller-Id")) {
            request.caller = field.value;
        } else if (equalsIgnoringCase(field.nameText, "Idempotency-Key")) {
            request.idempotencyKey = field.value;
        }
    }
}

bool isHostCharacter(char character)
{
    const bool letterOrDigit = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
                               || (character >= '0' && character <= '9');
    return letterOrDigit || std::string_view(".-_:[]~%").find(character) != std::string_view::npos;
}

std::string hostName(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool hasPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    std::string name(hasPort ? host.substr(0, colon) : host);
    std::transform(name.begin(), name.end(), name.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A')) : character;
    });
    return name;
}

std::optional<BadRequest> checkHost(const Framing &framing, CheckedRequest &request)
{
    if (!framing.host) {
        return BadRequest::MissingHost;
    }
    if (framing.host->empty() || !std::all_of(framing.host->begin(), framing.host->end(), isHostCharacter)) {
        return BadRequest::BadHost;
    }
    request.host = hostName(*framing.host);
    return std::nullopt;
}

std::optional<BadRequest> checkLength(const Framing &framing, CheckedRequest &request)
{
    request.announcesBody = framing.length || framing.transferEncoding;
    if (framing.length && framing.transferEncoding) {
        return BadRequest::LengthAndTransferEncoding;
    }
    if (framing.transferEncoding) {
        // The entry would have to decode other codings to find the end of the body.
        return equalsIgnoringCase(*framing.transferEncoding, "chunked")
                   ? std::nullopt
                   : std::optional(BadRequest::BadTransferEncoding);
    }
    request.bodyBytes = 0;
    if (framing.length) {
        std::uint64_t value = 0;
        const auto *end = framing.length->data() + framing.length->size();
        const auto [rest, error] = std::from_chars(framing.length->data(), end, value);
        if (error != std::errc() || rest != end) {
            return BadRequest::BadLength;
        }
        request.bodyBytes = value;
    }
    return std::nullopt;
}

std::optional<BadRequest> checkTarget(const RequestParser &parser, const Framing &framing, CheckedRequest &request)
{
    constexpr std::string_view Scheme = "http://";
    request.target = parser.target;
    if (equalsIgnoringCase(parser.target.substr(0, Scheme.size()), Scheme)) {
        const auto rest = parser.target.substr(Scheme.size());
        const auto slash = std::min(rest.find('/'), rest.size());
        if (!framing.host || !equalsIgnoringCase(rest.substr(0, slash), *framing.host)) {
            return BadRequest::BadTarget;
        }
        request.target = slash < rest.size() ? rest.substr(slash) : std::string_view("/");
    }
    const bool asteriskForm = request.target == "*" && parser.methodText == "OPTIONS";
    if (!asteriskForm && (request.target.empty() || request.target.front() != '/')) {
        return BadRequest::BadTarget;
    }
    return request.target.find('#') == std::string_view::npos ? std::nullopt : std::optional(BadRequest::BadTarget);
}

} // namespace

std::string_view toString(BadRequest reason)
{
    return Descriptions[static_cast<std::size_t>(reason)].name;
}

unsigned statusOf(BadRequest reason)
{
    return Descriptions[static_cast<std::size_t>(reason)].status;
}

CheckResult checkRequest(const RequestParser &parser)
{
    CheckedRequest request;
    Framing framing;
    if (parser.methodText == "CONNECT") {
        return BadRequest::Connect;
    }
    if (parser.httpVersion != 11) {
        return BadRequest::UnsupportedVersion;
    }
    for (const auto &field : parser.fields) {
        inspectField(field, framing, request);
    }
    // The framing is checked first, so that the reason identifies a smuggling attempt.
    auto violation = framing.violation;
    for (const auto &check : {checkLength, checkHost}) {
        violation = violation ? violation : check(framing, request);
    }
    violation = violation ? violation : checkTarget(parser, framing, request);
    if (violation) {
        return *violation;
    }
    request.headMethod = parser.methodText == "HEAD";
    return request;
}

BadRequest reasonOf(HeadState state, std::string_view head)
{
    if (head.starts_with("PRI * HTTP/2")) {
        return BadRequest::HttpTwo;
    }
    switch (state) {
    case HeadState::TooLarge:
        return BadRequest::HeadTooLarge;
    case HeadState::BadCharacter:
        return BadRequest::BadCharacter;
    case HeadState::ObsoleteFold:
        return BadRequest::ObsoleteFold;
    case HeadState::Incomplete:
    case HeadState::Complete:
    case HeadState::Malformed:
        break;
    }
    return BadRequest::MalformedHead;
}

BadRequest reasonOf(const ErrorCode &error, const RequestMessage &message)
{
    const auto has = [&message](http::field name) {
        return std::any_of(message.parser.fields.begin(), message.parser.fields.end(), [name](const Field &field) {
            return field.name == name;
        });
    };
    if (error == http::error::multiple_content_length) {
        return BadRequest::RepeatedLength;
    }
    if (error == http::error::bad_content_length) {
        return has(http::field::transfer_encoding) ? BadRequest::LengthAndTransferEncoding : BadRequest::BadLength;
    }
    if (error == http::error::bad_transfer_encoding) {
        return has(http::field::content_length) ? BadRequest::LengthAndTransferEncoding
                                                : BadRequest::BadTransferEncoding;
    }
    return reasonOf(HeadState::Malformed, message.headText);
}

} // namespace Verbenadock::Proxy::internal
