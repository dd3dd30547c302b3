#include "verbenadock/net/httpclient.h"

#include "http.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <cctype>
#include <exception>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace Verbenadock::Net {

using namespace internal;

namespace {

constexpr std::uint64_t MaxResponseBytes = 64ULL * 1024 * 1024;
constexpr std::uint32_t MaxHeaderBytes = 64 * 1024;

// TCP keep-alive detects a peer that vanished without a reset; a long poll would otherwise block until its timeout.
constexpr int KeepAliveSeconds = 1;
constexpr int KeepAliveProbes = 2;

void enableKeepAlive(Tcp::socket &socket)
{
    const auto set = [&socket](int level, int option, int value) {
        // Errors are ignored: the timeout of the call still applies.
        static_cast<void>(::setsockopt(socket.native_handle(), level, option, &value, sizeof value));
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

http::request<http::string_body> buildRequest(const Endpoint &endpoint, const HttpRequest &request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, toString(endpoint));
    message.set(http::field::connection, "close");
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

HttpResponse toResponse(http::response<http::string_body> message)
{
    HttpResponse response{.status = message.result_int(), .body = std::move(message.body())};
    for (const auto &field : message) {
        std::string name = field.name_string();
        std::ranges::transform(name, name.begin(), [](unsigned char character) {
            return std::tolower(character);
        });
        response.headers[name] = field.value();
    }
    return response;
}

using ResponseParser = http::response_parser<http::string_body>;

/// Reads a body for which each pause has its own deadline, so that a slow link does not count as a dead peer.
asio::awaitable<void> readBody(beast::tcp_stream &stream,
                               beast::flat_buffer &buffer,
                               ResponseParser &parser,
                               Duration longestPause,
                               Duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!parser.is_done()) {
        stream.expires_at(std::min(std::chrono::steady_clock::now() + longestPause, end));
        co_await http::async_read_some(stream, buffer, parser, asio::use_awaitable);
    }
}

asio::awaitable<HttpResponse> exchange(beast::tcp_stream &stream,
                                       const Endpoint &endpoint,
                                       const HttpRequest &request,
                                       Duration timeout,
                                       const BodyProgress &progress)
{
    co_await stream.async_connect(toAsio(endpoint), asio::use_awaitable);
    enableKeepAlive(stream.socket());
    const auto message = buildRequest(endpoint, request);
    co_await http::async_write(stream, message, asio::use_awaitable);

    beast::flat_buffer buffer;
    ResponseParser parser;
    parser.body_limit(MaxResponseBytes);
    parser.header_limit(MaxHeaderBytes);
    parser.skip(request.method == "HEAD");
    co_await http::async_read_header(stream, buffer, parser, asio::use_awaitable);
    // A response delimited by the end of the connection is indistinguishable from a truncated one.
    if (parser.need_eof()) {
        throw NetError("the response has neither a Content-Length nor a chunked body");
    }
    if (progress.begun) {
        progress.begun();
    }
    if (progress.limit > Duration(0)) {
        co_await readBody(stream, buffer, parser, timeout, progress.limit);
    } else if (!parser.is_done()) {
        co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    }
    co_return toResponse(parser.release());
}

} // namespace

asio::awaitable<HttpResponse> fetch(Endpoint endpoint, HttpRequest request, Duration timeout, BodyProgress progress)
{
    const auto executor = co_await asio::this_coro::executor;
    beast::tcp_stream stream(executor);
    // A single deadline covers connecting, writing and reading, apart from a body with a limit of its own.
    stream.expires_after(timeout);
    const auto errorPrefix = request.method + " http://" + toString(endpoint) + request.target + ": ";
    try {
        HttpResponse response = co_await exchange(stream, endpoint, request, timeout, progress);
        co_return response;
    } catch (const boost::system::system_error &error) {
        throw NetError(errorPrefix + error.code().message());
    } catch (const NetError &error) {
        throw NetError(errorPrefix + error.what());
    }
}

HttpResponse fetchBlocking(const Endpoint &endpoint, const HttpRequest &request, Duration timeout)
{
    asio::io_context context;
    std::exception_ptr failure;
    std::optional<HttpResponse> result;
    asio::co_spawn(
        context, fetch(endpoint, request, timeout), [&](const std::exception_ptr &thrown, HttpResponse response) {
            failure = thrown;
            result = std::move(response);
        });
    context.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return std::move(*result);
}

} // namespace Verbenadock::Net
