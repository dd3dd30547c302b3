// Answers in which an upstream announces its leaving, and answers that are no statement of that upstream.
#include "entryfixture.h"
#include "fakeupstream.h"
#include "verbenadock/platform/decoding.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

namespace {

constexpr int MaxRequests = 100;
constexpr int LaterRequests = 30;

const std::string Get = "GET /a HTTP/1.1\r\nHost: h\r\nVerbenadock-Request-Id: 9c41\r\n\r\n";
const std::string Own = "Verbenadock-Request-Id: 9c41\r\n";
const std::string Leaving = "Server-Leaving: 1\r\n";
const std::string Whole = "HTTP/1.1 200 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok";

struct Seen
{
    /// Requests that reached the upstream after its first answer.
    unsigned laterRequests = 0;
    double announcements = 0;
};

/// Two upstreams, of which one gives the answer to its first request and closes the connection.
Seen seenAfter(const std::string &answer)
{
    std::atomic<unsigned> requests = 0;
    FakeUpstream announcing("127.0.6.1", [&](TestSocket &connection, unsigned) {
        while (connection.readMessage().complete) {
            if (++requests == 1) {
                connection.send(answer);
                return;
            }
            connection.send(Whole);
        }
    });
    FakeUpstream other("127.0.6.2", [](TestSocket &connection, unsigned) {
        while (connection.readMessage().complete) {
            connection.send(Whole);
        }
    });
    auto options = optionsFor({announcing.endpoint(), other.endpoint()});
    options.dialect = Platform::platformDialect();
    options.service.idsNameProcesses = true;
    const EntryFixture entry(options);
    for (int number = 0; number < MaxRequests && requests == 0; ++number) {
        entry.exchange(Get);
    }
    for (int number = 0; number < LaterRequests; ++number) {
        entry.exchange(Get);
    }
    return {.laterRequests = requests - 1,
            .announcements = entry.metric("verbenadock_upstream_announcements_total{kind=\"leaving\"}")};
}

} // namespace

// Guards against announcements that are lost with the answer that bears them.
TEST_CASE("an announcement counts in every answer to the attempt, also in one that is not passed on")
{
    const auto answer = GENERATE_COPY(
        // Complete, cut after its head, without proof that it was not run, a refusal, and behind an interim answer.
        "HTTP/1.1 200 OK\r\n" + Own + Leaving + "Content-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\n" + Own + Leaving + "Content-Length: 9\r\n\r\nshort",
        "HTTP/1.1 503 Busy\r\n" + Own + Leaving + "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Busy\r\n" + Own + Leaving + "Verbenadock-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\n" + Own + Leaving + "\r\n" + Whole);
    INFO(answer);
    const auto seen = seenAfter(answer);
    CHECK(seen.announcements == 1);
    CHECK(seen.laterRequests == 0);
}

// Guards against a faulty or another upstream that withdraws a healthy one.
TEST_CASE("an announcement in an answer to another request, of another instance or in a broken head does not count")
{
    const auto answer = GENERATE_COPY(
        "HTTP/1.1 200 OK\r\nVerbenadock-Request-Id: other\r\n" + Leaving + "Content-Length: 2\r\n\r\nok",
        "HTTP/1.1 421 Misdirected\r\n" + Own + Leaving + "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" + Own + Leaving + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        "HTTP/1.1 103 Early Hints\r\n" + Leaving + "\r\n" + Whole,
        Whole);
    INFO(answer);
    CHECK(seenAfter(answer).announcements == 0);
}

// Guards against the other cases passing because an upstream gets no second request anyway.
TEST_CASE("an upstream that announces nothing is used again")
{
    CHECK(seenAfter(Whole).laterRequests > 0);
}
