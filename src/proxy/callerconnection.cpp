#include "callerconnection.h"

#include "attempt.h"
#include "host.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr std::size_t MinBufferBytes = 65536;

} // namespace

CallerConnection::CallerConnection(std::shared_ptr<Host> owner, Socket callerSocket)
    : host(std::move(owner))
    , socket(std::move(callerSocket))
    , buffer(std::max(this->host->limits().maxHeaderBytes + HeadReserveBytes, MinBufferBytes))
    , inputTimer(this->host->timers(),
                 [this] {
                     this->inputTimedOut = true;
                     this->inputSignal.notify();
                 })
    , outputTimer(this->host->timers(), [this] {
        this->outputStalled();
    })
{
    ErrorCode ignored;
    this->peerAddressText = this->socket.remote_endpoint(ignored).address().to_string();
    this->host->connectionOpened(*this);
}

CallerConnection::~CallerConnection()
{
    this->host->connectionClosed(*this);
}

Task<void> CallerConnection::run()
{
    const auto self = this->shared_from_this();
    co_await this->serveRequests();
    this->close();
}

Task<void> CallerConnection::serveRequests()
{
    for (;;) {
        auto next = NextStep::Request;
        if (this->pipeline.empty()) {
            next = co_await this->readHead();
            if (next == NextStep::Request) {
                this->beginRequest(this->traitsOfNext());
            }
        }
        if (next == NextStep::Request) {
            next = co_await this->serveFirst();
        }
        if (next == NextStep::Linger) {
            co_await this->linger();
        }
        if (next != NextStep::Request) {
            co_return;
        }
    }
}

void CallerConnection::beginRequest(const PipelineTraits &traits)
{
    auto started = std::make_shared<Exchange>();
    started->caller = this->shared_from_this();
    started->message = std::move(this->message);
    started->parser = &started->message->parser;
    started->headText = &started->message->headText;
    started->request = std::move(std::get<CheckedRequest>(this->checkedHead));
    this->headState = HeadState::Incomplete;
    this->exchanges.push_back(started);
    started->id = this->host->nextRequestId();
    this->pipeline.start(started->id, traits);
    if (this->exchanges.size() > 1) {
        this->host->metrics().pipelinedRequests.add();
    } else {
        this->continueSent = false;
        this->watchingForDisconnect = false;
    }
    this->host->beginExchange(started);
}

Task<CallerConnection::NextStep> CallerConnection::serveFirst()
{
    const auto current = this->exchanges.front();
    if (current->parser->is_done()) {
        this->watchForDisconnect();
    }
    while (!current->decision) {
        if (!current->bodyReady && (current->keyed || !current->pendingAttempts.empty())) {
            co_await this->bufferBody(*current);
        } else {
            co_await this->decisionSignal.wait();
        }
    }
    const auto next = co_await this->writeDecision(*current);
    const bool callerGone = std::holds_alternative<CallerGone>(*current->decision);
    this->finishFirst();
    this->host->endExchange(*current);
    if (next != NextStep::Request) {
        this->dropUnanswered(!callerGone);
    }
    co_return next;
}

void CallerConnection::finishFirst()
{
    this->exchanges.erase(this->exchanges.begin());
    this->pipeline.finishFirst();
    if (this->exchanges.empty()) {
        this->watchingForDisconnect = false;
        return;
    }
    const auto attempts = this->exchanges.front()->attempts;
    for (const auto &attempt : attempts) {
        attempt->turnReached();
    }
}

void CallerConnection::dropUnanswered(bool countsAsNotRead)
{
    this->pipeline.close();
    for (const auto &unanswered : std::exchange(this->exchanges, {})) {
        this->pipeline.finishFirst();
        this->host->dropUnread(*unanswered, countsAsNotRead);
    }
}

bool CallerConnection::isFirst(const Exchange &exchange) const
{
    return this->pipeline.isFirst(exchange.id);
}

