#include "entryfixture.h"
#include "fakeupstream.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

namespace {

constexpr std::size_t LargeBytes = 3000000;
const std::string GetRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// Pseudorandom letters without a short period, so that lost or repeated parts are detected.
std::string pattern(std::size_t size)
{
    std::string text(size, '\0');
    std::uint32_t state = 1;
    std::generate(text.begin(), text.end(), [&state] {
        state = state * 1664525U + 1013904223U;
        return static_cast<char>('a' + (state >> 24U) % 26U);
    });
    return text;
}

std::string chunked(const std::string &body, std::size_t chunkBytes)
{
    std::string out;
    for (std::size_t start = 0; start < body.size(); start += chunkBytes) {
        const auto part = body.substr(start, chunkBytes);
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", part.size());
        out.append(size).append(part).append("\r\n");
    }
    return out + "0\r\n\r\n";
}

/// Answers each request with the request's body.
void echo(TestSocket &connection, unsigned /*number*/)
{
    for (auto request = connection.readMessage(); request.complete; request = connection.readMessage()) {
        connection.send(answerTo(request, request.body));
    }
}

} // namespace

// Guards against parts of a long body being lost, repeated or framed wrongly in either direction.
TEST_CASE("bodies longer than all buffers are forwarded unchanged in both directions")
{
    const FakeUpstream upstream("127.0.5.10", echo);
    const EntryFixture entry(optionsFor({upstream.endpoint()}));
    const auto body = pattern(LargeBytes);
    const auto length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
    std::string withLength = post;
    withLength.append(length).append(body);
    std::string withChunks = post;
    withChunks.append("Transfer-Encoding: chunked\r\n\r\n").append(chunked(body, 70001));
    for (const auto &request : {withLength, withChunks}) {
        TestSocket caller(entry.endpoint());
        std::thread sender([&caller, &request] {
            caller.send(request);
        });
        const auto answer = caller.readMessage();
        sender.join();
        CHECK(answer.status() == 200);
        CHECK(answer.complete);
        CHECK((answer.body == body));
    }
}

