#include "messageconnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace Verbenadock::Net {

namespace asio = boost::asio;
using asio::ip::tcp;
using internal::Http2Session;

namespace {

// Small frames are combined into one write to save system calls and packets.
constexpr std::size_t WriteBytes = 65536;

Endpoint toEndpoint(const tcp::endpoint &endpoint)
{
    return {.address = endpoint.address().to_string(), .port = endpoint.port()};
}

} // namespace

MessageStream::Implementation::Implementation(asio::io_context &context, StreamOptions newOptions)
    : transport(context)
    , openTimer(context)
    , options(std::move(newOptions))
    , counters(this->options.counters ? this->options.counters : std::make_shared<StreamCounters>())
{
}

void MessageStream::Implementation::startClient(const Endpoint &endpoint, StreamHandlers newHandlers)
{
    this->handlers = std::move(newHandlers);
    this->startOpenTimer();
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        this->fail(CloseReason::ConnectFailed, "'" + endpoint.address + "' is not an IP address");
        return;
    }
    const tcp::endpoint target(address, endpoint.port);
    this->bindLocalAddress(target.protocol());
    if (this->closed) {
        return;
    }
    this->transport.async_connect(target, [self = this->shared_from_this()](const boost::system::error_code &failure) {
        if (self->closed) {
            return;
        }
        if (failure) {
            self->fail(CloseReason::ConnectFailed, failure.message());
            return;
        }
        self->startProtocol(Http2Session::Role::Client);
    });
}

void MessageStream::Implementation::bindLocalAddress(const tcp &protocol)
{
    if (this->options.localAddress.empty()) {
        return;
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(this->options.localAddress, error);
    if (!error) {
        this->transport.open(protocol, error);
    }
    if (!error) {
        this->transport.bind(tcp::endpoint(address, 0), error);
    }
    if (error) {
        this->fail(CloseReason::ConnectFailed, this->options.localAddress + ": " + error.message());
    }
}

void MessageStream::Implementation::startServer(std::function<StreamHandlers(MessageStream)> newAccept)
{
    this->accept = std::move(newAccept);
    this->startOpenTimer();
    this->startProtocol(Http2Session::Role::Server);
}

void MessageStream::Implementation::startProtocol(Http2Session::Role role)
{
    boost::system::error_code error;
    const auto peer = this->transport.remote_endpoint(error);
    if (error) {
        this->fail(CloseReason::ConnectFailed, error.message());
        return;
    }
    this->remote = toEndpoint(peer);
    // Disables Nagle's algorithm: small heartbeats must not wait for the acknowledgement of earlier segments.
    this->transport.set_option(tcp::no_delay(true), error);
    this->session = std::make_unique<Http2Session>(role,
                                                   this->options.maxMessageBytes,
                                                   Http2Session::Handlers{
                                                       .onOpen =
                                                           [this] {
                                                               this->handleOpen();
                                                           },
                                                       .onMessage =
                                                           [this](std::string_view message) {
                                                               return this->handleMessage(message);
                                                           },
                                                   });
    for (auto &message : this->pendingMessages) {
        this->session->send(std::move(message));
    }
    this->pendingMessages.clear();
    this->pendingBytes = 0;
    this->read();
    this->write();
}

void MessageStream::Implementation::startOpenTimer()
{
    this->openTimer.expires_after(this->options.openTimeout);
    this->openTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->open && !self->closed) {
            self->fail(CloseReason::OpenTimeout, "the stream did not open within the time limit");
        }
    });
}

void MessageStream::Implementation::handleOpen()
{
    this->open = true;
    this->openTimer.cancel();
    ++this->counters->opened;
    if (this->accept) {
        MessageStream stream;
        stream.implementation = this->shared_from_this();
        this->handlers = std::exchange(this->accept, nullptr)(stream);
    }
    if (!this->closed && this->handlers.onOpen) {
        this->handlers.onOpen();
    }
}

