#ifndef VERBENADOCK_PROXY_CALLERCONNECTION_H
#define VERBENADOCK_PROXY_CALLERCONNECTION_H

#include "exchange.h"
#include "httpparser.h"
#include "io.h"
#include "requestpipeline.h"
#include "timerwheel.h"
#include "verbenadock/settings/settings.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

/// A connection from a caller. A coroutine serves the first unanswered request. Idempotent requests behind it are
/// started as they arrive; their answers wait until it is their turn. At most one read is outstanding at any time; it
/// is also kept while an upstream works, so that a disconnect is detected at once.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(std::shared_ptr<Host> owner, Socket callerSocket);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Serves requests until the connection ends.
    Task<void> run();

    /// Appends the next decoded bytes of the request body to the output. Only the first request can have a body.
    Task<BodyState> readBody(const Exchange &exchange, std::string &output);

    /// Starts to read further requests and to detect a disconnect of the caller while an upstream works.
    void watchForDisconnect();

    /// Whether the answer to the request is the next one to be written.
    bool isFirst(const Exchange &exchange) const;

    /// Bytes of answers that are held until it is their turn.
    std::size_t waitingAnswerBytes() const;

    /// Writes all data; returns false on an error or when no progress is made for the stall timeout.
    Task<bool> write(std::string_view data);

    const std::string &peerAddress() const;

    /// Decides whether the connection ends after the answer to the request, which is now written. If it does, no
    /// further request is started.
    bool decideClose(const Exchange &exchange);

    /// Resumes the coroutines that wait for input or a decision.
    void wake();

    /// Extends the waits that have begun to raised limits. Lowered ones hold for the waits that begin later.
    void limitsChanged();

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

    /// A wait that is bounded by a limit which may change meanwhile.
    struct LimitedWait
    {
        TimePoint since;
        /// Null if the end is fixed.
        Duration Settings::EntryLimits::*limit = nullptr;
        TimePoint end{};
    };

    /// By this the buffer is larger than the longest head.
    static constexpr std::size_t HeadReserveBytes = 4096;

    Task<void> serveRequests();
    Task<NextStep> readHead();
    HeadState parseNextHead();
    bool hasHeadBytes() const;
    Task<NextStep> waitForHead(bool headStarted);
    Task<NextStep> rejectHead(BadRequest reason);
    /// Starts the request whose head was read.
    void beginRequest(const PipelineTraits &traits);
    PipelineTraits traitsOfNext() const;
    /// Starts the requests in the buffer that may run beside the unanswered ones, and reads on.
    void readAhead();
    Task<NextStep> serveFirst();
    void finishFirst();
    /// Ends the requests behind an answer that closed the connection.
    void dropUnanswered(bool countsAsNotRead);
    Task<void> bufferBody(Exchange &exchange);
    Task<bool> sendContinue();
    /// Waits for further bytes; returns false at the end of the wait, at the end of the input, and when a decision ends
    /// the wait.
    Task<bool> waitForInput(LimitedWait wait);
    /// Sets the timer to the end of the wait by the limit in force, but never to an earlier one than before.
    void setTimer(Timer &timer, LimitedWait &wait) const;
    void startOutputTimer();
    void stopOutputTimer();
    Task<NextStep> writeDecision(Exchange &exchange);
    Task<NextStep> writeHeldAnswer(Exchange &exchange, std::shared_ptr<Attempt> attempt);
    Task<NextStep> writeLocalAnswer(Exchange &exchange, const Core::RespondLocally &answer);
    Task<NextStep> writeKeyAnswer(Exchange &exchange, const KeyAnswer &answer);
    Task<NextStep> writeMemoryRefusal(Exchange &exchange);
    Task<NextStep> writeBodyRejection(Exchange &exchange, const RejectBody &refusal);
    Task<void> linger();
    bool hasUnreadInput() const;
    NextStep nextStepAfterAnswer(bool written);
    bool firstIsDecided() const;
    void outputStalled();
    std::size_t unacknowledgedBytes();
    void startRead();
    /// Detects a reset while nothing is read.
    void watchForReset();
    void reportCallerGone();
    void readReady(ErrorCode error, std::size_t size);
    void readCompleted(ErrorCode error, std::size_t size);
    void reset();

    std::shared_ptr<Host> host;
    Socket socket;
    std::string peerAddressText;
    Buffer buffer;
    /// The next request. Null until its first bytes are looked for.
    std::unique_ptr<RequestMessage> message;
    /// State of the next head. A head may be complete before its request may start.
    HeadState headState = HeadState::Incomplete;
    /// Set when the next head is complete.
    CheckResult checkedHead;
    RequestPipeline pipeline;
    /// The unanswered requests, in the order of the pipeline.
    std::vector<std::shared_ptr<Exchange>> exchanges;
    Signal inputSignal;
    Signal decisionSignal;
    Timer inputTimer;
    Timer outputTimer;
    std::optional<LimitedWait> inputWait;
    std::optional<LimitedWait> outputWait;
    /// Bytes that the caller had not acknowledged when the output timer was set.
    std::size_t unacknowledgedAtStart = 0;
    bool reading = false;
    /// The outstanding read writes into the buffer, which was empty when the read was started.
    bool bufferInUse = false;
    bool inputTimedOut = false;
    bool inputEnded = false;
    bool watchingForDisconnect = false;
    bool watchingForReset = false;
    bool continueSent = false;
};

} // namespace Verbenadock::Proxy::internal

#endif
