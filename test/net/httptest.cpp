#include "cannedserver.h"
#include "verbenadock/net/adminserver.h"
#include "verbenadock/net/error.h"
#include "verbenadock/net/httpclient.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <vector>

using namespace Verbenadock;
using Test::CannedServer;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr auto Timeout = std::chrono::seconds(3);

/// An administration server on a thread of its own.
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

// Guards against a balancer that keeps a VM in use after it announced its end, and against a scrape that fails.
TEST_CASE("the administration server answers its pages and refuses the rest")
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

// Guards against administration connections that take the memory or the descriptors of a process under load.
TEST_CASE("the administration server refuses connections beyond its limit and large headers")
{
    RunningAdmin admin;
    boost::asio::io_context context;
    const Tcp::endpoint target(boost::asio::ip::make_address("127.0.0.1"), admin.server.endpoint().port);
    const auto refused = [&](const std::string &request) {
        Tcp::socket socket(context);
        socket.connect(target);
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(request), error);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
        return answer.empty();
    };
    CHECK(refused("GET /ready HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n"));
    CHECK_FALSE(refused("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"));

    std::vector<Tcp::socket> idle;
    for (int index = 0; index < 32; ++index) {
        idle.emplace_back(context).connect(target);
    }
    CHECK(refused("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"));
}

// Guards against a fleet that takes half an answer of the log for the whole one.
TEST_CASE("fetch takes complete answers only")
{
    const auto answerTo = [](const std::string &bytes) {
        CannedServer server(bytes);
        return Net::fetchBlocking(server.endpoint(), {}, Timeout);
    };
    CHECK(answerTo("HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok")
          == Net::HttpResponse{.status = 201, .body = "ok", .headers = {{"content-length", "2"}}});
    CHECK(answerTo("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n").body == "ok");
    CHECK(answerTo("HTTP/1.1 204 No Content\r\n\r\n").status == 204);
    for (const std::string bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                                    "HTTP/1.1 200 OK\r\n\r\nok",
                                    "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                                    "nonsense\r\n\r\n"}) {
        INFO("bytes: " << bytes);
        CHECK_THROWS_AS(answerTo(bytes), Net::NetError);
    }
}

// Guards against a caller that waits forever for a peer that accepts and then stays silent.
TEST_CASE("fetch gives up at its time limit and on refused connections")
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
