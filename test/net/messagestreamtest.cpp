#include "verbenadock/net/messagestream.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <vector>

using namespace Verbenadock;
using namespace Verbenadock::Net;
namespace asio = boost::asio;

namespace {

const Endpoint Loopback{"127.0.0.1", 0};

/// One end of a stream; records the events and messages that its handlers receive.
struct RecordingEnd
{
    StreamHandlers handlers()
    {
        return {.onOpen =
                    [this] {
                        this->opened = true;
                    },
                .onMessage =
                    [this](std::string_view message) {
                        this->messages.emplace_back(message);
                    },
                .onClose =
                    [this](const StreamClosed &reason) {
                        this->closed = reason;
                    }};
    }

    MessageStream stream;
    bool opened = false;
    std::vector<std::string> messages;
    std::optional<StreamClosed> closed;
};

class Fixture
{
public:
    explicit Fixture(StreamOptions serverOptions = {})
        : server(
            context,
            Loopback,
            [this](MessageStream stream) {
                this->accepted.stream = std::move(stream);
                return this->accepted.handlers();
            },
            std::move(serverOptions))
    {
    }

    void connect(StreamOptions options = {})
    {
        this->client.stream = MessageStream::connect(
            this->context, this->server.endpoint(), this->client.handlers(), std::move(options));
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            this->context.run_one_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    asio::io_context context;
    RecordingEnd accepted;
    RecordingEnd client;
    MessageServer server;
};

} // namespace

TEST_CASE("messages in both directions arrive in order")
{
    Fixture fixture;
    fixture.connect();
    constexpr std::size_t Count = 20000;
    // The first messages are sent before the connection is established.
    for (std::size_t index = 0; index < Count; ++index) {
        REQUIRE(fixture.client.stream.send("request " + std::to_string(index)));
    }
    REQUIRE(fixture.runUntil([&] {
        return fixture.accepted.opened;
    }));
    for (std::size_t index = 0; index < Count; ++index) {
        REQUIRE(fixture.accepted.stream.send("answer " + std::to_string(index)));
    }
    REQUIRE(fixture.runUntil([&] {
        return fixture.accepted.messages.size() == Count && fixture.client.messages.size() == Count;
    }));
    for (std::size_t index = 0; index < Count; ++index) {
        REQUIRE(fixture.accepted.messages[index] == "request " + std::to_string(index));
        REQUIRE(fixture.client.messages[index] == "answer " + std::to_string(index));
    }
    CHECK(fixture.client.stream.queuedBytes() == 0);
}

// Guards against missing WINDOW_UPDATE frames: the message is sixteen times as large as the flow-control window.
TEST_CASE("a message of maximum size and an empty message are delivered")
{
    Fixture fixture;
    fixture.connect();
    std::string large(StreamOptions{}.maxMessageBytes, 'x');
    for (std::size_t index = 0; index < large.size(); index += 997) {
        large[index] = static_cast<char>(index);
    }
    REQUIRE(fixture.client.stream.send(large));
    REQUIRE(fixture.client.stream.send(""));
    REQUIRE(fixture.runUntil([&] {
        return fixture.accepted.messages.size() == 2;
    }));
    CHECK(fixture.accepted.messages[0] == large);
    CHECK(fixture.accepted.messages[1].empty());
}

TEST_CASE("closing by the client or the server is reported to the peer")
{
    Fixture fixture;
    fixture.connect();
    REQUIRE(fixture.runUntil([&] {
        return fixture.client.opened && fixture.accepted.opened;
    }));
    SECTION("the client closes")
    {
        fixture.client.stream.close();
        REQUIRE(fixture.runUntil([&] {
            return fixture.accepted.closed.has_value();
        }));
        CHECK_FALSE(fixture.client.closed);
        CHECK_FALSE(fixture.accepted.stream.send("late"));
    }
    SECTION("the server stops")
    {
        fixture.server.stop();
        REQUIRE(fixture.runUntil([&] {
            return fixture.client.closed.has_value();
        }));
        CHECK_FALSE(fixture.client.stream.isOpen());
    }
}

TEST_CASE("a refused connection is reported as ConnectFailed")
{
    Fixture fixture;
    const auto endpoint = fixture.server.endpoint();
    fixture.server.stop();
    fixture.client.stream = MessageStream::connect(fixture.context, endpoint, fixture.client.handlers());
    REQUIRE(fixture.runUntil([&] {
        return fixture.client.closed.has_value();
    }));
    CHECK(fixture.client.closed->reason == CloseReason::ConnectFailed);
}

// Guards against unbounded memory use when the peer does not read.
TEST_CASE("a peer that does not read causes a queue overflow")
{
    Fixture fixture;
    asio::ip::tcp::acceptor silent(fixture.context, {asio::ip::make_address("127.0.0.1"), 0});
    StreamOptions options;
    options.maxQueuedBytes = 1U << 20U;
    options.counters = std::make_shared<StreamCounters>();
    fixture.client.stream = MessageStream::connect(
        fixture.context, {"127.0.0.1", silent.local_endpoint().port()}, fixture.client.handlers(), options);
    const std::string message(100000, 'x');
    std::size_t sent = 0;
    while (fixture.client.stream.send(message)) {
        ++sent;
        REQUIRE(sent < 1000);
        fixture.context.poll();
    }
    // Ten messages fit into the queue, and part of one may leave it: HTTP/2 grants an initial window of 64 KiB.
    CHECK(sent >= 10);
    CHECK(sent <= 11);
    REQUIRE(fixture.runUntil([&] {
        return fixture.client.closed.has_value();
    }));
    CHECK(fixture.client.closed->reason == CloseReason::QueueOverflow);
    CHECK(options.counters->queueOverflows == 1);
}

// Guards against connections that hold server resources without ever opening a stream.
TEST_CASE("a server closes connections that send invalid data or nothing")
{
    StreamOptions options;
    options.openTimeout = std::chrono::milliseconds(100);
    options.counters = std::make_shared<StreamCounters>();
    Fixture fixture(options);
    asio::ip::tcp::socket socket(fixture.context);
    socket.connect({asio::ip::make_address("127.0.0.1"), fixture.server.endpoint().port});
    bool ended = false;
    std::string response(65536, '\0');
    const auto readUntilClosed = [&] {
        asio::async_read(socket, asio::buffer(response), [&](const boost::system::error_code &, std::size_t) {
            ended = true;
        });
        REQUIRE(fixture.runUntil([&] {
            return ended;
        }));
    };
    SECTION("HTTP/1.1 request")
    {
        asio::write(socket, asio::buffer("GET / HTTP/1.1\r\nHost: verbenadock\r\n\r\n", 38));
        readUntilClosed();
        CHECK(options.counters->protocolErrors == 1);
    }
    SECTION("HTTP/2 preface followed by invalid frames")
    {
        asio::write(socket, asio::buffer("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string(64, '\x7F')));
        readUntilClosed();
        CHECK(options.counters->protocolErrors == 1);
    }
    SECTION("no data")
    {
        readUntilClosed();
        CHECK(options.counters->protocolErrors == 0);
    }
    CHECK_FALSE(fixture.accepted.opened);
}

TEST_CASE("a client closes the stream when the server responds with HTTP/1.1")
{
    Fixture fixture;
    asio::ip::tcp::acceptor acceptor(fixture.context, {asio::ip::make_address("127.0.0.1"), 0});
    fixture.client.stream = MessageStream::connect(
        fixture.context, {"127.0.0.1", acceptor.local_endpoint().port()}, fixture.client.handlers());
    auto socket = acceptor.accept();
    asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 38));
    REQUIRE(fixture.runUntil([&] {
        return fixture.client.closed.has_value();
    }));
    CHECK(fixture.client.closed->reason == CloseReason::ProtocolError);
    CHECK_FALSE(fixture.client.opened);
}

// Guards against a receiver that waits or allocates memory for a message whose announced length exceeds the limit.
TEST_CASE("a message above the receiver's size limit closes the stream")
{
    StreamOptions options;
    options.maxMessageBytes = 1000;
    options.counters = std::make_shared<StreamCounters>();
    Fixture fixture(options);
    fixture.connect();
    REQUIRE(fixture.client.stream.send(std::string(1000, 'x')));
    REQUIRE(fixture.client.stream.send(std::string(1001, 'x')));
    REQUIRE(fixture.runUntil([&] {
        return fixture.accepted.closed.has_value();
    }));
    CHECK(fixture.accepted.messages.size() == 1);
    CHECK(fixture.accepted.closed->reason == CloseReason::ProtocolError);
    CHECK(options.counters->protocolErrors == 1);
}

// Guards against use of destroyed handlers and against re-entrant calls of the HTTP/2 session.
TEST_CASE("handlers may call send() and close()")
{
    Fixture fixture;
    MessageStream stream;
    int received = 0;
    stream = MessageStream::connect(fixture.context,
                                    fixture.server.endpoint(),
                                    {.onOpen =
                                         [&] {
                                             stream.send("first");
                                         },
                                     .onMessage =
                                         [&](std::string_view) {
                                             ++received;
                                             stream.send("last");
                                             stream.close();
                                         },
                                     .onClose = {}});
    REQUIRE(fixture.runUntil([&] {
        return fixture.accepted.messages.size() == 1;
    }));
    fixture.accepted.stream.send("one");
    fixture.accepted.stream.send("two");
    REQUIRE(fixture.runUntil([&] {
        return fixture.accepted.closed.has_value();
    }));
    CHECK(received == 1);
}
