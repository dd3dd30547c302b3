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

/// Totals over all streams that share this object.
struct StreamCounters
{
    std::uint64_t opened = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    /// Bytes written to the socket, including HTTP/2 framing; bytesReceived counts the same way.
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    /// Streams closed because a message was too long or, with a slow peer, exceeded the limit of the send queue.
    std::uint64_t queueOverflows = 0;
    /// Streams closed because the peer sent invalid HTTP/2 or an invalid message.
    std::uint64_t protocolErrors = 0;
    /// Connections that a server refused because maxConnections was reached.
    std::uint64_t refusedConnections = 0;

    auto operator<=>(const StreamCounters &) const = default;
};

struct StreamOptions
{
    std::size_t maxMessageBytes = std::size_t{16} << 20U;
    /// Limit of the send queue in bytes; a message that would exceed it closes the stream.
    std::size_t maxQueuedBytes = std::size_t{32} << 20U;
    /// Time limit from the start of the connection until the stream is open, on both sides.
    Duration openTimeout = std::chrono::seconds(2);
    /// Local IP address that a client binds to; empty for any.
    std::string localAddress;
    /// Maximum number of concurrent connections of a server.
    std::size_t maxConnections = 1024;
    /// Shared counters; may be null.
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
    /// Human-readable cause, for logs.
    std::string detail;

    auto operator<=>(const StreamClosed &) const = default;
};

struct StreamHandlers
{
    std::function<void()> onOpen;
    std::function<void(std::string_view)> onMessage;
    /// Called at most once, never from inside send(), and not after close().
    std::function<void(const StreamClosed &)> onClose;
};

/// A bidirectional message stream, carried in the bodies of one HTTP/2 POST request and its response.
/// The stream does not detect an unresponsive peer; its users send heartbeats. Not thread-safe: use a stream only on
/// the thread that runs its io_context.
///
/// Usage: `auto stream = MessageStream::connect(context, endpoint, handlers); stream.send(bytes);` Copies refer to the
/// same stream, which lives until either side closes it.
class MessageStream
{
public:
    /// Constructs a closed stream.
    MessageStream() = default;

    /// Starts to connect. Messages sent before the stream is open are queued.
    static MessageStream connect(boost::asio::io_context &context,
                                 const Endpoint &endpoint,
                                 StreamHandlers handlers,
                                 StreamOptions options = {});

    /// Queues a message. Returns false when the stream is closed, or when the message exceeds a size limit, which
    /// closes the stream.
    bool send(std::string message);

    /// Closes the stream and discards queued messages. No handler is called afterwards.
    void close();

    bool isOpen() const;

    /// Size of the send queue in bytes.
    std::size_t queuedBytes() const;

    /// The endpoint of the peer; empty until a client is connected.
    Endpoint remote() const;

private:
    friend class MessageServer;
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

/// Accepts message streams.
///
/// Usage: `MessageServer server(context, endpoint, [](MessageStream stream) { return StreamHandlers{...}; });`
/// The constructor binds the port and throws NetError on failure.
class MessageServer
{
public:
    /// Called once for each stream when it opens; returns the stream's handlers.
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
