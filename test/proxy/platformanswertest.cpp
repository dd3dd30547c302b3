// Requests and answers in the platform dialect.
#include "entryfixture.h"
#include "fakeupstream.h"
#include "verbenadock/platform/decoding.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

namespace {

const std::string Fields = "Host: h\r\nVerbenadock-Request-Id: 9c41\r\nVerbenadock-Deadline-Ms: 2500\r\n";
const std::string Get = "GET /a HTTP/1.1\r\n" + Fields + "\r\n";
const std::string Post = "POST /a HTTP/1.1\r\n" + Fields + "Content-Length: 2\r\n\r\nhi";
const std::string CompleteAnswer
    = "HTTP/1.1 200 OK\r\nVerbenadock-Request-Id: 9c41\r\nVerbenadock-Server-Seal: 3e1b.07\r\n"
      "Content-Length: 2\r\n\r\nok";

const std::string Refusal = "HTTP/1.1 503 Service Unavailable\r\nVerbenadock-Request-Id: 9c41\r\n"
                            "Verbenadock-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// The answer of an entry whose upstream answers the first request of each connection with the given bytes.
ReceivedMessage answerFor(const std::string &request, const std::string &bytes, bool reset = false)
{
    FakeUpstream upstream("127.0.6.1", [&](TestSocket &connection, unsigned) {
        connection.readMessage();
        connection.send(bytes);
        if (reset) {
            connection.reset();
        }
    });
    auto options = optionsFor({upstream.endpoint()});
    options.dialect = Platform::platformDialect();
    const EntryFixture entry(options);
    return entry.exchange(request);
}

} // namespace

TEST_CASE("a request reaches the upstream with the caller's id, the remaining time and the expected instance")
{
    std::string head;
    FakeUpstream upstream("127.0.6.1", [&head](TestSocket &connection, unsigned) {
        head = connection.readMessage().head;
        connection.send(CompleteAnswer);
    });
    auto options = optionsFor({upstream.endpoint()});
    options.dialect = Platform::platformDialect();
    options.service.upstreams.front().instance = "i-7f3a";
    const EntryFixture entry(options);
    const auto answer = entry.exchange(Post);
    CHECK(answer.status() == 200);
    CHECK(answer.body == "ok");
    CHECK(answer.field("Verbenadock-Server-Seal") == "3e1b.07");
    const ReceivedMessage received{.head = head};
    CHECK(received.field("Verbenadock-Request-Id") == "9c41");
    CHECK(received.field("Verbenadock-Expect-Instance") == "i-7f3a");
    const auto remainingMilliseconds = std::stoul(received.field("Verbenadock-Deadline-Ms").value_or("0"));
    CHECK(remainingMilliseconds > 2000);
    CHECK(remainingMilliseconds <= 2500);
    CHECK_FALSE(received.hasField("X-Attempt-Id"));
}

