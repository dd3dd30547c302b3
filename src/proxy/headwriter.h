#ifndef VERBENADOCK_PROXY_HEADWRITER_H
#define VERBENADOCK_PROXY_HEADWRITER_H

#include "httpparser.h"
#include "keyanswer.h"
#include "requestcheck.h"
#include "verbenadock/base/time.h"
#include "verbenadock/core/effect.h"
#include "verbenadock/proxy/dialect.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Proxy::internal {

/// Framing of a body in the head: none, Content-Length or chunked.
struct BodyFraming
{
    enum class Kind {
        None,
        Length,
        Chunked,
    };

    Kind kind = Kind::None;
    std::uint64_t length = 0;
};

/// Values of the header fields that describe an attempt to the upstream.
struct AttemptFields
{
    std::string_view requestId;
    std::string_view attemptId;
    std::int64_t deadlineMilliseconds = 0;
    /// Expected upstream instance. Empty if the instance is not checked.
    std::string_view instance;
    /// Name of the customer. Empty for none.
    std::string_view customer = {};
    /// Whether the caller's credentials and customer field are omitted.
    bool hidesCredentials = false;
};

/// Appends the request head for an upstream: the end-to-end fields of the caller's head and the fields of the attempt.
void appendRequestHead(std::string &out,
                       const RequestParser &parser,
                       std::string_view target,
                       const AttemptFields &fields,
                       const Dialect &dialect,
                       BodyFraming framing);

/// Appends the answer head for a caller: the end-to-end fields of the upstream's head and the outcome.
void appendResponseHead(std::string &out,
                        const ResponseParser &parser,
                        const Dialect &dialect,
                        BodyFraming framing,
                        bool close);

/// The fields of an upstream's answer that are forwarded to a caller.
std::vector<std::pair<std::string, std::string>> endToEndFields(const ResponseParser &parser, const Dialect &dialect);

/// The complete HTTP answer to a request with an idempotency key.
std::string keyAnswerText(const KeyAnswer &answer, bool close, bool headMethod);

/// An answer that the entry gives without an upstream.
struct LocalAnswer
{
    unsigned status = 503;
    Core::Outcome outcome = Core::Outcome::NotRun;
    std::string_view reason;
    /// Zero omits Retry-After.
    Duration retryAfter{0};
    /// Whether Retry-After has milliseconds; otherwise it is rounded up to whole seconds.
    bool fractionalRetryAfter = false;
    bool close = false;
    /// The request is a HEAD request, whose answer has no body.
    bool headMethod = false;
};

std::string localAnswerText(const LocalAnswer &answer);

/// Appends one chunk with its size line. Appends nothing for empty data, because an empty chunk ends the body.
void appendChunk(std::string &out, std::string_view data);

inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// The value of the field if it occurs exactly once, otherwise nothing. Ignores the case of the name.
std::optional<std::string_view> singleField(const std::vector<Field> &fields, std::string_view name);

} // namespace Verbenadock::Proxy::internal

#endif
