#ifndef VERBENADOCK_PROXY_EXCHANGE_H
#define VERBENADOCK_PROXY_EXCHANGE_H

#include "keyanswer.h"
#include "requestcheck.h"
#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/core/effect.h"
#include "verbenadock/proxy/requestreport.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Verbenadock::Proxy::internal {

class Attempt;
class CallerConnection;

/// The whole answer of the attempt is passed on at once.
struct ForwardHeld
{
    std::shared_ptr<Attempt> attempt;
};

/// The answer was passed on while it arrived and is complete.
struct Streamed
{
};

/// The caller is reset.
struct Abort
{
};

/// The caller's body was malformed, too long or too slow.
struct RefuseBody
{
    BadRequest reason = BadRequest::BadBody;
    /// Whether an upstream may have seen a part of the request.
    bool mayHaveRun = false;
};

/// The caller closed its connection.
struct CallerGone
{
};

using Decision = std::variant<ForwardHeld, Streamed, Core::RespondLocally, Abort, RefuseBody, CallerGone, KeyAnswer>;

/// What is needed of a caller's request with an idempotency key besides the request itself.
struct KeyedRequest
{
    Keys::Key key;
    /// Larger bodies are refused.
    std::size_t bodyLimit = 0;
};

/// Work whose answer is collected instead of written to a caller.
struct Capture
{
    RequestMessage message;
    std::string callerAddress;
    /// An answer that streams.
    Keys::StoredAnswer streamed;
    bool tooLong = false;
    std::function<void(CapturedAnswer)> done;
};

/// A caller's request from its head to the end of its answer.
struct Exchange
{
    RequestId id = 0;
    /// Null for captured work.
    std::shared_ptr<CallerConnection> caller;
    std::optional<KeyedRequest> keyed;
    std::unique_ptr<Capture> capture;
    const RequestParser *parser = nullptr;
    /// The head as it came from the caller.
    const std::string *headText = nullptr;
    CheckedRequest request;
    std::string requestIdText;
    TimePoint arrivedAt{};
    /// When the buffered part of the body was complete.
    TimePoint bodyReadyAt{};

    /// The whole body, or its beginning when it streams.
    std::string body;
    /// Attempts may start: the body is buffered or known to be too long for that.
    bool bodyReady = false;
    bool bodyStreams = false;
    /// A part of a streaming body is gone, so that no further attempt is possible.
    bool bodyConsumed = false;

    /// Attempts that wait for the body.
    std::vector<Core::StartAttempt> pending;
    std::vector<std::shared_ptr<Attempt>> attempts;
    std::string service;
    /// All attempts, in the order of their starts.
    std::vector<AttemptReport> history;
    /// The head of a streaming answer was passed on.
    bool headForwarded = false;

    std::optional<Decision> decision;
    /// The caller's connection is done with it; attempts may still run.
    bool ended = false;
};

} // namespace Verbenadock::Proxy::internal

#endif
