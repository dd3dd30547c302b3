#ifndef VERBENADOCK_TEST_STANDINS_HTTPSERVER_H
#define VERBENADOCK_TEST_STANDINS_HTTPSERVER_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Verbenadock::Standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

Tcp::endpoint toAsio(const Endpoint &endpoint);

/// Opens a listening socket; throws boost::system::system_error.
Tcp::acceptor listenOn(asio::io_context &context, const Endpoint &endpoint);

/// One accepted connection, which carries one request at a time.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(Tcp::socket socket);

    /// Waits for the duration; ends early on wake() and when the peer closes. Returns false when the peer has closed.
    asio::awaitable<bool> pause(Duration duration);
    void wake();
    bool isClosed() const;

    asio::awaitable<std::optional<Request>> read();
    asio::awaitable<void> write(Response response);
    /// Writes the head and half of the body, then closes.
    asio::awaitable<void> writeTruncated(Response response);
    void close();

    /// An answer that a faulty server writes once more when the next request is there.
    std::optional<Response> repeatedAnswer;

private:
    void watchForClose();

    Tcp::socket socket;
    asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    bool closed = false;
};

using ConnectionPointer = std::shared_ptr<Connection>;

/// Accepts connections and calls the handler for each request; the handler writes the answer.
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    using Handler = std::function<asio::awaitable<void>(ConnectionPointer, Request)>;

    struct Limits
    {
        /// Further connections are closed at once.
        std::size_t connections = SIZE_MAX;
        /// Time that a new connection costs before its first request is read.
        Duration connectTime{};
    };

    HttpServer(asio::io_context &context, Endpoint endpoint, Handler handler);

    /// Refused connections: the listening socket is closed, and so is every open connection.
    void refuse(bool refused);
    void closeConnections();
    std::size_t connectionCount() const;
    std::size_t peakConnectionCount() const;

    Limits limits;

private:
    asio::awaitable<void> accept(std::uint64_t generation);
    asio::awaitable<void> serve(ConnectionPointer connection);

    asio::io_context &context;
    Endpoint endpoint;
    Handler handler;
    std::optional<Tcp::acceptor> acceptor;
    std::uint64_t acceptGeneration = 0;
    std::set<ConnectionPointer> open;
    std::size_t peak = 0;
};

} // namespace Verbenadock::Standins

#endif
