// Answers that an upstream sends while the request's body is still being written, on real sockets.
#include "entryfixture.h"
#include "fakeupstream.h"
#include "verbenadock/platform/decoding.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

namespace {

constexpr std::size_t UploadBytes = 32 * 1024 * 1024;
/// Time in which the buffers between caller and upstream fill, so that a write is pending when the upstream answers.
constexpr auto FillTime = std::chrono::milliseconds(200);

const std::string OpenAnswer = "HTTP/1.1 200 OK\r\nVerbenadock-Request-Id: 9c41\r\nVerbenadock-Server-Seal: s\r\n\r\n";

/// What the caller of a long upload gets when the upstream reads only its head, sends the bytes and ends the
/// connection.
ReceivedMessage answerDuringUpload(const std::string &bytes, bool resets, bool chunked)
{
    FakeUpstream upstream("127.0.6.1", [&](TestSocket &connection, unsigned) {
        connection.readHead();
        std::this_thread::sleep_for(FillTime);
        connection.send(bytes);
        if (resets) {
            connection.reset();
        }
    });
    auto options = optionsFor({upstream.endpoint()});
    options.dialect = Platform::platformDialect();
    const EntryFixture entry(options);
    TestSocket caller(entry.endpoint());
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nVerbenadock-Request-Id: 9c41\r\n"
                + (chunked ? "Transfer-Encoding: chunked\r\n\r\n2000000\r\n"
                           : "Content-Length: " + std::to_string(UploadBytes) + "\r\n\r\n"));
    std::thread writer([&caller] {
        // The entry may close the connection before the whole body is sent.
        static_cast<void>(caller.send(std::string(UploadBytes, 'u')));
    });
    auto answer = caller.readMessage();
    caller.close();
    writer.join();
    return answer;
}

} // namespace

// Guards against a part of an answer that is passed on as a whole one: the failed write of the upload takes the reset
// of the connection, and the next read reports an orderly end.
TEST_CASE("an answer without a length that ends before the upload was written is not whole")
{
    for (const bool chunked : {false, true}) {
        for (const bool resets : {true, false}) {
            INFO((chunked ? "in chunks" : "with a length") << (resets ? ", reset" : ", closed"));
            const auto answer = answerDuringUpload(OpenAnswer + "part", resets, chunked);
            CHECK(answer.status() != 200);
        }
    }
}

// Guards against the same for answers that are forwarded while they arrive.
TEST_CASE("a long answer without a length that ends before the upload was written resets its caller's connection")
{
    for (const bool resets : {true, false}) {
        INFO((resets ? "reset" : "closed"));
        const auto answer = answerDuringUpload(OpenAnswer + std::string(200000, 'x'), resets, false);
        CHECK_FALSE(answer.complete);
    }
}

// Guards against an early answer that is lost although its end is certain.
TEST_CASE("an early answer with a length is passed on")
{
    const std::string head
        = "HTTP/1.1 413 Content Too Large\r\nVerbenadock-Request-Id: 9c41\r\nContent-Length: 4\r\n\r\n";
    const auto answer = answerDuringUpload(head + "long", false, false);
    CHECK(answer.status() == 413);
    CHECK(answer.body == "long");
}
