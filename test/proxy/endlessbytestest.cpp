// Peers that send without end what is no message, or no end of one.
#include "entryfixture.h"
#include "fakeupstream.h"
#include "verbenadock/platform/decoding.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

namespace {

const std::string Post
    = "POST /a HTTP/1.1\r\nHost: h\r\nVerbenadock-Request-Id: 9c41\r\nVerbenadock-Deadline-Ms: 6000\r\n"
      "Content-Length: 2\r\n\r\nhi";
const std::string Head = "HTTP/1.1 200 OK\r\nVerbenadock-Request-Id: 9c41\r\n";
const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";

/// Far above what any whole head, line of a chunk or trailer has, far below what a VM has in memory.
constexpr std::size_t MostBytesTaken = 1024 * 1024;
/// Well before the caller's deadline.
constexpr auto LongestWait = std::chrono::seconds(2);

struct Endless
{
    std::string name;
    std::string begin;
    std::string repeated;
};

/// An upstream that sends until its connection closes, and how much it got rid of.
struct EndlessUpstream
{
    std::atomic<std::size_t> taken = 0;
    std::atomic<bool> closed = false;
    FakeUpstream upstream;

    explicit EndlessUpstream(const Endless &bytes, Duration pause = Duration(0))
        : upstream("127.0.6.1", [this, bytes, pause](TestSocket &connection, unsigned) {
            connection.readMessage();
            connection.send(bytes.begin);
            while (connection.send(bytes.repeated)) {
                this->taken += bytes.repeated.size();
                std::this_thread::sleep_for(pause);
            }
            this->closed = true;
        })
    {
    }

    FixtureOptions options() const
    {
        auto options = optionsFor({this->upstream.endpoint()});
        options.dialect = Platform::platformDialect();
        return options;
    }
};

} // namespace

TEST_CASE("an upstream that sends without end what is no answer is left soon, and its request's outcome is unknown")
{
    const std::string block(4096, 'x');
    const std::vector<Endless> cases{{"no line end", "", block},
                                     {"no line end after a status", "HTTP/1.1 200 OK", block},
                                     {"fields", Head, "X-Field: " + block + "\r\n"},
                                     {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                                     {"early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
                                     {"chunk size", Chunked, std::string(4096, '0')},
                                     {"chunk extension", Chunked + "5;a=", block},
                                     {"trailer", Chunked + "0\r\n", "X-Field: " + block + "\r\n"},
                                     {"trailer without line end", Chunked + "0\r\nX: ", block},
                                     {"null bytes", "", std::string(4096, '\0')}};
    for (const auto &bytes : cases) {
        INFO(bytes.name);
        EndlessUpstream endless(bytes);
        const EntryFixture entry(endless.options());
        const auto start = monotonicNow();
        const auto answer = entry.exchange(Post);
        CHECK(answer.status() == 504);
        CHECK(monotonicNow() - start < LongestWait);
        CHECK(eventually([&endless] {
            return endless.closed.load();
        }));
        // What the kernel keeps for both ends comes on top of what the entry read.
        CHECK(endless.taken < 8 * MostBytesTaken);
    }
}

// A few bytes a second never reach a bound of size.
TEST_CASE("an upstream whose first bytes are no answer is left at once, however slowly they come")
{
    EndlessUpstream endless({"slow", "garbage", "x"}, std::chrono::milliseconds(50));
    const EntryFixture entry(endless.options());
    const auto start = monotonicNow();
    CHECK(entry.exchange(Post).status() == 504);
    CHECK(monotonicNow() - start < std::chrono::milliseconds(300));
}

TEST_CASE("an answer's body that never ends is cut off at the bound of size, and does not look complete")
{
    const std::vector<Endless> cases{
        {"without a length", Head + "\r\n", std::string(4096, 'x')},
        {"in chunks", Chunked, "1000\r\n" + std::string(4096, 'x') + "\r\n"},
    };
    for (const auto &bytes : cases) {
        INFO(bytes.name);
        EndlessUpstream endless(bytes);
        auto options = endless.options();
        options.limits.maxAnswerBytes = MostBytesTaken;
        const EntryFixture entry(options);
        TestSocket caller(entry.endpoint());
        caller.send(Post);
        const auto answer = caller.readMessage();
        CHECK_FALSE((answer.status() == 200 && answer.complete));
        CHECK(answer.body.size() <= MostBytesTaken);
        CHECK(eventually([&endless] {
            return endless.closed.load();
        }));
    }
}

TEST_CASE("an answer that announces more than the bound of size is refused before its body comes")
{
    EndlessUpstream endless({"length", Head + "Content-Length: 99999999999\r\n\r\n", std::string(4096, 'x')});
    const EntryFixture entry(endless.options());
    const auto start = monotonicNow();
    CHECK(entry.exchange(Post).status() == 504);
    CHECK(monotonicNow() - start < LongestWait);
}

TEST_CASE("hundreds of endless answers at once do not keep other callers waiting")
{
    constexpr int Callers = 200;
    EndlessUpstream endless({"fields", Head, "X-Field: " + std::string(4096, 'x') + "\r\n"});
    const EntryFixture entry(endless.options());
    std::vector<std::unique_ptr<TestSocket>> callers;
    for (int number = 0; number < Callers; ++number) {
        callers.push_back(std::make_unique<TestSocket>(entry.endpoint()));
        callers.back()->send(Post);
    }
    const auto start = monotonicNow();
    CHECK(entry.exchange("GET /a HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n").status() == 400);
    CHECK(monotonicNow() - start < std::chrono::seconds(1));
    for (const auto &caller : callers) {
        CHECK(caller->readMessage().status() >= 500);
    }
}
