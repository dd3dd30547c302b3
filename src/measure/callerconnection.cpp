#include "callerconnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <cerrno>
#include <sstream>
#include <sys/socket.h>
#include <utility>

namespace Verbenadock::Measure {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t MaxAnswerBytes = 64UL * 1024 * 1024;

http::request<http::string_body> toHttp(const LoadRequest &request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.path);
    message.set(http::field::host, "load.test");
    if (!request.caller.empty()) {
        message.set("X-Caller-Id", request.caller);
    }
    if (!request.workId.empty()) {
        message.set("X-Work-Id", request.workId);
    }
    message.body() = request.body;
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        message.prepare_payload();
    }
    return message;
}

/// An upstream that is asked directly sends no outcome; its answer counts as answered.
LoadOutcome outcomeOf(const http::response<http::string_body> &answer)
{
    const auto outcome = answer["Verbenadock-Outcome"];
    if (outcome == "not-run") {
        return LoadOutcome::NotRun;
    }
    return outcome == "unknown" ? LoadOutcome::Unknown : LoadOutcome::Answered;
}

/// An idle connection that was closed by the other side must not carry a request.
bool isOpen(CallerConnection &connection)
{
    char byte = 0;
    const auto result = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// An answer may come before the whole request is written, so that a failure here is no result.
asio::awaitable<void> writeRequest(CallerConnection &connection, const LoadRequest &request)
{
    std::ostringstream stream;
    stream << toHttp(request);
    const std::string text = stream.str();
    const std::size_t half = request.bodyPause > Duration(0) ? text.size() - request.body.size() / 2 : text.size();
    boost::system::error_code error;
    co_await asio::async_write(
        connection.stream, asio::buffer(text.data(), half), asio::redirect_error(asio::use_awaitable, error));
    if (!error && half < text.size()) {
        asio::steady_timer timer(connection.stream.get_executor(), request.bodyPause);
        co_await timer.async_wait(asio::use_awaitable);
        co_await asio::async_write(connection.stream,
                                   asio::buffer(text.data() + half, text.size() - half),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace

ConnectionPool::ConnectionPool(asio::any_io_executor poolExecutor)
    : executor(std::move(poolExecutor))
{
}

asio::awaitable<ConnectionPool::Connection> ConnectionPool::acquire(const Endpoint &target, Duration timeout)
{
    auto &connections = this->idle[target];
    while (!connections.empty()) {
        Connection connection = std::move(connections.back());
        connections.pop_back();
        if (isOpen(*connection)) {
            co_return connection;
        }
    }
    auto connection = std::make_unique<CallerConnection>(this->executor);
    connection->stream.expires_after(timeout);
    const asio::ip::tcp::endpoint address(asio::ip::make_address(target.address), target.port);
    co_await connection->stream.async_connect(address, asio::use_awaitable);
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
    co_return connection;
}

asio::awaitable<LoadResult> ConnectionPool::exchange(const LoadRequest &request, Duration timeout)
{
    LoadResult result;
    try {
        Connection connection = co_await this->acquire(request.target, timeout);
        connection->stream.expires_after(timeout);
        result.connected = true;
        co_await writeRequest(*connection, request);
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaxAnswerBytes);
        co_await http::async_read(connection->stream, connection->buffer, parser, asio::use_awaitable);
        auto answer = parser.release();
        result.status = answer.result_int();
        result.outcome = outcomeOf(answer);
        result.body = std::move(answer.body());
        if (answer.keep_alive()) {
            this->idle[request.target].push_back(std::move(connection));
        }
    } catch (const boost::system::system_error &) {
        result.outcome = LoadOutcome::Broken;
    }
    co_return result;
}

} // namespace Verbenadock::Measure
