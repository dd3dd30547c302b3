#ifndef VERBENADOCK_PROXY_CALLERCONNECTION_H
#define VERBENADOCK_PROXY_CALLERCONNECTION_H

#include "exchange.h"
#include "httpparser.h"
#include "io.h"
#include "timerwheel.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Proxy::internal {

class Host;

/// Result of reading a part of a request body.
enum class BodyState {
    /// Bytes were appended or the body is complete.
    Progress,
    Malformed,
    TooLarge,
    TimedOut,
    /// The request was decided in the meantime, or the caller disconnected.
    Stopped,
};

/// A connection from a caller. A coroutine reads requests and writes answers. At most one read is outstanding at any
/// time; it is also kept while an upstream works, so that a disconnect is detected at once.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(std::shared_ptr<Host> owner, Socket callerSocket);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Serves requests until the connection ends.
    Task<void> run();

    /// Appends the next decoded bytes of the request body to the output.
    Task<BodyState> readBody(std::string &output);

    /// Whether the whole body of the current request was read.
    bool bodyDone() const;

    /// Starts to detect a disconnect of the caller while an upstream works.
    void watchForDisconnect();

    /// Writes all data; returns false on an error or when no progress is made for the stall timeout.
    Task<bool> write(std::string_view data);

    const std::string &peerAddress() const;

    /// Whether the connection ends after the current answer.
    bool closesAfterAnswer() const;

    /// Resumes the coroutines that wait for input or a decision.
    void wake();

    /// Closes the connection unless a request has begun on it.
    void closeIfIdle();

    void close();

private:
    enum class NextStep {
        Request,
        Close,
        /// Close after the caller has had time to read the answer.
        Linger,
    };

    Task<void> serveRequests();
    Task<NextStep> readHead();
    Task<NextStep> waitForHead(bool headStarted);
    Task<NextStep> rejectHead(BadRequest reason);
    Task<NextStep> serveRequest();
    Task<void> bufferBody(Exchange &exchange);
    Task<bool> sendContinue();
    Task<bool> waitForInput(Duration limit);
    Task<NextStep> writeDecision(Exchange &exchange);
    Task<NextStep> writeHeldAnswer(Exchange &exchange, std::shared_ptr<Attempt> attempt);
    Task<NextStep> writeLocalAnswer(Exchange &exchange, const Core::RespondLocally &answer);
    Task<NextStep> writeKeyAnswer(Exchange &exchange, const KeyAnswer &answer);
    Task<NextStep> writeBodyRejection(Exchange &exchange, const RejectBody &refusal);
    Task<void> linger();
    bool hasUnreadInput() const;
    NextStep nextStepAfterAnswer(bool written) const;
    void startRead();
    void readCompleted(ErrorCode error, std::size_t size);
    void reset();

    std::shared_ptr<Host> host;
    Socket socket;
    std::string peerAddressText;
    Buffer buffer;
    std::optional<RequestMessage> message;
    CheckedRequest request;
    std::shared_ptr<Exchange> exchange;
    Signal inputSignal;
    Signal decisionSignal;
    Timer inputTimer;
    Timer outputTimer;
    bool reading = false;
    bool inputTimedOut = false;
    bool inputEnded = false;
    bool watchingForDisconnect = false;
    bool continueSent = false;
};

} // namespace Verbenadock::Proxy::internal

#endif
