// Requests that reach an entry right after its start.
#include "entryfixture.h"
#include "fakeupstream.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

namespace {

const std::string Get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

FixtureOptions unconfigured(const FakeUpstream &upstream, Duration wait)
{
    auto options = optionsFor({upstream.endpoint()});
    options.limits.configurationWait = wait;
    options.startsConfigured = false;
    return options;
}

} // namespace

// Guards against the loss of requests in the first 0.1 s after a start: after all VMs had lost power, each rejected the
// requests that had arrived before its configuration, and their callers did not ask again.
TEST_CASE("a request that arrives before the first configuration is served once it is in force")
{
    const FakeUpstream upstream("127.0.6.1", answerAll("ok"));
    const EntryFixture entry(unconfigured(upstream, std::chrono::seconds(10)));
    TestSocket caller(entry.endpoint());
    caller.send(Get);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    entry.configure();
    CHECK(caller.readMessage().status() == 200);
}

// Guards against callers that wait for an entry that gets no configuration.
TEST_CASE("a request is rejected when no configuration arrives in time")
{
    const FakeUpstream upstream("127.0.6.1", answerAll("ok"));
    const EntryFixture entry(unconfigured(upstream, std::chrono::milliseconds(50)));
    const auto answer = entry.exchange(Get);
    CHECK(answer.status() == 503);
    CHECK(answer.body.find("not-configured") != std::string::npos);
}

// Guards against a stop that waits for the configuration.
TEST_CASE("an entry without a configuration stops")
{
    const FakeUpstream upstream("127.0.6.1", answerAll("ok"));
    EntryFixture entry(unconfigured(upstream, std::chrono::seconds(10)));
    entry.shutDown(Duration(0));
    CHECK(eventually([&entry] {
        return entry.hasTerminated();
    }));
}