std::size_t CallerConnection::waitingAnswerBytes() const
{
    std::size_t bytes = 0;
    for (const auto &waiting : this->exchanges) {
        if (waiting == this->exchanges.front()) {
            continue;
        }
        for (const auto &attempt : waiting->attempts) {
            bytes += attempt->heldBytes();
        }
        const auto *held = waiting->decision ? std::get_if<ForwardBuffered>(&*waiting->decision) : nullptr;
        bytes += held ? held->attempt->heldBytes() : 0;
    }
    return bytes;
}

Task<bool> CallerConnection::write(std::string_view data)
{
    ErrorCode error;
    // Most answers fit into the socket's send buffer, so that no asynchronous operation is needed.
    auto written = this->socket.write_some(asio::buffer(data), error);
    if (error && error != asio::error::would_block) {
        co_return false;
    }
    written = error ? 0 : written;
    while (written < data.size()) {
        this->startOutputTimer();
        written += co_await this->socket.async_write_some(asio::buffer(data.substr(written)),
                                                          asio::redirect_error(UseTask, error));
        this->stopOutputTimer();
        if (error) {
            co_return false;
        }
    }
    co_return true;
}

void CallerConnection::outputStalled()
{
    // The kernel reports room only when a third of its buffer is free, which a slow caller may need longer for than the
    // stall timeout. Bytes that the caller has acknowledged are progress.
    if (this->unacknowledgedBytes() < this->unacknowledgedAtStart) {
        this->startOutputTimer();
        return;
    }
    this->close();
}

void CallerConnection::startOutputTimer()
{
    this->unacknowledgedAtStart = this->unacknowledgedBytes();
    this->outputWait = LimitedWait{monotonicNow(), &Settings::EntryLimits::callerStallTimeout};
    this->setTimer(this->outputTimer, *this->outputWait);
}

void CallerConnection::stopOutputTimer()
{
    this->outputTimer.clear();
    this->outputWait.reset();
}

void CallerConnection::setTimer(Timer &timer, LimitedWait &wait) const
{
    // Callers rely on the limits that they know, so that a lowered one must not close what they may still use.
    if (wait.limit != nullptr) {
        wait.end = std::max(wait.end, wait.since + this->host->limits().*wait.limit);
    }
    timer.set(wait.end);
}

void CallerConnection::limitsChanged()
{
    if (this->inputWait) {
        this->setTimer(this->inputTimer, *this->inputWait);
    }
    if (this->outputWait) {
        this->setTimer(this->outputTimer, *this->outputWait);
    }
}

std::size_t CallerConnection::unacknowledgedBytes()
{
    int bytes = 0;
    const bool known = ::ioctl(this->socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
    return known ? static_cast<std::size_t>(bytes) : 0;
}

const std::string &CallerConnection::peerAddress() const
{
    return this->peerAddressText;
}

bool CallerConnection::decideClose(const Exchange &exchange)
{
    // During a stop the requests that were started are answered, and the connection is closed behind the last one.
    const bool stops = this->host->stopping() && this->pipeline.isLast(exchange.id);
    if (!exchange.request.keepAlive || !exchange.parser->is_done() || stops || this->inputEnded) {
        this->pipeline.close();
    }
    return this->pipeline.closed();
}

void CallerConnection::wake()
{
    // An upload that waits for input has to end before the answer is written.
    this->inputSignal.notify();
    this->decisionSignal.notify();
}

void CallerConnection::closeIfIdle()
{
    if (this->exchanges.empty() && this->buffer.size() == 0 && !this->hasUnreadInput()) {
        this->close();
    }
}

bool CallerConnection::hasUnreadInput() const
{
    ErrorCode error;
    return this->socket.available(error) > 0 && !error;
}

void CallerConnection::close()
{
    this->inputTimer.clear();
    this->inputWait.reset();
    this->stopOutputTimer();
    this->inputEnded = true;
    ErrorCode ignored;
    this->socket.close(ignored);
}

void CallerConnection::reset()
{
    ErrorCode ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->close();
}

} // namespace Verbenadock::Proxy::internal
