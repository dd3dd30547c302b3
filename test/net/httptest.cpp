#include "cannedserver.h"
#include "verbenadock/net/adminserver.h"
#include "verbenadock/net/error.h"
#include "verbenadock/net/httpclient.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>

#include <atomic>
#include <future>
#include <thread>
#include <vector>

using namespace Verbenadock;
using Test::CannedServer;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr auto Timeout = std::chrono::seconds(3);

/// Runs an administration server on a separate thread.
struct RunningAdmin
{
    boost::asio::io_context context;
    std::atomic<bool> isReady = true;
    Net::AdminServer server{context,
                            {.address = "127.0.0.1", .port = 0},
                            {.ready =
                                 [this] {
                                     return this->isReady.load();
                                 },
                             .metrics =
                                 [] {
                                     return std::string("requests_total 1\n");
                                 },
                             .dump = []() -> std::string {
                                 throw std::runtime_error("no state");
                             }}};
    std::thread thread{[this] {
        this->context.run();
    }};

    ~RunningAdmin()
    {
        boost::asio::post(this->context, [this] {
            this->server.stop();
        });
        this->thread.join();
    }

    Net::HttpResponse get(const std::string &target, const std::string &method = "GET") const
    {
        return Net::fetchBlocking(this->server.endpoint(), {.method = method, .target = target, .body = {}}, Timeout);
    }
};

} // namespace

// Guards against a load balancer that keeps using a VM after it announced its shutdown, and against failing scrapes.
TEST_CASE("AdminServer serves its pages and rejects other targets and methods")
{
    RunningAdmin admin;
    CHECK(admin.get("/ready").body == "ready\n");
    CHECK(admin.get("/ready").status == 200);
    CHECK(admin.get("/metrics?x=1").body == "requests_total 1\n");
    CHECK(admin.get("/metrics").headers.at("content-type") == "text/plain; version=0.0.4");
    CHECK(admin.get("/dump").status == 500);
    CHECK(admin.get("/other").status == 404);
    CHECK(admin.get("/ready", "POST").status == 405);
    admin.isReady = false;
    CHECK(admin.get("/ready").status == 503);
}

// Guards against administration connections that exhaust the memory or file descriptors of a process under load.
TEST_CASE("AdminServer closes connections beyond its limit and connections with oversized headers")
{
    RunningAdmin admin;
    boost::asio::io_context context;
    const Tcp::endpoint target(boost::asio::ip::make_address("127.0.0.1"), admin.server.endpoint().port);
    const auto closedWithoutResponse = [&](const std::string &request) {
        Tcp::socket socket(context);
        socket.connect(target);
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(request), error);
        std::string response;
        boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
        return response.empty();
    };
    CHECK(closedWithoutResponse("GET /ready HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n"));
    CHECK_FALSE(closedWithoutResponse("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"));

    std::vector<Tcp::socket> idle;
    for (int index = 0; index < 256; ++index) {
        idle.emplace_back(context).connect(target);
    }
    CHECK(closedWithoutResponse("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"));
}

// Guards against VMs whose request for a new configuration is reset because all VMs of their data centre send theirs at
// the same moment. The larger deployments have up to 58 VMs in a data centre.
TEST_CASE("AdminServer serves all VMs of a large data centre at the same moment")
{
    constexpr int Vms = 100;
    RunningAdmin admin;
    boost::asio::io_context context;
    const Tcp::endpoint target(boost::asio::ip::make_address("127.0.0.1"), admin.server.endpoint().port);
    std::vector<Tcp::socket> sockets;
    for (int vm = 0; vm < Vms; ++vm) {
        sockets.emplace_back(context).connect(target);
    }
    int served = 0;
    for (auto &socket : sockets) {
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"), error);
        std::string response;
        boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
        served += response.starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    CHECK(served == Vms);
}

// Guards against a long record that a VM with a thin link never gets, because its transfer takes longer than a time-out
// that is meant for peers without a response.
TEST_CASE("fetch waits for a body with a limit of its own as long as it makes progress")
{
    using namespace std::chrono_literals;
    constexpr int Parts = 10;
    constexpr Duration Pause = 50ms;
    boost::asio::io_context context;
    Tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const Endpoint endpoint{.address = "127.0.0.1", .port = acceptor.local_endpoint().port()};
    const auto fetchSlowly = [&](Duration timeout, Duration limit) {
        std::thread server([&] {
            Tcp::socket socket(context);
            boost::system::error_code error;
            acceptor.accept(socket, error);
            const auto head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Parts) + "\r\n\r\n";
            boost::asio::write(socket, boost::asio::buffer(head), error);
            for (int part = 0; part < Parts && !error; ++part) {
                std::this_thread::sleep_for(Pause);
                boost::asio::write(socket, boost::asio::buffer("x", 1), error);
            }
        });
        std::promise<std::size_t> length;
        boost::asio::io_context loop;
        boost::asio::co_spawn(loop,
                              Net::fetch(endpoint, {}, timeout, {.limit = limit}),
                              [&length](const std::exception_ptr &failure, const Net::HttpResponse &response) {
                                  failure ? length.set_exception(failure) : length.set_value(response.body.size());
                              });
        loop.run();
        server.join();
        return length.get_future().get();
    };
    CHECK(fetchSlowly(400ms, 3s) == Parts);
    CHECK_THROWS_AS(fetchSlowly(400ms, Duration(0)), Net::NetError);
    CHECK_THROWS_AS(fetchSlowly(400ms, 200ms), Net::NetError);
    CHECK_THROWS_AS(fetchSlowly(20ms, 3s), Net::NetError);
}

// Guards against a truncated response of the log that is taken for a complete one.
TEST_CASE("fetch accepts only complete responses")
{
    const auto fetchFrom = [](const std::string &bytes) {
        CannedServer server(bytes);
        return Net::fetchBlocking(server.endpoint(), {}, Timeout);
    };
    CHECK(fetchFrom("HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok")
          == Net::HttpResponse{.status = 201, .body = "ok", .headers = {{"content-length", "2"}}});
    CHECK(fetchFrom("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n").body == "ok");
    CHECK(fetchFrom("HTTP/1.1 204 No Content\r\n\r\n").status == 204);
    for (const std::string bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                                    "HTTP/1.1 200 OK\r\n\r\nok",
                                    "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                                    "nonsense\r\n\r\n"}) {
        INFO("bytes: " << bytes);
        CHECK_THROWS_AS(fetchFrom(bytes), Net::NetError);
    }
}

// Guards against a call that never returns because the peer accepts the connection and sends nothing.
TEST_CASE("fetch fails on a timeout, a refused connection and an invalid address")
{
    Endpoint closed;
    {
        CannedServer silent("");
        closed = silent.endpoint();
        const auto start = std::chrono::steady_clock::now();
        CHECK_THROWS_AS(Net::fetchBlocking(closed, {}, std::chrono::milliseconds(50)), Net::NetError);
        CHECK(std::chrono::steady_clock::now() - start < Timeout);
    }
    CHECK_THROWS_AS(Net::fetchBlocking(closed, {}, Timeout), Net::NetError);
    CHECK_THROWS_AS(Net::fetchBlocking({.address = "localhost", .port = 80}, {}, Timeout), Net::NetError);
}
