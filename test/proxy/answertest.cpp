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
        {"with Content-Length and Transfer-Encoding",
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
        {"that is never sent",
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

// Guards against forwarding an incomplete answer or an answer to another request, and against a false not-run outcome.
TEST_CASE("a broken answer to a non-idempotent request gives an unknown outcome and is counted by its cause")
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

// Guards against reporting a failure to the caller that a retry on another upstream could have prevented.
TEST_CASE("an idempotent request with a broken answer is retried on another upstream")
{
    for (const auto &broken : brokenAnswers()) {
        INFO("answer: " << broken.name);
        std::atomic<unsigned> requests = 0;
        const auto breakFirstAnswer = [&requests, &broken](TestSocket &connection, unsigned number) {
            if (++requests == 1) {
                broken.script(connection, number);
            } else {
                answerAll("whole")(connection, number);
            }
        };
        const FakeUpstream firstUpstream("127.0.5.10", breakFirstAnswer);
        const FakeUpstream secondUpstream("127.0.5.11", breakFirstAnswer);
        const EntryFixture entry(optionsFor({firstUpstream.endpoint(), secondUpstream.endpoint()}));
        const auto answer = entry.exchange(GetRequest);
        CHECK(answer.status() == 200);
        CHECK(answer.body == "whole");
        CHECK(answer.field("Verbenadock-Outcome") == "answered");
    }
}

// Guards against forwarding hop-by-hop fields and fields that only the fleet may set.
TEST_CASE("hop-by-hop and reserved fields are replaced in both directions")
{
    ReceivedMessage received;
    const FakeUpstream upstream("127.0.5.10", [&received](TestSocket &connection, unsigned) {
        received = connection.readMessage();
        connection.send(answerHead(received,
                                   200,
                                   "Content-Length: 2\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\nKeep-Alive: 5\r\n"
                                   "Verbenadock-Outcome: forged\r\n")
                        + "ok");
    });
    const EntryFixture entry(optionsFor({upstream.endpoint()}));
    const auto answer
        = entry.exchange("GET http://h/a?b=c HTTP/1.1\r\nHost: h\r\nConnection: X-Mine\r\nX-Mine: 1\r\nTE: trailers\r\n"
                         "X-Deadline-Ms: 1\r\nX-Attempt-Id: forged\r\nX-Request-Id: abc\r\nX-Kept: 3\r\n\r\n");
    CHECK(received.head.starts_with("GET /a?b=c HTTP/1.1\r\n"));
    CHECK(received.field("X-Kept") == "3");
    CHECK(received.field("X-Request-Id") == "abc");
    CHECK(received.field("X-Attempt-Id") == "test-1-1");
    CHECK(std::stoul(received.field("X-Deadline-Ms").value_or("0")) > 7000);
    CHECK_FALSE(received.hasField("X-Mine"));
    CHECK_FALSE(received.hasField("TE"));
    CHECK(answer.body == "ok");
    CHECK(answer.field("X-End") == "2");
    CHECK(answer.field("Verbenadock-Outcome") == "answered");
    CHECK_FALSE(answer.hasField("X-Hop"));
    CHECK_FALSE(answer.hasField("Keep-Alive"));
    CHECK_FALSE(answer.hasField("X-Attempt-Id"));
}

// Guards against waiting for the body of an answer that has none (HEAD, 204, 304 and 1xx).
TEST_CASE("a connection is reused after answers without a body")
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

// Guards against pipelined requests being lost or answered out of order.
TEST_CASE("pipelined requests are answered in order")
{
    const FakeUpstream upstream("127.0.5.10", answerAll("ok"));
    const EntryFixture entry(optionsFor({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    caller.send(PostRequest + "\r\n" + GetRequest + PostRequest);
    for (int count = 0; count < 3; ++count) {
        CHECK(caller.readMessage().body == "ok");
    }
}

// Guards against reusing a connection that the upstream closed, or that holds bytes of another answer.
TEST_CASE("an idle connection with something to read is not reused")
{
    for (const std::string leftover : {"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}) {
        INFO("bytes on the idle connection: " << leftover);
        std::atomic<bool> closedByUpstream = false;
        const FakeUpstream upstream(
            "127.0.5.10", [&closedByUpstream, &leftover](TestSocket &connection, unsigned number) {
                connection.send(answerTo(connection.readMessage(), "answer " + std::to_string(number)));
                if (number == 1) {
                    connection.send(leftover);
                    connection.closeSending();
                    closedByUpstream = true;
                }
                connection.waitForEnd();
            });
        const EntryFixture entry(optionsFor({upstream.endpoint()}));
        CHECK(entry.exchange(PostRequest).body == "answer 1");
        REQUIRE(eventually([&closedByUpstream] {
            return closedByUpstream.load();
        }));
        CHECK(entry.exchange(PostRequest).body == "answer 2");
        CHECK(attempts(entry, "success") == 2);
    }
}

// Guards against counting a connection that the network dropped without a FIN or RST as a failure of the upstream.
TEST_CASE("a timeout on a long idle connection is no evidence against the upstream")
{
    const FakeUpstream upstream("127.0.5.10", [](TestSocket &connection, unsigned number) {
        connection.send(answerTo(connection.readMessage(), "answer " + std::to_string(number)));
        if (number == 1) {
            connection.waitForEnd();
        }
    });
    const EntryFixture entry(optionsFor({upstream.endpoint()}));
    CHECK(entry.exchange(GetRequest).body == "answer 1");
    // The test has to wait, because the pool measures idle times with the real clock.
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

// Guards against sending non-idempotent requests on connections of uncertain state. Opening a new connection costs less
// than an unknown outcome.
TEST_CASE("a non-idempotent request reuses no connection that was idle for over a second")
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

// Guards against reporting an unknown outcome for a request whose connection was refused.
TEST_CASE("a refused connection gives a not-run outcome")
{
    Endpoint refusingEndpoint;
    {
        const FakeUpstream upstream("127.0.5.10", answerAll(""));
        refusingEndpoint = upstream.endpoint();
    }
    const EntryFixture entry(optionsFor({refusingEndpoint}));
    const auto answer = entry.exchange(PostRequest);
    CHECK(answer.status() == 503);
    CHECK(answer.field("Verbenadock-Outcome") == "not-run");
    CHECK(answer.field("Retry-After") == "1");
    CHECK(attempts(entry, "refused") >= 1);
}
