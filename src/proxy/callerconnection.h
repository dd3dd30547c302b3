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

/// Outcome of waiting for bytes of a body.
enum class BodyState {
    /// Bytes were appended or the body is complete.
    Progress,
    Broken,
    TooLarge,
    TimedOut,
    /// The request was decided meanwhile, or the caller is gone.
    Stopped,
};

/// One connection of a caller. A coroutine reads requests and writes answers; at most one read is outstanding at any
/// time, also while an upstream works, so that the end of the connection is noticed at once.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(std::shared_ptr<Host> owner, Socket accepted);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Serves requests until the connection ends.
    Task<void> run();

    /// Decodes the next bytes of the request's body.
    Task<BodyState> readBody(std::string &into);

    /// Whether the whole body of the present request was read.
    bool bodyDone() const;

    /// Watches for the end of the connection while an upstream works.
    void watch();

    /// Writes everything or returns false. A write that makes no progress for the stall timeout fails.
    Task<bool> write(std::string_view data);

    const std::string &peerAddress() const;

    /// Whether the connection ends after the present answer.
    bool closesAfterAnswer() const;

    /// Resumes the coroutines that wait for input or a decision.
    void wake();

    /// Closes the connection when no request has begun on it.
    void closeIfIdle();

    void close();

private:
    enum class Next {
        Request,
        Close,
        /// Close after the caller had time to read the answer.
        Linger,
    };

    Task<void> serveRequests();
    Task<Next> readHead();
    Task<Next> waitForHead(bool begun);
    Task<Next> refuseHead(BadRequest reason);
    Task<Next> serve();
    Task<void> bufferBody(Exchange &exchange);
    Task<bool> sendContinue();
    Task<bool> waitForInput(Duration limit);
    Task<Next> writeDecision(Exchange &exchange);
    Task<Next> writeHeld(Exchange &exchange, std::shared_ptr<Attempt> attempt);
    Task<Next> writeLocal(Exchange &exchange, const Core::RespondLocally &answer);
    Task<Next> writeKeyAnswer(Exchange &exchange, const KeyAnswer &answer);
    Task<Next> writeRefusal(Exchange &exchange, const RejectBody &refusal);
    Task<void> linger();
    bool hasUnreadInput() const;
    Next afterAnswer(bool written) const;
    void startRead();
    void finishRead(ErrorCode error, std::size_t size);
    void reset();

    std::shared_ptr<Host> host;
    Socket socket;
    std::string peerText;
    Buffer buffer;
    std::optional<RequestMessage> message;
    CheckedRequest request;
    std::shared_ptr<Exchange> exchange;
    Signal input;
    Signal decided;
    Timer inputTimer;
    Timer outputTimer;
    bool reading = false;
    bool inputTimedOut = false;
    bool inputEnded = false;
    bool watching = false;
    bool continueSent = false;
};

} // namespace Verbenadock::Proxy::internal

#endif