// Guards against streaming a short chunked body, which would rule out a retry.
TEST_CASE("a short chunked body is buffered and sent with a Content-Length")
{
    ReceivedMessage received;
    const FakeUpstream upstream("127.0.5.10", [&received](TestSocket &connection, unsigned) {
        received = connection.readMessage();
        connection.send(answerTo(received, "ok"));
    });
    const EntryFixture entry(optionsFor({upstream.endpoint()}));
    const auto answer = entry.exchange("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                                       "3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nContent-Language: x\r\n\r\n");
    CHECK(answer.body == "ok");
    CHECK(received.body == "abcde");
    CHECK(received.field("Content-Length") == "5");
    CHECK_FALSE(received.hasField("Content-Language"));
}

// Guards against a deadlock with a caller that waits for 100 Continue before it sends its body.
TEST_CASE("a caller that expects 100-continue receives it before its body is read")
{
    const FakeUpstream upstream("127.0.5.10", echo);
    const EntryFixture entry(optionsFor({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
    CHECK(caller.readHead() == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("hello");
    CHECK(caller.readMessage().body == "hello");
}

// Guards against buffering a whole answer in memory for a slow caller.
TEST_CASE("a slow caller exerts backpressure on the upstream")
{
    constexpr std::size_t TotalBytes = 64000000;
    // The socket buffers of both connections on loopback hold about 10 MB at most.
    constexpr std::size_t MaxBufferedBytes = 32000000;
    std::atomic<std::size_t> sent = 0;
    std::atomic<bool> blocked = false;
    const FakeUpstream upstream("127.0.5.10", [&sent, &blocked](TestSocket &connection, unsigned) {
        const auto request = connection.readMessage();
        connection.send(answerHead(request, 200, "Content-Length: " + std::to_string(TotalBytes) + "\r\n"));
        const std::string part(100000, 'x');
        while (sent < TotalBytes) {
            const auto size = connection.sendSome(std::string_view(part).substr(0, TotalBytes - sent));
            sent += size;
            blocked = size == 0;
            if (size == 0) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        }
        connection.waitForEnd();
    });
    auto options = optionsFor({upstream.endpoint()});
    const EntryFixture entry(options);
    TestSocket caller(entry.endpoint());
    caller.send(GetRequest);
    std::size_t lastSent = 0;
    REQUIRE(eventually([&] {
        const auto sentBefore = std::exchange(lastSent, sent.load());
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        return blocked && sentBefore > 0 && sentBefore == sent;
    }));
    CHECK(sent < MaxBufferedBytes);
    const auto answer = caller.readMessage();
    CHECK(answer.complete);
    CHECK(answer.body.size() == TotalBytes);
}

// Guards against a truncated answer that looks complete to the caller.
TEST_CASE("a truncated streaming answer resets the connection of the caller")
{
    for (const bool useChunks : {false, true}) {
        INFO("chunked: " << useChunks);
        const FakeUpstream upstream("127.0.5.10", [useChunks](TestSocket &connection, unsigned) {
            const auto request = connection.readMessage();
            const auto fields = useChunks ? "Transfer-Encoding: chunked\r\n" : "Content-Length: 1000000\r\n";
            const auto body = useChunks ? "30d40\r\n" + std::string(200000, 'x') + "\r\n" : std::string(200000, 'x');
            connection.send(answerHead(request, 200, fields) + body);
        });
        const EntryFixture entry(optionsFor({upstream.endpoint()}));
        TestSocket caller(entry.endpoint());
        caller.send(GetRequest);
        const auto answer = caller.readMessage();
        CHECK(answer.status() == 200);
        CHECK_FALSE(answer.complete);
        CHECK(answer.end == StreamEnd::Reset);
        CHECK(entry.metric("verbenadock_attempts_total{cause=\"truncated\"}") == 1);
    }
}

// Guards against upstreams working for disconnected callers, and against interrupting non-idempotent work.
TEST_CASE("a disconnected caller cancels only an idempotent request")
{
    for (const std::string method : {"GET", "POST"}) {
        INFO("method: " << method);
        std::atomic<bool> requestArrived = false;
        std::atomic<bool> answerAllowed = false;
        std::atomic<bool> closed = false;
        const FakeUpstream upstream("127.0.5.10", [&](TestSocket &connection, unsigned) {
            const auto request = connection.readMessage();
            requestArrived = true;
            eventually([&] {
                return answerAllowed || connection.peerClosed();
            });
            closed = connection.peerClosed();
            connection.send(answerTo(request, "late"));
            connection.waitForEnd();
        });
        auto options = optionsFor({upstream.endpoint()});
        options.service.timeouts.firstByte = std::chrono::seconds(5);
        const EntryFixture entry(options);
        {
            TestSocket caller(entry.endpoint());
            caller.send(method + " / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
            REQUIRE(eventually([&requestArrived] {
                return requestArrived.load();
            }));
        }
        const std::string disconnectedMetric
            = "verbenadock_requests_total{outcome=\"caller-disconnected\",refusal=\"\"}";
        CHECK(eventually([&] {
            return entry.metric(disconnectedMetric) == 1;
        }));
        if (method == "GET") {
            CHECK(eventually([&closed] {
                return closed.load();
            }));
        } else {
            answerAllowed = true;
            CHECK(eventually([&] {
                return entry.metric("verbenadock_attempts_total{cause=\"success\"}") == 1;
            }));
            CHECK_FALSE(closed);
        }
    }
}

// Guards against losing an early answer, such as a rejection of a long upload, while the upload continues.
TEST_CASE("an answer that arrives before the end of the upload is forwarded")
{
    const FakeUpstream upstream("127.0.5.10", [](TestSocket &connection, unsigned) {
        ReceivedMessage request;
        request.head = connection.readHead();
        connection.send(answerTo(request, "too long", 413));
        connection.waitForEnd();
    });
    const EntryFixture entry(optionsFor({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\n" + std::string(100000, 'x'));
    const auto answer = caller.readMessage();
    CHECK(answer.status() == 413);
    CHECK(answer.field("Connection") == "close");
}

// Guards against a shutdown that interrupts an upload in flight.
TEST_CASE("a shutdown finishes the upload in flight and closes idle connections")
{
    const FakeUpstream upstream("127.0.5.10", echo);
    EntryFixture entry(optionsFor({upstream.endpoint()}));
    const auto body = pattern(LargeBytes);
    TestSocket idle(entry.endpoint());
    idle.send(GetRequest);
    CHECK(idle.readMessage().status() == 200);
    TestSocket uploading(entry.endpoint());
    uploading.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                   + body.substr(0, 200000));
    REQUIRE(eventually([&upstream] {
        return upstream.connections() >= 1;
    }));
    entry.shutDown(std::chrono::milliseconds(10));
    CHECK(idle.waitForEnd() == StreamEnd::Closed);
    CHECK_FALSE(entry.terminatedCleanly());
    std::thread sender([&uploading, &body] {
        uploading.send(std::string_view(body).substr(200000));
    });
    const auto answer = uploading.readMessage();
    sender.join();
    CHECK((answer.body == body));
    CHECK(eventually([&entry] {
        return entry.terminatedCleanly();
    }));
    CHECK_THROWS(TestSocket(entry.endpoint()));
}
