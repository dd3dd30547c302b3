#include "entryfixture.h"
#include "fakeupstream.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

namespace {

struct BadInput
{
    std::string name;
    std::string request;
    unsigned status;
    std::string reason;
};

std::vector<BadInput> badInputs()
{
    const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::string get = "GET / HTTP/1.1\r\nHost: h\r\n";
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"no request line", "nonsense\r\n\r\n", 400, "malformed-head"},
        {"HTTP/1.0", "GET / HTTP/1.0\r\nHost: h\r\n\r\n", 400, "unsupported-version"},
        {"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400, "http-2"},
        {"a TLS handshake", std::string("\x16\x03\x01\x02\x00\x01\x00", 7), 400, "bad-character"},
        {"a bare line feed", "GET / HTTP/1.1\nHost: h\n\n", 400, "bad-character"},
        {"a NUL in a field", get + std::string("X: a\0b\r\n\r\n", 10), 400, "bad-character"},
        {"a bare carriage return", get + "X: a\rb\r\n\r\n", 400, "bad-character"},
        {"obsolete line folding", get + "X: a\r\n b\r\n\r\n", 400, "obsolete-fold"},
        {"a space before the colon", get + "Content-Length : 3\r\n\r\nabc", 400, "malformed-head"},
        {"no Host", "GET / HTTP/1.1\r\n\r\n", 400, "missing-host"},
        {"two Hosts", get + "Host: h\r\n\r\n", 400, "repeated-host"},
        {"an empty Host", "GET / HTTP/1.1\r\nHost:\r\n\r\n", 400, "bad-host"},
        {"a Host with a path", "GET / HTTP/1.1\r\nHost: h/x\r\n\r\n", 400, "bad-host"},
        {"a target without a slash", "GET x HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad-target"},
        {"an absolute target of another host", "GET http://a/ HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad-target"},
        {"Content-Length before Transfer-Encoding",
         post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         400,
         "length-and-transfer-encoding"},
        {"Transfer-Encoding before Content-Length",
         post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
         400,
         "length-and-transfer-encoding"},
        {"conflicting lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, "repeated-length"},
        {"a repeated length", post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab", 400, "repeated-length"},
        {"a list of lengths", post + "Content-Length: 2, 2\r\n\r\nab", 400, "bad-length"},
        {"a signed length", post + "Content-Length: +2\r\n\r\nab", 400, "bad-length"},
        {"an unknown coding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", 400, "bad-transfer-encoding"},
        {"a disguised coding", post + "Transfer-Encoding: xchunked\r\n\r\n", 400, "bad-transfer-encoding"},
        {"a chunk size that is no number", chunked + "zz\r\nabc\r\n0\r\n\r\n", 400, "bad-body"},
        {"a chunk longer than announced", chunked + "2\r\nabc\r\n0\r\n\r\n", 400, "bad-body"},
        {"Upgrade", get + "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n", 400, "upgrade"},
        {"CONNECT", "CONNECT h:443 HTTP/1.1\r\nHost: h\r\n\r\n", 400, "connect"},
        {"an unknown expectation", get + "Expect: tea\r\n\r\n", 417, "expectation"},
        {"a head over the limit", get + "X: " + std::string(3000, 'x') + "\r\n\r\n", 431, "head-too-large"},
        {"a body over the limit", post + "Content-Length: 100001\r\n\r\n", 413, "body-too-large"},
        {"a chunked body over the limit", chunked + "fffff\r\n", 413, "body-too-large"},
    };
}

} // namespace

// Guards against request smuggling through requests that the entry and an upstream would interpret differently.
TEST_CASE("malformed and unsupported requests are rejected as not run and reach no upstream")
{
    const FakeUpstream upstream("127.0.5.10", answerAll("ok"));
    auto options = optionsFor({upstream.endpoint()});
    options.limits.maxHeaderBytes = 2048;
    options.limits.maxBodyBytes = 100000;
    const EntryFixture entry(options);
    for (const auto &input : badInputs()) {
        INFO("input: " << input.name);
        const auto answer = entry.exchange(input.request);
        CHECK(answer.status() == input.status);
        CHECK(answer.field("Verbenadock-Outcome") == "not-run");
        CHECK(answer.body.find("\"" + input.reason + "\"") != std::string::npos);
        CHECK(entry.metric("verbenadock_bad_requests_total{reason=\"" + input.reason + "\"}") >= 1);
    }
    CHECK(upstream.connections() == 0);
    CHECK(entry.exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n").body == "ok");
}

// Guards against reading the bytes after a rejected request as a further request.
TEST_CASE("the connection is closed after a malformed request")
{
    const FakeUpstream upstream("127.0.5.10", answerAll("ok"));
    const EntryFixture entry(optionsFor({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n"
                "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto answer = caller.readMessage();
    CHECK(answer.status() == 400);
    CHECK(answer.field("Connection") == "close");
    CHECK(caller.waitForEnd() == StreamEnd::Closed);
    CHECK(upstream.connections() == 0);
}

// Guards against connections that hold memory indefinitely by sending a head or a body slowly.
TEST_CASE("a stalled request is rejected after the timeout")
{
    const FakeUpstream upstream("127.0.5.10", answerAll("ok"));
    auto options = optionsFor({upstream.endpoint()});
    options.limits.headerTimeout = std::chrono::milliseconds(60);
    options.limits.callerStallTimeout = std::chrono::milliseconds(60);
    options.limits.callerIdleTimeout = std::chrono::milliseconds(60);
    const EntryFixture entry(options);
    CHECK(entry.exchange("GET / HTTP/1.1\r\nHos").status() == 408);
    const auto stalled = entry.exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    CHECK(stalled.status() == 408);
    CHECK(stalled.field("Verbenadock-Outcome") == "not-run");
    TestSocket idle(entry.endpoint());
    CHECK(idle.waitForEnd() == StreamEnd::Closed);
    CHECK(upstream.connections() == 0);
}

// Guards against forwarding a truncated body as complete, and against leaving its request undecided.
TEST_CASE("a streaming body with broken framing ends the attempt and is rejected")
{
    std::atomic<bool> sawTruncatedBody = false;
    const FakeUpstream upstream("127.0.5.10", [&sawTruncatedBody](TestSocket &connection, unsigned) {
        sawTruncatedBody = !connection.readMessage().complete;
    });
    auto options = optionsFor({upstream.endpoint()});
    options.service.replayBytes = 100;
    const EntryFixture entry(options);
    TestSocket caller(entry.endpoint());
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n" + std::string(200, 'x')
                + "\r\n");
    REQUIRE(eventually([&upstream] {
        return upstream.connections() == 1;
    }));
    caller.send("not a chunk\r\n");
    const auto answer = caller.readMessage();
    CHECK(answer.status() == 400);
    CHECK(answer.field("Verbenadock-Outcome") == "unknown");
    CHECK(eventually([&sawTruncatedBody] {
        return sawTruncatedBody.load();
    }));
}

// Guards against overload by too many connections. The answer has to state that the request was not run.
TEST_CASE("connections over the limit are rejected with a not-run outcome")
{
    const FakeUpstream upstream("127.0.5.10", answerAll("ok"));
    auto options = optionsFor({upstream.endpoint()});
    options.limits.maxCallerConnections = 1;
    const EntryFixture entry(options);
    TestSocket first(entry.endpoint());
    first.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(first.readMessage().status() == 200);
    TestSocket second(entry.endpoint());
    const auto answer = second.readMessage();
    CHECK(answer.status() == 503);
    CHECK(answer.field("Verbenadock-Outcome") == "not-run");
}