bool MessageStream::Implementation::handleMessage(std::string_view message)
{
    if (this->closed) {
        return false;
    }
    ++this->counters->messagesReceived;
    if (this->handlers.onMessage) {
        this->handlers.onMessage(message);
    }
    return !this->closed;
}

bool MessageStream::Implementation::send(std::string message)
{
    if (this->closed) {
        return false;
    }
    const std::size_t queued = this->session ? this->session->queuedBytes() : this->pendingBytes;
    if (message.size() > this->options.maxMessageBytes || queued + message.size() > this->options.maxQueuedBytes) {
        ++this->counters->queueOverflows;
        this->fail(CloseReason::QueueOverflow,
                   std::to_string(queued) + " bytes are queued; the message exceeds a size limit");
        return false;
    }
    ++this->counters->messagesSent;
    if (!this->session) {
        this->pendingBytes += message.size();
        this->pendingMessages.push_back(std::move(message));
        return true;
    }
    this->session->send(std::move(message));
    this->write();
    return true;
}

void MessageStream::Implementation::read()
{
    this->transport.async_read_some(
        asio::buffer(this->input),
        [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t length) {
            self->handleRead(error, length);
        });
}

void MessageStream::Implementation::handleRead(const boost::system::error_code &error, std::size_t length)
{
    if (this->closed) {
        return;
    }
    if (error) {
        const bool endOfStream = error == asio::error::eof;
        this->fail(endOfStream ? CloseReason::PeerClosed : CloseReason::TransportError, error.message());
        return;
    }
    this->counters->bytesReceived += length;
    this->insideSession = true;
    const bool valid = this->session->receive({this->input.data(), length});
    this->insideSession = false;
    if (this->closed) {
        return;
    }
    if (!valid) {
        this->fail(CloseReason::ProtocolError, this->session->failure());
        return;
    }
    if (this->session->finished()) {
        this->fail(CloseReason::PeerClosed, "the peer ended the stream");
        return;
    }
    this->write();
    if (!this->closed) {
        this->read();
    }
}

void MessageStream::Implementation::write()
{
    if (this->writing || this->insideSession || this->closed || !this->session) {
        return;
    }
    while (this->output.size() < WriteBytes) {
        const auto part = this->session->nextOutput();
        if (part.empty()) {
            break;
        }
        this->output.append(part);
    }
    if (!this->session->failure().empty()) {
        this->fail(CloseReason::ProtocolError, this->session->failure());
        return;
    }
    if (this->output.empty()) {
        return;
    }
    this->writing = true;
    asio::async_write(this->transport,
                      asio::buffer(this->output),
                      [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t length) {
                          self->handleWrite(error, length);
                      });
}

void MessageStream::Implementation::handleWrite(const boost::system::error_code &error, std::size_t length)
{
    this->writing = false;
    this->output.clear();
    this->counters->bytesSent += length;
    if (this->closed) {
        return;
    }
    if (error) {
        this->fail(CloseReason::TransportError, error.message());
        return;
    }
    this->write();
}

void MessageStream::Implementation::close()
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    this->open = false;
    this->openTimer.cancel();
    boost::system::error_code ignored;
    this->transport.close(ignored);
    // close() may be called from a handler, so the handlers are destroyed after the current one has returned.
    asio::post(this->transport.get_executor(), [self = this->shared_from_this()] {
        self->release();
    });
}

void MessageStream::Implementation::fail(CloseReason reason, std::string detail)
{
    if (this->closed) {
        return;
    }
    if (reason == CloseReason::ProtocolError) {
        ++this->counters->protocolErrors;
    }
    auto notify = this->handlers.onClose;
    this->close();
    if (notify) {
        // onClose must not run from inside send(), so the call is posted.
        asio::post(this->transport.get_executor(),
                   [notify = std::move(notify), closed = StreamClosed{reason, std::move(detail)}] {
                       notify(closed);
                   });
    }
}

void MessageStream::Implementation::release()
{
    this->handlers = {};
    this->accept = nullptr;
    this->pendingMessages.clear();
    if (this->onRelease) {
        std::exchange(this->onRelease, nullptr)();
    }
}

} // namespace Verbenadock::Net
