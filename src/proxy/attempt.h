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

/// The upstream is another one than the request expects, and did not run it.
inline constexpr unsigned MisdirectedStatus = 421;

class Host;

/// One attempt to have a request answered by an upstream.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(std::shared_ptr<Host> owner, std::shared_ptr<Exchange> served, Core::StartAttempt given);

    /// Sends the request and reads the answer; reports to the host.
    Task<void> run();

    /// Closes the connection; nothing is reported any more.
    void cancel();

    /// Gives up an unfinished upload; a complete request goes on, and its answer is dropped.
    void callerGone();

    /// Allows a streaming answer to be passed on.
    void startForwarding();

    /// Appends the complete answer in the form that the caller gets.
    void appendHeldAnswer(std::string &out, bool close) const;

    /// The complete answer of captured work.
    Keys::StoredAnswer heldAnswer() const;

    AttemptId id() const
    {
        return this->order.attempt;
    }

    const Core::StartAttempt &startOrder() const
    {
        return this->order;
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

    /// From the first byte of the request to the last byte of the answer.
    Duration upstreamTime() const
    {
        return this->answeredAt - this->startedWritingAt;
    }

private:
    Task<bool> open();
    Task<ErrorCode> connect();
    Task<bool> send();
    std::string requestText();
    Task<ErrorCode> writeAll(std::string_view data);
    Task<void> upload();
    Task<bool> uploadPiece(std::string &piece, std::string &text);
    void finishRequest();

    Task<void> receive();
    Task<bool> readHead();
    Task<bool> readMore();
    /// Whether the answer repeats the id of this attempt, or of the request where attempts have no ids.
    bool belongsToRequest() const;
    bool checkHead();
    Task<bool> readBody();
    Task<bool> forwardPiece(bool last);
    void capturePiece(Capture &capture);
    void complete();

    void fail(Health::Cause cause);
    Health::Cause readFailure(ErrorCode error) const;
    Health::Cause silenceCause() const;
    void limitTo(Duration limit);
    bool stopped() const;
    void releaseConnection();
    BodyFraming answerFraming() const;
    bool answerFlag(std::string_view name) const;

    std::shared_ptr<Host> host;
    std::shared_ptr<Exchange> exchange;
    Core::StartAttempt order;
    std::string idText;
    std::shared_ptr<UpstreamPeer> peer;
    std::unique_ptr<UpstreamConnection> connection;
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
