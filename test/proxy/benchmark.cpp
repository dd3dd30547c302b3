// Measures throughput and latency of the entry with real sockets on loopback. Hidden by its tag; run it with
// `test_proxy [.benchmark]`.
#include "entryfixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdio>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const std::string RequestText
    = "GET /item?id=1 HTTP/1.1\r\nHost: example\r\nUser-Agent: benchmark\r\nAccept: */*\r\n\r\n";

/// Answers each request with 100 bytes. Expects one request per read, as the entry sends them.
asio::awaitable<void> answerConnection(tcp::socket socket)
{
    std::array<char, 4096> bytes{};
    boost::system::error_code error;
    socket.set_option(tcp::no_delay(true));
    for (;;) {
        const auto size
            = co_await socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const std::string_view request(bytes.data(), size);
        const auto start = request.find("X-Attempt-Id: ") + 14;
        const std::string id(request.substr(start, request.find('\r', start) - start));
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Attempt-Id: " + id
                                   + "\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'x');
        co_await asio::async_write(socket, asio::buffer(answer), asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<void> acceptConnections(tcp::acceptor &acceptor)
{
    boost::system::error_code error;
    for (;;) {
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        asio::co_spawn(acceptor.get_executor(), answerConnection(std::move(socket)), asio::detached);
    }
}

/// Target, rate and number of the requests of a run, and their latencies.
struct Load
{
    tcp::endpoint target;
    /// Time between two requests of one connection; zero sends them as fast as possible.
    Duration interval{0};
    unsigned requestsPerConnection = 0;
    std::vector<Duration> latencies{};
};

asio::awaitable<void> sendRequests(Load &load, Duration offset)
{
    auto executor = co_await asio::this_coro::executor;
    tcp::socket socket(executor);
    asio::steady_timer timer(executor);
    co_await socket.async_connect(load.target, asio::use_awaitable);
    socket.set_option(tcp::no_delay(true));
    std::array<char, 4096> bytes{};
    auto nextSendAt = monotonicNow() + offset;
    for (unsigned count = 0; count < load.requestsPerConnection; ++count) {
        if (load.interval > Duration(0)) {
            timer.expires_after(timeUntil(nextSendAt));
            co_await timer.async_wait(asio::use_awaitable);
            nextSendAt += load.interval;
        }
        const auto start = monotonicNow();
        co_await asio::async_write(socket, asio::buffer(RequestText), asio::use_awaitable);
        std::string answer;
        while (!answer.ends_with(std::string(100, 'x'))) {
            const auto size = co_await socket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
            answer.append(bytes.data(), size);
        }
        load.latencies.push_back(monotonicNow() - start);
    }
}

Duration quantile(std::vector<Duration> &values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

void runLoad(const std::string &name, Load &load, unsigned connections)
{
    asio::io_context context;
    const auto start = monotonicNow();
    for (unsigned index = 0; index < connections; ++index) {
        asio::co_spawn(context, sendRequests(load, load.interval * index / connections), asio::detached);
    }
    context.run();
    const auto seconds = std::chrono::duration<double>(monotonicNow() - start).count();
    std::printf("%s: %zu requests, %.0f requests/s, p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms\n",
                name.c_str(),
                load.latencies.size(),
                static_cast<double>(load.latencies.size()) / seconds,
                toMilliseconds(quantile(load.latencies, 0.5)),
                toMilliseconds(quantile(load.latencies, 0.99)),
                toMilliseconds(quantile(load.latencies, 0.999)));
}

} // namespace

TEST_CASE("throughput and added latency on loopback", "[.benchmark]")
{
    asio::io_context upstreamContext;
    tcp::acceptor acceptor(upstreamContext, tcp::endpoint(asio::ip::make_address("127.0.5.10"), 0));
    asio::co_spawn(upstreamContext, acceptConnections(acceptor), asio::detached);
    std::thread upstreamThread([&upstreamContext] {
        upstreamContext.run();
    });
    {
        auto options = optionsFor({Endpoint{.address = "127.0.5.10", .port = acceptor.local_endpoint().port()}});
        options.service.upstreams.front().slots = 64;
        options.limits.maxIdlePerUpstream = 64;
        const EntryFixture entry(options);
        const tcp::endpoint entryTarget(asio::ip::make_address("127.0.5.1"), entry.endpoint().port);
        Load saturated{.target = entryTarget, .requestsPerConnection = 5000};
        runLoad("through the entry, 32 connections", saturated, 32);
        Load paced{.target = entryTarget, .interval = std::chrono::milliseconds(40), .requestsPerConnection = 250};
        runLoad("through the entry, 300 requests/s", paced, 12);
        Load direct{.target = acceptor.local_endpoint(),
                    .interval = std::chrono::milliseconds(40),
                    .requestsPerConnection = 250};
        runLoad("directly, 300 requests/s", direct, 12);
    }
    upstreamContext.stop();
    upstreamThread.join();
    SUCCEED();
}
