#ifndef VERBENADOCK_NET_MESSAGESTREAM_H
#define VERBENADOCK_NET_MESSAGESTREAM_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"
#include "verbenadock/net/error.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Verbenadock::Net {

/// Totals over all streams that share them.
struct StreamCounters
{
    std::uint64_t opened = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    /// Bytes at the socket, HTTP/2 framing included.
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    /// Streams closed because the peer did not take messages fast enough.
    std::uint64_t queueOverflows = 0;
    /// Streams closed because of bytes that are no HTTP/2 or no message.
    std::uint64_t protocolErrors = 0;
    /// Connections that a server refused because it had too many.
    std::uint64_t refusedConnections = 0;

    auto operator<=>(const StreamCounters &) const = default;
};

struct StreamOptions
{
    std::size_t maxMessageBytes = std::size_t{16} << 20U;
    /// Bytes of messages that wait for the peer; one message more closes the stream.
    std::size_t maxQueuedBytes = std::size_t{32} << 20U;
    /// From the start of the connection to the open stream, on both sides.
    Duration openTimeout = std::chrono::seconds(2);
    /// Address that a client connects from; empty for any.
    std::string localAddress;
    /// Connections that a server holds at the same time.
    std::size_t maxConnections = 1024;
    /// May be null.
    std::shared_ptr<StreamCounters> counters;
};

enum class CloseReason {
    PeerClosed,
    ConnectFailed,
    OpenTimeout,
    TransportError,
    ProtocolError,
    QueueOverflow,
};

std::string_view toString(CloseReason reason);

struct StreamClosed
{
    CloseReason reason = CloseReason::PeerClosed;
    /// For logs.
    std::string detail;

    auto operator<=>(const StreamClosed &) const = default;
};

struct StreamHandlers
{
    std::function<void()> onOpen;
    std::function<void(std::string_view)> onMessage;
    /// Comes at most once, never from inside send(), and not after close().
    std::function<void(const StreamClosed &)> onClose;
};

/// A connection that carries messages in both directions, as the bodies of one HTTP/2 POST request and its answer.
/// It does not detect a silent peer; its users send heartbeats. It belongs to the thread of its io_context.
///
/// Usage: `auto stream = MessageStream::connect(context, endpoint, handlers); stream.send(bytes);` Copies refer to the
/// same stream, which lives until it is closed by either side.
class MessageStream
{
public:
    /// A closed stream.
    MessageStream() = default;

    /// Starts to connect. Messages sent before the stream is open wait in its queue.
    static MessageStream connect(boost::asio::io_context &context,
                                 const Endpoint &endpoint,
                                 StreamHandlers handlers,
                                 StreamOptions options = {});

    /// Queues a message. Returns false when the stream is closed or the message does not fit; the latter closes it.
    bool send(std::string message);

    /// Drops whatever is queued. No handler is called afterwards.
    void close();

    bool isOpen() const;

    /// Bytes of messages that wait for the peer.
    std::size_t queuedBytes() const;

    /// The address of the peer; empty until a client is connected.
    Endpoint remote() const;

private:
    friend class MessageServer;
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

/// Accepts message streams.
///
/// Usage: `MessageServer server(context, endpoint, [](MessageStream stream) { return StreamHandlers{...}; });`
/// The constructor binds the port and throws NetError when it cannot.
class MessageServer
{
public:
    /// Called for each stream that is open; returns its handlers.
    using AcceptHandler = std::function<StreamHandlers(MessageStream)>;

    MessageServer(boost::asio::io_context &context,
                  const Endpoint &endpoint,
                  AcceptHandler onAccept,
                  StreamOptions options = {});
    ~MessageServer();
    MessageServer(const MessageServer &) = delete;
    MessageServer &operator=(const MessageServer &) = delete;

    /// The bound endpoint.
    Endpoint endpoint() const;

    /// Stops accepting and closes all streams.
    void stop();

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace Verbenadock::Net

#endif
