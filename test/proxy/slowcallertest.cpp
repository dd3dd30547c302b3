// Callers that do not read their answers while the entry stops.
#include "entryfixture.h"
#include "fakeupstream.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

// Guards against a process that is still there when SIGKILL comes, because it waits for a caller that reads nothing.
TEST_CASE("a shutdown ends soon after its limit when a caller does not read its answer")
{
    constexpr int Requests = 600;
    constexpr std::size_t AnswerBytes = 60'000;
    constexpr auto Limit = std::chrono::milliseconds(800);
    constexpr auto Slack = std::chrono::milliseconds(700);
    FakeUpstream upstream("127.0.6.1", answerAll(std::string(AnswerBytes, 'x')));
    EntryFixture entry(optionsFor({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    for (int number = 0; number < Requests; ++number) {
        caller.sendSome("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    // The answers fill the buffers of the connection until one of them cannot be written any more.
    double answered = -1;
    REQUIRE(eventually([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        const auto before
            = std::exchange(answered, entry.metric("verbenadock_requests_total{outcome=\"answered\",refusal=\"\"}"));
        return before > 0 && before == answered;
    }));
    REQUIRE(answered < Requests);
    const auto begin = monotonicNow();
    entry.shutDown(std::chrono::milliseconds(10), Limit);
    CHECK(eventually([&entry] {
        return entry.hasTerminated();
    }));
    CHECK(monotonicNow() - begin < Limit + Slack);
    CHECK_FALSE(entry.terminatedCleanly());
}
