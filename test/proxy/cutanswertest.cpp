// Answers that an upstream cuts off, on real sockets.
#include "entryfixture.h"
#include "fakeupstream.h"
#include "verbenadock/platform/decoding.h"

#include <catch2/catch.hpp>

#include <mutex>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

namespace {

const std::string Head = "HTTP/1.1 200 OK\r\nVerbenadock-Request-Id: 9c41\r\nVerbenadock-Server-Seal: 3e1b.07\r\n";
const std::string Body = "0123456789";

struct CutAnswer
{
    std::string name;
    std::string bytes;
    /// Bytes from which an orderly close completes the answer.
    std::size_t completeFrom = 0;
    /// Whether a reset can leave a complete answer behind.
    bool hasFraming = true;
};

std::vector<CutAnswer> answers()
{
    const auto lengthHead = Head + "Content-Length: 10\r\n\r\n";
    const auto chunkedAnswer
        = Head + "Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\nX-Trailer: 1\r\n\r\n";
    const auto openHead = Head + "Connection: close\r\n\r\n";
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    return {{"with a length", lengthHead + Body, lengthHead.size() + Body.size()},
            {"in chunks with a trailer", chunkedAnswer, chunkedAnswer.size()},
            {"after an interim answer", interim + lengthHead + Body, interim.size() + lengthHead.size() + Body.size()},
            {"without a length", openHead + Body, openHead.size(), false}};
}

} // namespace

// Guards against a part of an answer that is passed on as a whole one, with an empty or short body.
TEST_CASE("an answer that is cut at any byte is never passed on as a whole one")
{
    std::mutex mutex;
    std::string bytes;
    bool reset = false;
    FakeUpstream upstream("127.0.6.1", [&](TestSocket &connection, unsigned) {
        connection.readMessage();
        const std::lock_guard lock(mutex);
        connection.send(bytes);
        if (reset) {
            connection.reset();
        }
    });
    auto options = optionsFor({upstream.endpoint()});
    options.dialect = Platform::platformDialect();
    options.service.detection.samplesBetweenFalseAlarms = 1e9;
    const EntryFixture entry(options);
    for (const auto &answer : answers()) {
        for (const bool resets : {false, true}) {
            for (std::size_t cut = 0; cut <= answer.bytes.size(); ++cut) {
                {
                    const std::lock_guard lock(mutex);
                    bytes = answer.bytes.substr(0, cut);
                    reset = resets;
                }
                const auto received = entry.exchange(
                    "POST /a HTTP/1.1\r\nHost: h\r\nVerbenadock-Request-Id: 9c41\r\nContent-Length: 2\r\n\r\nhi");
                INFO(answer.name << (resets ? ", reset" : ", closed") << " after " << cut << " bytes of "
                                 << answer.bytes.size());
                const bool isWhole = cut >= answer.completeFrom && (answer.hasFraming || !resets);
                if (!isWhole) {
                    CHECK(received.status() == 504);
                } else if (!resets) {
                    CHECK(received.status() == 200);
                    CHECK(received.body
                          == (answer.hasFraming ? Body
                                                : answer.bytes.substr(answer.completeFrom, cut - answer.completeFrom)));
                }
            }
        }
    }
}

// Guards against the same for answers that are forwarded while they arrive.
TEST_CASE("a long answer that is cut resets its caller's connection")
{
    const std::string body(400000, 'x');
    for (const bool chunked : {false, true}) {
        for (const bool resets : {false, true}) {
            FakeUpstream upstream("127.0.6.1", [&](TestSocket &connection, unsigned) {
                connection.readMessage();
                connection.send(Head
                                + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" + std::string("61a80\r\n")
                                           : "Content-Length: 400000\r\n\r\n")
                                + body.substr(0, 399999));
                if (resets) {
                    connection.reset();
                }
            });
            auto options = optionsFor({upstream.endpoint()});
            options.dialect = Platform::platformDialect();
            const EntryFixture entry(options);
            const auto received = entry.exchange(
                "POST /a HTTP/1.1\r\nHost: h\r\nVerbenadock-Request-Id: 9c41\r\nContent-Length: 2\r\n\r\nhi");
            INFO((chunked ? "in chunks" : "with a length") << (resets ? ", reset" : ", closed"));
            CHECK_FALSE(received.complete);
            CHECK((received.head.empty() || received.status() == 200));
        }
    }
}
