#include "headwriter.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/beast/http/status.hpp>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr unsigned UnauthorizedStatus = 401;

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append(LineEnd);
}

/// Omits a field without a name or a value.
void appendOptionalField(std::string &out, std::string_view name, std::string_view value)
{
    if (!name.empty() && !value.empty()) {
        appendField(out, name, value);
    }
}

template<typename Number>
void appendNumber(std::string &out, Number value, int base = 10)
{
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, base).ptr;
    out.append(digits.data(), end);
}

void appendFraming(std::string &out, BodyFraming framing)
{
    switch (framing.kind) {
    case BodyFraming::Kind::None:
        break;
    case BodyFraming::Kind::Length:
        out.append("Content-Length: ");
        appendNumber(out, framing.length);
        out.append(LineEnd);
        break;
    case BodyFraming::Kind::Chunked:
        out.append("Transfer-Encoding: chunked\r\n");
        break;
    }
}

/// Whether the field applies to a single connection and is not forwarded. The framing fields are rewritten.
bool isHopByHop(const Field &field)
{
    switch (field.name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
        return true;
    default:
        return false;
    }
}

/// Whether only the fleet may set the field, or the entry handles it itself.
bool isReservedField(const Field &field, const Dialect &dialect, bool request)
{
    if (field.name != http::field::unknown) {
        return request && field.name == http::field::expect;
    }
    const auto hasName = [&field](std::string_view name) {
        return !name.empty() && equalsIgnoringCase(field.nameText, name);
    };
    if (request) {
        return hasName(dialect.requestId) || hasName(dialect.attemptId) || hasName(dialect.deadline)
               || hasName(dialect.expectedInstance);
    }
    return hasName("Verbenadock-Outcome") || hasName("Verbenadock-Replayed") || hasName(dialect.attemptId)
           || hasName(dialect.notRun) || hasName(dialect.leaving);
}

bool isNamedByConnection(const std::vector<Field> &fields, const Field &candidate)
{
    return std::any_of(fields.begin(), fields.end(), [&candidate](const Field &field) {
        return field.name == http::field::connection && hasToken(field.value, candidate.nameText);
    });
}

template<typename Visitor>
void forEachEndToEnd(const std::vector<Field> &fields, const Dialect &dialect, bool request, Visitor visitor)
{
    const bool connectionNamesFields = std::any_of(fields.begin(), fields.end(), [](const Field &field) {
        return field.name == http::field::connection && !equalsIgnoringCase(field.value, "keep-alive")
               && !equalsIgnoringCase(field.value, "close");
    });
    for (const auto &field : fields) {
        // Host is kept even if Connection names it, because a request without Host is invalid.
        const bool named
            = connectionNamesFields && field.name != http::field::host && isNamedByConnection(fields, field);
        if (!isHopByHop(field) && !isReservedField(field, dialect, request) && !named) {
            visitor(field);
        }
    }
}

void appendEndToEnd(std::string &out, const std::vector<Field> &fields, const Dialect &dialect)
{
    forEachEndToEnd(fields, dialect, false, [&out](const Field &field) {
        appendField(out, field.nameText, field.value);
    });
}

/// Whether the field holds the caller's credentials, or states a customer, which only the entry may do.
bool isCredential(const Field &field, const Dialect &dialect)
{
    return equalsIgnoringCase(field.nameText, "Authorization")
           || (!dialect.customer.empty() && equalsIgnoringCase(field.nameText, dialect.customer));
}

std::string retryAfterText(const LocalAnswer &answer)
{
    if (!answer.fractionalRetryAfter) {
        return std::to_string(std::chrono::ceil<std::chrono::seconds>(answer.retryAfter).count());
    }
    std::array<char, 24> text{};
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(answer.retryAfter);
    const auto seconds = std::chrono::duration<double>(milliseconds).count();
    const auto end = std::to_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed, 3).ptr;
    return {text.data(), end};
}

std::string_view reasonPhrase(unsigned status)
{
    const auto text = http::obsolete_reason(http::int_to_status(status));
    return {text.data(), text.size()};
}

} // namespace

void appendRequestHead(std::string &out,
                       const RequestParser &parser,
                       std::string_view target,
                       const AttemptFields &fields,
                       const Dialect &dialect,
                       BodyFraming framing)
{
    out.append(parser.methodText).append(" ").append(target).append(" HTTP/1.1\r\n");
    forEachEndToEnd(parser.fields, dialect, true, [&out, &fields, &dialect](const Field &field) {
        if (!fields.hidesCredentials || !isCredential(field, dialect)) {
            appendField(out, field.nameText, field.value);
        }
    });
    appendOptionalField(out, dialect.customer, fields.customer);
    appendOptionalField(out, dialect.requestId, fields.requestId);
    appendOptionalField(out, dialect.attemptId, fields.attemptId);
    appendOptionalField(out, dialect.expectedInstance, fields.instance);
    out.append(dialect.deadline).append(": ");
    appendNumber(out, fields.deadlineMilliseconds);
    out.append(LineEnd);
    appendFraming(out, framing);
    out.append(LineEnd);
}

