#include "verbenadock/net/messagestream.h"

#include "messageconnection.h"

#include <set>

namespace Verbenadock::Net {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string_view toString(CloseReason reason)
{
    switch (reason) {
    case CloseReason::PeerClosed:
        return "peer_closed";
    case CloseReason::ConnectFailed:
        return "connect_failed";
    case CloseReason::OpenTimeout:
        return "open_timeout";
    case CloseReason::TransportError:
        return "transport_error";
    case CloseReason::ProtocolError:
        return "protocol_error";
    case CloseReason::QueueOverflow:
        return "queue_overflow";
    }
    return "unknown";
}

MessageStream MessageStream::connect(asio::io_context &context,
                                     const Endpoint &endpoint,
                                     StreamHandlers handlers,
                                     StreamOptions options)
{
    MessageStream stream;
    stream.implementation = std::make_shared<Implementation>(context, std::move(options));
    stream.implementation->startClient(endpoint, std::move(handlers));
    return stream;
}

bool MessageStream::send(std::string message)
{
    return this->implementation && this->implementation->send(std::move(message));
}

void MessageStream::close()
{
    if (this->implementation) {
        this->implementation->close();
    }
}

bool MessageStream::isOpen() const
{
    return this->implementation && this->implementation->open;
}

std::size_t MessageStream::queuedBytes() const
{
    if (!this->implementation) {
        return 0;
    }
    const auto &session = this->implementation->session;
    return session ? session->queuedBytes() : this->implementation->pendingBytes;
}

Endpoint MessageStream::remote() const
{
    return this->implementation ? this->implementation->remote : Endpoint{};
}

struct MessageServer::Implementation : std::enable_shared_from_this<MessageServer::Implementation>
{
    using Connection = MessageStream::Implementation;

    Implementation(asio::io_context &ioContext, AcceptHandler newHandler, StreamOptions newOptions)
        : context(ioContext)
        , acceptor(ioContext)
        , retryTimer(ioContext)
        , onAccept(std::move(newHandler))
        , options(std::move(newOptions))
    {
        if (!this->options.counters) {
            this->options.counters = std::make_shared<StreamCounters>();
        }
    }

    void listen(const Endpoint &endpoint)
    {
        try {
            const tcp::endpoint local(asio::ip::make_address(endpoint.address), endpoint.port);
            this->acceptor.open(local.protocol());
            this->acceptor.set_option(tcp::acceptor::reuse_address(true));
            this->acceptor.bind(local);
            this->acceptor.listen();
        } catch (const boost::system::system_error &error) {
            throw NetError("cannot listen on " + toString(endpoint) + ": " + error.what());
        }
        this->accept();
    }

    void accept()
    {
        auto connection = std::make_shared<Connection>(this->context, this->options);
        this->acceptor.async_accept(
            connection->transport,
            [self = this->shared_from_this(), connection](const boost::system::error_code &error) {
                if (self->stopped) {
                    return;
                }
                if (error) {
                    self->retryAccept();
                    return;
                }
                self->handleConnection(connection);
                self->accept();
            });
    }

    // When no file descriptor is free, accept fails immediately; the delay prevents a busy loop.
    void retryAccept()
    {
        constexpr auto RetryDelay = std::chrono::milliseconds(100);
        this->retryTimer.expires_after(RetryDelay);
        this->retryTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
            if (!error && !self->stopped) {
                self->accept();
            }
        });
    }

    void handleConnection(const std::shared_ptr<Connection> &connection)
    {
        if (this->connections.size() >= this->options.maxConnections) {
            ++this->options.counters->refusedConnections;
            return;
        }
        this->connections.insert(connection);
        connection->onRelease = [weakSelf = this->weak_from_this(), weak = std::weak_ptr(connection)] {
            const auto self = weakSelf.lock();
            const auto released = weak.lock();
            if (self && released) {
                self->connections.erase(released);
            }
        };
        connection->startServer([weakSelf = this->weak_from_this()](MessageStream stream) {
            const auto self = weakSelf.lock();
            return self && !self->stopped ? self->onAccept(std::move(stream)) : StreamHandlers{};
        });
    }

    void stop()
    {
        this->stopped = true;
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        this->retryTimer.cancel();
        for (const auto &connection : std::exchange(this->connections, {})) {
            connection->close();
        }
    }

    asio::io_context &context;
    tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    AcceptHandler onAccept;
    StreamOptions options;
    std::set<std::shared_ptr<Connection>> connections;
    bool stopped = false;
};

MessageServer::MessageServer(asio::io_context &context,
                             const Endpoint &endpoint,
                             AcceptHandler onAccept,
                             StreamOptions options)
    : implementation(std::make_shared<Implementation>(context, std::move(onAccept), std::move(options)))
{
    this->implementation->listen(endpoint);
}

MessageServer::~MessageServer()
{
    this->implementation->stop();
}

Endpoint MessageServer::endpoint() const
{
    const auto local = this->implementation->acceptor.local_endpoint();
    return {.address = local.address().to_string(), .port = local.port()};
}

void MessageServer::stop()
{
    this->implementation->stop();
}

} // namespace Verbenadock::Net
