// Upstreams that send an endless stream of bytes without a complete HTTP message.
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

/// Far above the size of any valid head, chunk-size line or trailer, and far below the memory of a VM.
constexpr std::size_t MaxAnswerBytes = 1024 * 1024;
/// Well before the caller's deadline.
constexpr auto MaxWait = std::chrono::seconds(2);

/// A prefix followed by endless repetitions.
struct EndlessStream
{
    std::string name;
    std::string prefix;
    std::string repeated;
};

/// An upstream that sends an endless stream until its connection is closed, and counts the bytes sent.
struct EndlessUpstream
{
    std::atomic<std::size_t> bytesSent = 0;
    std::atomic<bool> closed = false;
    FakeUpstream upstream;

    explicit EndlessUpstream(const EndlessStream &stream, Duration pause = Duration(0))
        : upstream("127.0.6.1", [this, stream, pause](TestSocket &connection, unsigned) {
            connection.readMessage();
            connection.send(stream.prefix);
            while (connection.send(stream.repeated)) {
                this->bytesSent += stream.repeated.size();
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

TEST_CASE("an endless stream without a complete answer ends the attempt early with an unknown outcome")
{
    const std::string block(4096, 'x');
    const std::vector<EndlessStream> cases{{"no line end", "", block},
                                           {"no line end after a status", "HTTP/1.1 200 OK", block},
                                           {"fields", Head, "X-Field: " + block + "\r\n"},
                                           {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                                           {"early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
                                           {"chunk size", Chunked, std::string(4096, '0')},
                                           {"chunk extension", Chunked + "5;a=", block},
                                           {"trailer", Chunked + "0\r\n", "X-Field: " + block + "\r\n"},
                                           {"trailer without line end", Chunked + "0\r\nX: ", block},
                                           {"null bytes", "", std::string(4096, '\0')}};
    for (const auto &stream : cases) {
        INFO(stream.name);
        EndlessUpstream endless(stream);
        const EntryFixture entry(endless.options());
        const auto start = monotonicNow();
        const auto answer = entry.exchange(Post);
        CHECK(answer.status() == 504);
        CHECK(monotonicNow() - start < MaxWait);
        CHECK(eventually([&endless] {
            return endless.closed.load();
        }));
        // The socket buffers of both ends add to the bytes that the entry read.
        CHECK(endless.bytesSent < 8 * MaxAnswerBytes);
    }
}

// Guards against slow streams, which never reach a size limit.
TEST_CASE("first bytes that are no HTTP answer end the attempt at once, even if they arrive slowly")
{
    EndlessUpstream endless({"slow", "garbage", "x"}, std::chrono::milliseconds(50));
    const EntryFixture entry(endless.options());
    const auto start = monotonicNow();
    CHECK(entry.exchange(Post).status() == 504);
    CHECK(monotonicNow() - start < std::chrono::milliseconds(300));
}

TEST_CASE("an endless answer body is truncated at the size limit and does not look complete")
{
    const std::vector<EndlessStream> cases{
        {"without a length", Head + "\r\n", std::string(4096, 'x')},
        {"in chunks", Chunked, "1000\r\n" + std::string(4096, 'x') + "\r\n"},
    };
    for (const auto &stream : cases) {
        INFO(stream.name);
        EndlessUpstream endless(stream);
        auto options = endless.options();
        options.limits.maxAnswerBytes = MaxAnswerBytes;
        const EntryFixture entry(options);
        TestSocket caller(entry.endpoint());
        caller.send(Post);
        const auto answer = caller.readMessage();
        CHECK_FALSE((answer.status() == 200 && answer.complete));
        CHECK(answer.body.size() <= MaxAnswerBytes);
        CHECK(eventually([&endless] {
            return endless.closed.load();
        }));
    }
}

TEST_CASE("an answer with a Content-Length over the size limit ends the attempt before its body arrives")
{
    EndlessUpstream endless({"length", Head + "Content-Length: 99999999999\r\n\r\n", std::string(4096, 'x')});
    const EntryFixture entry(endless.options());
    const auto start = monotonicNow();
    CHECK(entry.exchange(Post).status() == 504);
    CHECK(monotonicNow() - start < MaxWait);
}

TEST_CASE("hundreds of concurrent endless answers do not block other callers")
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
