#ifndef VERBENADOCK_NET_MESSAGECONNECTION_H
#define VERBENADOCK_NET_MESSAGECONNECTION_H

#include "http2session.h"
#include "verbenadock/net/messagestream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <vector>

namespace Verbenadock::Net {

namespace internal {

/// The transport below HTTP/2. To support TLS, use boost::asio::ssl::stream<tcp::socket> and run its handshake in
/// MessageStream::Implementation::startProtocol().
using Transport = boost::asio::ip::tcp::socket;

} // namespace internal

/// Socket, timer and HTTP/2 session of one stream. Pending operations keep this object alive.
struct MessageStream::Implementation : std::enable_shared_from_this<MessageStream::Implementation>
{
    Implementation(boost::asio::io_context &context, StreamOptions options);

    void startClient(const Endpoint &endpoint, StreamHandlers newHandlers);
    /// Calls `newAccept` when the peer's request headers have arrived.
    void startServer(std::function<StreamHandlers(MessageStream)> newAccept);

    bool send(std::string message);
    void close();
    void fail(CloseReason reason, std::string detail);

    void bindLocalAddress(const boost::asio::ip::tcp &protocol);
    void startProtocol(internal::Http2Session::Role role);
    void startOpenTimer();
    void handleOpen();
    bool handleMessage(std::string_view message);
    void read();
    void handleRead(const boost::system::error_code &error, std::size_t length);
    void write();
    void handleWrite(const boost::system::error_code &error, std::size_t length);
    void release();

    internal::Transport transport;
    boost::asio::steady_timer openTimer;
    StreamOptions options;
    StreamHandlers handlers;
    std::function<StreamHandlers(MessageStream)> accept;
    std::function<void()> onRelease;
    std::shared_ptr<StreamCounters> counters;
    std::unique_ptr<internal::Http2Session> session;
    /// Messages sent before the connection is established.
    std::vector<std::string> pendingMessages;
    std::size_t pendingBytes = 0;
    std::array<char, 16384> input{};
    std::string output;
    Endpoint remote;
    bool open = false;
    bool closed = false;
    bool writing = false;
    /// Set while the session processes input; nghttp2 must not be called re-entrantly to produce output.
    bool insideSession = false;
};

} // namespace Verbenadock::Net

#endif