// Guards against made-up request ids, which would stand for work that no caller sent.
TEST_CASE("a request without an id is forwarded without one")
{
    std::string head;
    FakeUpstream upstream("127.0.6.1", [&head](TestSocket &connection, unsigned) {
        head = connection.readMessage().head;
        connection.send("HTTP/1.1 400 Bad Request\r\nVerbenadock-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    });
    auto options = optionsFor({upstream.endpoint()});
    options.dialect = Platform::platformDialect();
    const EntryFixture entry(options);
    CHECK(entry.exchange("GET /a HTTP/1.1\r\nHost: h\r\n\r\n").status() == 503);
    CHECK(head.find("Request-Id") == std::string::npos);
}

// Guards against forwarding an answer that is malformed, incomplete or belongs to another request.
TEST_CASE("a malformed, incomplete or mismatched answer is not forwarded as a success")
{
    const std::string head = "HTTP/1.1 200 OK\r\nVerbenadock-Request-Id: 9c41\r\n";
    CHECK(answerFor(Post, "HTTP/1.1 200 OK\r\nVerbenadock-Request-Id: other\r\nContent-Length: 0\r\n\r\n").status()
          == 504);
    CHECK(answerFor(Post, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").status() == 504);
    CHECK(answerFor(Post, head + "Content-Length: 9\r\n\r\nshort").status() == 504);
    CHECK(answerFor(Post, "garbage\r\n\r\n").status() == 504);
}

// Guards against forwarding an answer whose status is none, as servers in trouble send.
TEST_CASE("an answer whose status is not between 100 and 599 is malformed")
{
    for (const std::string status : {"000", "099", "600", "999", "00", "1000", "2x0", "-20", " 200", ""}) {
        INFO("status '" << status << "'");
        std::string bytes = "HTTP/1.1 ";
        bytes.append(status).append(" OK\r\nVerbenadock-Request-Id: 9c41\r\nContent-Length: 2\r\n\r\nok");
        CHECK(answerFor(Post, bytes).status() == 504);
    }
}

TEST_CASE("an answer without a length is complete after an orderly close and truncated after a reset")
{
    const std::string head = "HTTP/1.1 200 OK\r\nVerbenadock-Request-Id: 9c41\r\nVerbenadock-Server-Seal: s\r\n\r\n";
    const auto orderlyEnd = answerFor(Post, head + "body");
    CHECK(orderlyEnd.status() == 200);
    CHECK(orderlyEnd.body == "body");
    CHECK(orderlyEnd.complete);
    CHECK(answerFor(Post, head + "body", true).status() == 504);
}

// Callers interpret 408, 421, 429 and 503 as proof that the request was not run.
TEST_CASE("a 408, 429 or 503 counts as not run only if the upstream states it; a 421 always does")
{
    const auto rejection = [](const std::string &status, const std::string &fields) {
        std::string text = "HTTP/1.1 ";
        return text.append(status).append("\r\n").append(fields).append(
            "Verbenadock-Request-Id: 9c41\r\nContent-Length: 0\r\n\r\n");
    };
    for (const std::string status : {"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"}) {
        INFO(status);
        CHECK(answerFor(Post, rejection(status, "")).status() == 504);
        const auto rejected = answerFor(Post, rejection(status, "Verbenadock-Not-Executed: 1\r\n"));
        CHECK(rejected.status() == 503);
        CHECK(rejected.hasField("Retry-After"));
    }
    CHECK(
        answerFor(Post, "HTTP/1.1 421 Misdirected Request\r\nVerbenadock-Instance-Id: i-2\r\nContent-Length: 0\r\n\r\n")
            .status()
        == 503);
    CHECK(answerFor(Post, rejection("500 Error", "")).status() == 500);
}

// Guards against callers that are told "not run, try again" while the upstream runs the request, and against a second
// run: the answer of an earlier attempt bears the same id.
TEST_CASE("a refusal that is written twice does not answer the next attempt of the request")
{
    std::atomic<unsigned> runs = 0;
    FakeUpstream upstream("127.0.6.1", [&runs](TestSocket &connection, unsigned number) {
        connection.readMessage();
        if (number == 1) {
            connection.send(Refusal);
            if (!connection.readMessage().complete) {
                return;
            }
            ++runs;
            connection.send(Refusal);
            connection.waitForEnd();
            return;
        }
        ++runs;
        connection.send(CompleteAnswer);
        connection.waitForEnd();
    });
    auto options = optionsFor({upstream.endpoint()});
    options.dialect = Platform::platformDialect();
    const EntryFixture entry(options);
    CHECK(entry.exchange(Post).status() == 200);
    CHECK(runs == 1);
    CHECK(upstream.connections() == 2);
}

// Guards against a refusal of an earlier request that is taken for one of the current request, because it bears no id.
TEST_CASE("a refusal without an id proves nothing on a connection that was used before")
{
    std::atomic<unsigned> claims = 0;
    FakeUpstream upstream("127.0.6.1", [&claims](TestSocket &connection, unsigned) {
        while (true) {
            const auto request = connection.readMessage();
            if (!request.complete) {
                return;
            }
            const bool isFirstClaim = request.head.starts_with("POST") && ++claims == 1;
            connection.send(isFirstClaim
                                ? "HTTP/1.1 503 Unavailable\r\nVerbenadock-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                                : CompleteAnswer);
        }
    });
    auto options = optionsFor({upstream.endpoint()});
    options.dialect = Platform::platformDialect();
    const EntryFixture entry(options);
    CHECK(entry.exchange(Get).status() == 200);
    CHECK(entry.exchange(Post).status() == 504);
    CHECK(claims == 1);
}

// Guards against a promise that the upstream did not make, in an answer that is too long to be held back.
TEST_CASE("a long answer with a status that implies not run is forwarded only if the upstream states it")
{
    const std::string body(300000, 'x');
    const auto answer = [&body](const std::string &status, const std::string &fields) {
        return "HTTP/1.1 " + status + "\r\nVerbenadock-Request-Id: 9c41\r\n" + fields
               + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    for (const std::string status : {"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"}) {
        INFO(status);
        CHECK(answerFor(Post, answer(status, "")).status() == 504);
        CHECK(answerFor(Post, answer(status, "Verbenadock-Not-Executed: 1\r\n")).status() == 503);
    }
    CHECK(answerFor(Post, answer("500 Error", "")).body == body);
}

// Guards against a 408 for a body that stalled after the upstream had got a part of it.
TEST_CASE("an upload that stalls after a part was sent on is not answered as not run")
{
    FakeUpstream upstream("127.0.6.1", [](TestSocket &connection, unsigned) {
        connection.waitForEnd();
    });
    auto options = optionsFor({upstream.endpoint()});
    options.dialect = Platform::platformDialect();
    options.limits.callerStallTimeout = std::chrono::milliseconds(200);
    const EntryFixture entry(options);
    const auto stalled = [&entry](std::size_t length, std::size_t sent) {
        TestSocket caller(entry.endpoint());
        caller.send("POST /a HTTP/1.1\r\n" + Fields + "Content-Length: " + std::to_string(length) + "\r\n\r\n"
                    + std::string(sent, 'x'));
        return caller.readMessage().status();
    };
    CHECK(stalled(5000000, 100000) == 504);
    CHECK(stalled(1000, 500) == 408);
}
