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

/// How the length of a body is announced.
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

/// The fields that tell an upstream about an attempt.
struct AttemptFields
{
    std::string_view requestId;
    std::string_view attemptId;
    std::int64_t deadlineMilliseconds = 0;
    /// Empty when the upstream's name is not checked.
    std::string_view instance;
};

/// Appends the head that an upstream gets: end-to-end fields of the caller's head and the attempt's own.
void appendRequestHead(std::string &out,
                       const RequestParser &parser,
                       std::string_view target,
                       const AttemptFields &fields,
                       const Dialect &dialect,
                       BodyFraming framing);

/// Appends the head that a caller gets for an upstream's answer.
void appendResponseHead(std::string &out,
                        const ResponseParser &parser,
                        const Dialect &dialect,
                        BodyFraming framing,
                        bool close);

/// The fields of an upstream's answer that a caller gets.
std::vector<std::pair<std::string, std::string>> endToEndFields(const ResponseParser &parser, const Dialect &dialect);

std::string keyAnswerText(const KeyAnswer &answer, bool close, bool headMethod);

/// An answer of the entry itself.
struct LocalAnswer
{
    unsigned status = 503;
    Core::Outcome outcome = Core::Outcome::NotRun;
    std::string_view reason;
    /// Zero for none.
    Duration retryAfter{0};
    /// Otherwise the time is rounded up to whole seconds.
    bool fractionalRetryAfter = false;
    bool close = false;
    /// The answer to HEAD has no body.
    bool headMethod = false;
};

std::string localAnswerText(const LocalAnswer &answer);

/// Appends one chunk with its size; an empty one is left out, because it would end the body.
void appendChunk(std::string &out, std::string_view data);

inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// The value of a field that must occur exactly once, or nothing.
std::optional<std::string_view> singleField(const std::vector<Field> &fields, std::string_view name);

} // namespace Verbenadock::Proxy::internal

#endif
