#include "entryfixture.h"
#include "fakeupstream.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

namespace {

const std::string GetRequest = "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string PostRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";

/// A script that reads one request, sends the bytes and closes the connection.
FakeUpstream::Script answerOnce(std::function<std::string(const ReceivedMessage &)> bytes)
{
    return [bytes](TestSocket &connection, unsigned) {
        connection.send(bytes(connection.readMessage()));
    };
}

struct BrokenAnswer
{
    std::string name;
    FakeUpstream::Script script;
    std::string cause;
};

std::vector<BrokenAnswer> brokenAnswers()
{
    const auto once = answerOnce;
    return {
        {"shorter than its length",
         once([](const auto &request) {
             return answerHead(request, 200, "Content-Length: 10\r\n") + "abc";
         }),
         "truncated"},
        {"without the final chunk",
         once([](const auto &request) {
             return answerHead(request, 200, "Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n";
         }),
         "truncated"},
        {"ended within the head",
         once([](const auto &) {
             return std::string("HTTP/1.1 200 OK\r\nX-Att");
         }),
         "truncated"},
        {"without a length",
         once([](const auto &request) {
             return answerHead(request, 200, "") + "abc";
         }),
         "truncated"},
        {"with another attempt's id",
         once([](const auto &) {
             return std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: test-1-999\r\nContent-Length: 0\r\n\r\n");
         }),
         "mismatched"},
        {"without an id",
         once([](const auto &) {
             return std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
         }),
         "mismatched"},
        {"with both lengths",
         once([](const auto &request) {
             return answerHead(request, 200, "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n";
         }),
         "malformed"},
        {"that is not HTTP",
         once([](const auto &) {
             return std::string("hello\r\n\r\n");
         }),
         "malformed"},
        {"that switches protocols",
         once([](const auto &request) {
             return answerHead(request, 101, "Upgrade: x\r\n");
         }),
         "malformed"},
        {"that never comes",
         [](TestSocket &connection, unsigned) {
             connection.waitForEnd();
         },
         "timeout"},
        {"replaced by a reset",
         [](TestSocket &connection, unsigned) {
             connection.readMessage();
             connection.reset();
         },
         "reset"},
    };
}

double attempts(const EntryFixture &entry, const std::string &cause)
{
    return entry.metric("verbenadock_attempts_total{cause=\"" + cause + "\"}");
}

} // namespace

// Guards against an incomplete or foreign answer reaching a caller, and against a false claim that nothing was run.
TEST_CASE("a broken answer to non-idempotent work gives an unknown outcome and its cause")
{
    for (const auto &broken : brokenAnswers()) {
        INFO("answer: " << broken.name);
        const FakeUpstream upstream("127.0.5.10", broken.script);
        const EntryFixture entry(optionsFor({upstream.endpoint()}));
        const auto answer = entry.exchange(PostRequest);
        CHECK(answer.status() == 504);
        CHECK(answer.field("Verbenadock-Outcome") == "unknown");
        CHECK(attempts(entry, broken.cause) == 1);
        CHECK(upstream.connections() == 1);
    }
}

// Guards against a caller seeing a failure that another upstream could have prevented.
TEST_CASE("a broken answer to idempotent work is replaced by another upstream's")
{
    for (const auto &broken : brokenAnswers()) {
        INFO("answer: " << broken.name);
        std::atomic<unsigned> requests = 0;
        const auto firstBroken = [&requests, &broken](TestSocket &connection, unsigned number) {
            if (++requests == 1) {
                broken.script(connection, number);
            } else {
                answerAll("whole")(connection, number);
            }
        };
        const FakeUpstream one("127.0.5.10", firstBroken);
        const FakeUpstream other("127.0.5.11", firstBroken);
        const EntryFixture entry(optionsFor({one.endpoint(), other.endpoint()}));
        const auto answer = entry.exchange(GetRequest);
        CHECK(answer.status() == 200);
        CHECK(answer.body == "whole");
        CHECK(answer.field("Verbenadock-Outcome") == "answered");
    }
}

// Guards against hop-by-hop fields and the fleet's own fields passing from one connection to another.
TEST_CASE("heads are rewritten in both directions")
{
    ReceivedMessage seen;
    const FakeUpstream upstream("127.0.5.10", [&seen](TestSocket &connection, unsigned) {
        seen = connection.readMessage();
        connection.send(answerHead(seen,
                                   200,
                                   "Content-Length: 2\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\nKeep-Alive: 5\r\n"
                                   "Verbenadock-Outcome: forged\r\n")
                        + "ok");
    });
    const EntryFixture entry(optionsFor({upstream.endpoint()}));
    const auto answer
        = entry.exchange("GET http://h/a?b=c HTTP/1.1\r\nHost: h\r\nConnection: X-Mine\r\nX-Mine: 1\r\nTE: trailers\r\n"
                         "X-Deadline-Ms: 1\r\nX-Attempt-Id: forged\r\nX-Request-Id: abc\r\nX-Kept: 3\r\n\r\n");
    CHECK(seen.head.starts_with("GET /a?b=c HTTP/1.1\r\n"));
    CHECK(seen.field("X-Kept") == "3");
    CHECK(seen.field("X-Request-Id") == "abc");
    CHECK(seen.field("X-Attempt-Id") == "test-1-1");
    CHECK(std::stoul(seen.field("X-Deadline-Ms").value_or("0")) > 7000);
    CHECK_FALSE(seen.hasField("X-Mine"));
    CHECK_FALSE(seen.hasField("TE"));
    CHECK(answer.body == "ok");
    CHECK(answer.field("X-End") == "2");
    CHECK(answer.field("Verbenadock-Outcome") == "answered");
    CHECK_FALSE(answer.hasField("X-Hop"));
    CHECK_FALSE(answer.hasField("Keep-Alive"));
    CHECK_FALSE(answer.hasField("X-Attempt-Id"));
}

// Guards against waiting for a body that these answers never have.
TEST_CASE("answers without a body leave the connection usable")
{
    const FakeUpstream upstream("127.0.5.10", [](TestSocket &connection, unsigned) {
        auto request = connection.readMessage();
        connection.send(answerHead(request, 200, "Content-Length: 5\r\n"));
        request = connection.readMessage();
        connection.send(answerHead(request, 204, ""));
        request = connection.readMessage();
        connection.send(answerHead(request, 304, "Content-Length: 9\r\n"));
        request = connection.readMessage();
        connection.send("HTTP/1.1 100 Continue\r\n\r\n" + answerTo(request, "end"));
        connection.waitForEnd();
    });
    const EntryFixture entry(optionsFor({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    caller.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(caller.readMessage(true).field("Content-Length") == "5");
    caller.send(GetRequest);
    CHECK(caller.readMessage(true).status() == 204);
    caller.send(GetRequest);
    CHECK(caller.readMessage(true).status() == 304);
    caller.send(GetRequest);
    CHECK(caller.readMessage().body == "end");
    CHECK(upstream.connections() == 1);
}

// Guards against requests that arrive together being lost or answered out of order.
TEST_CASE("requests sent ahead are answered one after the other")
{
    const FakeUpstream upstream("127.0.5.10", answerAll("ok"));
    const EntryFixture entry(optionsFor({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    caller.send(PostRequest + "\r\n" + GetRequest + PostRequest);
    for (int count = 0; count < 3; ++count) {
        CHECK(caller.readMessage().body == "ok");
    }
}

// Guards against reusing a connection that the upstream closed, or that carries bytes of another answer.
TEST_CASE("an idle connection with something to read is not reused")
{
    for (const std::string leftover : {"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}) {
        INFO("bytes on the idle connection: " << leftover);
        std::atomic<bool> disturbed = false;
        const FakeUpstream upstream("127.0.5.10", [&disturbed, &leftover](TestSocket &connection, unsigned number) {
            connection.send(answerTo(connection.readMessage(), "answer " + std::to_string(number)));
            if (number == 1) {
                connection.send(leftover);
                connection.closeSending();
                disturbed = true;
            }
            connection.waitForEnd();
        });
        const EntryFixture entry(optionsFor({upstream.endpoint()}));
        CHECK(entry.exchange(PostRequest).body == "answer 1");
        REQUIRE(eventually([&disturbed] {
            return disturbed.load();
        }));
        CHECK(entry.exchange(PostRequest).body == "answer 2");
        CHECK(attempts(entry, "success") == 2);
    }
}

// Guards against blaming an upstream for a connection that was dropped on the way without a sign.
TEST_CASE("silence on a connection that was idle for long is no evidence against the upstream")
{
    const FakeUpstream upstream("127.0.5.10", [](TestSocket &connection, unsigned number) {
        connection.send(answerTo(connection.readMessage(), "answer " + std::to_string(number)));
        if (number == 1) {
            connection.waitForEnd();
        }
    });
    const EntryFixture entry(optionsFor({upstream.endpoint()}));
    CHECK(entry.exchange(GetRequest).body == "answer 1");
    // The idle time itself is what the test is about; the pool counts it on the real clock.
    const auto idleSince = monotonicNow();
    REQUIRE(eventually([idleSince] {
        return monotonicNow() - idleSince > std::chrono::milliseconds(1100);
    }));
    CHECK(entry.exchange(GetRequest).body == "answer 2");
    CHECK(attempts(entry, "silent-connection") == 1);
    CHECK(attempts(entry, "timeout") == 0);
    CHECK(entry.exchange(GetRequest).body == "answer 3");
    CHECK(upstream.connections() == 3);
}

// Guards against a claim over a connection whose state is uncertain; a new one costs less than an unknown outcome.
TEST_CASE("non-idempotent work uses no connection that was idle for over a second")
{
    const FakeUpstream upstream("127.0.5.10", answerAll("ok"));
    const EntryFixture entry(optionsFor({upstream.endpoint()}));
    CHECK(entry.exchange(PostRequest).body == "ok");
    CHECK(entry.exchange(PostRequest).body == "ok");
    CHECK(upstream.connections() == 1);
    const auto idleSince = monotonicNow();
    REQUIRE(eventually([idleSince] {
        return monotonicNow() - idleSince > std::chrono::milliseconds(1100);
    }));
    CHECK(entry.exchange(PostRequest).body == "ok");
    CHECK(upstream.connections() == 2);
}

// Guards against reporting a refused connection as work that may have been run.
TEST_CASE("a refused connection proves that nothing was run")
{
    Endpoint closed;
    {
        const FakeUpstream upstream("127.0.5.10", answerAll(""));
        closed = upstream.endpoint();
    }
    const EntryFixture entry(optionsFor({closed}));
    const auto answer = entry.exchange(PostRequest);
    CHECK(answer.status() == 503);
    CHECK(answer.field("Verbenadock-Outcome") == "not-run");
    CHECK(answer.field("Retry-After") == "1");
    CHECK(attempts(entry, "refused") >= 1);
}
