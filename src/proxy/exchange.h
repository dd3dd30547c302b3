#ifndef VERBENADOCK_PROXY_EXCHANGE_H
#define VERBENADOCK_PROXY_EXCHANGE_H

#include "heldbytes.h"
#include "httpparser.h"
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

/// The complete, buffered answer of the attempt is forwarded.
struct ForwardBuffered
{
    std::shared_ptr<Attempt> attempt;
};

/// The answer was forwarded while it arrived and is complete.
struct AnswerStreamed
{
};

/// The connection of the caller is reset.
struct ResetCaller
{
};

/// The request is rejected, because its body was malformed, too long or too slow.
struct RejectBody
{
    BadRequest reason = BadRequest::BadBody;
    /// Whether an upstream may have seen a part of the request.
    bool mayHaveRun = false;
};

/// Status with which the request is rejected.
unsigned statusOf(const RejectBody &rejection);

/// The caller closed its connection, or an earlier answer closed it.
struct CallerGone
{
    /// The request counts as not read, because an earlier answer of its connection closed the connection.
    bool countsAsNotRead = false;
};

/// The request is rejected, because the process holds as many bytes as it may.
struct RefuseForMemory
{
};

inline constexpr std::string_view MemoryLimitReason = "memory-limit";
inline constexpr unsigned MemoryLimitStatus = 503;

using Decision = std::variant<ForwardBuffered,
                              AnswerStreamed,
                              Core::RespondLocally,
                              ResetCaller,
                              RejectBody,
                              CallerGone,
                              KeyAnswer,
                              RefuseForMemory>;

/// Additional data of a caller's request with an idempotency key.
struct KeyedRequest
{
    Keys::Key key;
    /// In bytes. Longer bodies are rejected.
    std::size_t bodyLimit = 0;
};

/// Work for an idempotency key, whose answer is collected instead of written to a caller.
struct Capture
{
    RequestMessage message;
    std::string callerAddress;
    /// The parts of a streaming answer received so far.
    Keys::StoredAnswer streamedAnswer;
    bool answerTooLong = false;
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
    /// Null for captured work.
    std::unique_ptr<RequestMessage> message;
    const RequestParser *parser = nullptr;
    /// The head as received from the caller.
    const std::string *headText = nullptr;
    CheckedRequest request;
    std::string requestIdText;
    TimePoint arrivedAt{};
    /// Time at which the buffered part of the body was complete.
    TimePoint bodyReadyAt{};

    /// The whole body, or its beginning if the body streams.
    std::string body;
    /// Counts the buffered body.
    std::optional<HeldCharge> bodyCharge;
    /// Memory ran short, so that the request was refused or its answer was not held back.
    bool memoryLimited = false;
    /// Attempts may start, because the body is buffered or known to be too long to buffer.
    bool bodyReady = false;
    bool bodyStreams = false;
    /// An attempt consumed a part of the streaming body, so that no further attempt is possible.
    bool bodyConsumed = false;

    /// Attempts that wait for bodyReady.
    std::vector<Core::StartAttempt> pendingAttempts;
    std::vector<std::shared_ptr<Attempt>> attempts;
    /// Numbers of the upstream connections on which the request was sent.
    std::vector<std::uint64_t> usedConnections;
    std::string service;
    /// Name of the customer in the last attempt.
    std::string customer;
    /// The caller sent a well-formed key.
    bool hasKey = false;
    /// Reports of all attempts, in the order of their starts.
    std::vector<AttemptReport> attemptReports;
    /// The head of a streaming answer was forwarded.
    bool headForwarded = false;

    std::optional<Decision> decision;
    /// The caller's connection released the exchange; attempts may still run.
    bool ended = false;
};

} // namespace Verbenadock::Proxy::internal

#endif