void appendResponseHead(std::string &out,
                        const ResponseParser &parser,
                        const Dialect &dialect,
                        BodyFraming framing,
                        bool close)
{
    out.append("HTTP/1.1 ");
    appendNumber(out, parser.statusCode);
    out.append(" ").append(parser.reason).append(LineEnd);
    appendEndToEnd(out, parser.fields, dialect);
    out.append("Verbenadock-Outcome: answered\r\n");
    appendFraming(out, framing);
    if (close) {
        out.append("Connection: close\r\n");
    }
    out.append(LineEnd);
}

std::vector<std::pair<std::string, std::string>> endToEndFields(const ResponseParser &parser, const Dialect &dialect)
{
    std::vector<std::pair<std::string, std::string>> fields;
    forEachEndToEnd(parser.fields, dialect, false, [&fields](const Field &field) {
        fields.emplace_back(field.nameText, field.value);
    });
    return fields;
}

std::string keyAnswerText(const KeyAnswer &answer, bool close, bool headMethod)
{
    using Kind = Control::KeyAnswerKind;
    if (answer.kind != Kind::Answered && answer.kind != Kind::Replayed) {
        const auto outcome = answer.kind == Kind::NotRun ? Core::Outcome::NotRun : Core::Outcome::Unknown;
        return localAnswerText(LocalAnswer{.status = answer.answer.status,
                                           .outcome = outcome,
                                           .reason = answer.reason,
                                           .retryAfter = std::chrono::seconds(answer.retryAfterSeconds),
                                           .close = close,
                                           .headMethod = headMethod});
    }
    constexpr unsigned NoContent = 204;
    constexpr unsigned NotModified = 304;
    const auto status = answer.answer.status;
    std::string out = "HTTP/1.1 ";
    appendNumber(out, status);
    out.append(" ").append(reasonPhrase(status)).append(LineEnd);
    for (const auto &[name, value] : answer.answer.headers) {
        appendField(out, name, value);
    }
    out.append("Verbenadock-Outcome: answered\r\n");
    if (answer.kind == Kind::Replayed) {
        out.append("Verbenadock-Replayed: true\r\n");
    }
    const bool withoutBody = headMethod || status == NoContent || status == NotModified;
    if (!withoutBody) {
        appendFraming(out, BodyFraming{.kind = BodyFraming::Kind::Length, .length = answer.answer.body.size()});
    }
    if (close) {
        appendField(out, "Connection", "close");
    }
    out.append(LineEnd);
    if (!withoutBody) {
        out.append(answer.answer.body);
    }
    return out;
}

std::string localAnswerText(const LocalAnswer &answer)
{
    const std::string outcome(Core::toString(answer.outcome));
    const std::string body = R"({"outcome":")" + outcome + R"(","reason":")" + std::string(answer.reason) + "\"}\n";
    std::string out = "HTTP/1.1 ";
    appendNumber(out, answer.status);
    out.append(" ").append(reasonPhrase(answer.status)).append(LineEnd);
    appendField(out, "Content-Type", "application/json");
    appendField(out, "Verbenadock-Outcome", outcome);
    if (answer.status == UnauthorizedStatus) {
        appendField(out, "WWW-Authenticate", "Bearer");
    }
    if (answer.retryAfter > Duration(0)) {
        appendField(out, "Retry-After", retryAfterText(answer));
    }
    appendFraming(out, BodyFraming{.kind = BodyFraming::Kind::Length, .length = body.size()});
    if (answer.close) {
        appendField(out, "Connection", "close");
    }
    out.append(LineEnd);
    if (!answer.headMethod) {
        out.append(body);
    }
    return out;
}

void appendChunk(std::string &out, std::string_view data)
{
    if (data.empty()) {
        return;
    }
    appendNumber(out, data.size(), 16);
    out.append(LineEnd).append(data).append(LineEnd);
}

std::optional<std::string_view> singleField(const std::vector<Field> &fields, std::string_view name)
{
    std::optional<std::string_view> found;
    for (const auto &field : fields) {
        if (equalsIgnoringCase(field.nameText, name)) {
            if (found) {
                return std::nullopt;
            }
            found = field.value;
        }
    }
    return found;
}

} // namespace Verbenadock::Proxy::internal
