#ifndef VERBENADOCK_PROXY_ATTEMPT_H
#define VERBENADOCK_PROXY_ATTEMPT_H

#include "exchange.h"
#include "headwriter.h"
#include "httpparser.h"
#include "io.h"
#include "timerwheel.h"
#include "upstreampool.h"
#include "verbenadock/core/effect.h"
#include "verbenadock/health/sample.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Proxy::internal {

/// Status of an upstream that is not the expected instance and did not run the request.
inline constexpr unsigned MisdirectedStatus = 421;

/// Whether callers may interpret the status as "the request was not run".
bool impliesNotRun(unsigned status);

class Host;

/// One attempt to have a request answered by an upstream.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(std::shared_ptr<Host> owner, std::shared_ptr<Exchange> servedExchange, Core::StartAttempt startEffect);

    /// Sends the request, reads the answer and reports the result to the host.
    Task<void> run();

    /// Closes the connection. The host gets no further reports.
    void cancel();

    /// Handles a disconnected caller: fails an unfinished upload; the answer to a complete request is read and dropped.
    void callerGone();

    /// Allows a streaming answer to be forwarded.
    void startForwarding();

    /// Continues forwarding when the answer may now be written to the caller.
    void turnReached();

    /// Bytes of the answer that are held in memory.
    std::size_t heldBytes() const
    {
        return this->body.size();
    }

    /// Appends the complete answer as it is sent to the caller, and frees its body.
    void takeBufferedAnswer(std::string &out, bool close);

    /// The complete answer of captured work.
    Keys::StoredAnswer bufferedAnswer() const;

    AttemptId id() const
    {
        return this->parameters.attempt;
    }

    const Core::StartAttempt &startParameters() const
    {
        return this->parameters;
    }

    unsigned answerStatus() const
    {
        return this->response ? this->response->parser.statusCode : 0;
    }

    bool completed() const
    {
        return this->answerComplete;
    }

    bool mayHaveRun() const
    {
        return this->bytesWritten > 0;
    }

    /// Time from the first byte of the request to the last byte of the answer.
    Duration upstreamTime() const
    {
        return this->answeredAt - this->startedWritingAt;
    }

private:
    /// Whether the first byte of the request may be written.
    bool maySend(TimePoint now) const;
    /// Known length of the request body in bytes.
    std::uint64_t knownBodyBytes() const;
    Task<bool> open();
    Core::ConnectionPolicy connectionPolicy() const;
    Task<ErrorCode> connect();
    Task<bool> send();
    /// The head, followed by the buffered body if that is chunked.
    std::string requestText();
    /// The buffered body if it is written behind the request text.
    std::string_view unchunkedBody() const;
    /// Writes both parts, without a copy of either.
    Task<ErrorCode> writeAll(std::string_view first, std::string_view second = {});
    Task<void> upload();
    Task<bool> writeBodyPart(std::string &part, std::string &text);
    void markRequestWritten();

    Task<void> receive();
    Task<bool> readHead();
    Task<bool> readMore();
    /// Whether the answer echoes the id of this attempt, or of the request if the dialect has no attempt ids.
    bool answerIdMatches() const;
    bool checkHead();
    /// Reports what the upstream announces in the head. The head has to be an answer to this attempt.
    void reportAnnouncement();
    /// Whether the upstream states that it did not run the request.
    bool statesNotRun() const;
    /// Whether callers would take the status as proof that the request was not run, which the upstream did not state.
    bool promisesWithoutProof() const;
    Task<bool> readBody();
    bool mayForward() const;
    /// Whether the answer cannot be held, because memory runs short.
    bool memoryLimits() const;
    /// Whether a part of the answer has to be forwarded before more of it is read.
    bool holdsEnough() const;
    Task<bool> forwardBodyPart(bool last);
    /// Counts the bytes that are held for the caller.
    void countHeldAnswer();
    void captureBodyPart(Capture &capture);
    void complete();

    void fail(Health::Cause cause);
    Health::Cause readFailureCause(ErrorCode error) const;
    Health::Cause timeoutCause() const;
    void setTimeout(Duration limit);
    bool stopped() const;
    void releaseConnection();
    BodyFraming answerFraming() const;
    bool hasFlagField(std::string_view name) const;

    std::shared_ptr<Host> host;
    std::shared_ptr<Exchange> exchange;
    Core::StartAttempt parameters;
    std::string idText;
    std::shared_ptr<UpstreamPeer> peer;
    std::unique_ptr<UpstreamConnection> connection;
    HeldCharge answerCharge;
    HeldCharge requestCharge;
    TransitCharge transitCharge;
    Timer timer;
    Signal forwardAllowed;
    std::optional<ResponseMessage> response;
    std::string body;
    std::string outgoing;
    std::size_t bytesWritten = 0;
    TimePoint startedWritingAt{};
    TimePoint writtenAt{};
    TimePoint answeredAt{};
    bool requestWritten = false;
    bool timedOut = false;
    bool cancelled = false;
    bool finished = false;
    bool answerComplete = false;
    bool headReported = false;
    bool forwarding = false;
    bool headForwarded = false;
};

} // namespace Verbenadock::Proxy::internal

#endif
