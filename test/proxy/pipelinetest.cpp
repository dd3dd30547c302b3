// Several requests of one connection at a time.
#include "entryfixture.h"
#include "fakeupstream.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <condition_variable>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

namespace {

std::string requestFor(const std::string &method, const std::string &target, const std::string &fields = "")
{
    return method + " " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::string targetOf(const ReceivedMessage &request)
{
    const auto start = request.head.find(' ') + 1;
    return request.head.substr(start, request.head.find(' ', start) - start);
}

/// Upstream that records the targets of the requests and answers each one, with its target, when the test says so.
class GatedUpstream
{
public:
    GatedUpstream()
        : upstream("127.0.5.20", [this](TestSocket &connection, unsigned) {
            this->serve(connection);
        })
    {
    }

    ~GatedUpstream()
    {
        this->answer("*");
    }

    Endpoint endpoint() const
    {
        return this->upstream.endpoint();
    }

    /// Allows the answer to the target, or to all with "*".
    void answer(const std::string &target)
    {
        const std::lock_guard lock(this->mutex);
        this->allowed.push_back(target);
        this->changed.notify_all();
    }

    std::size_t started(const std::string &target) const
    {
        const std::lock_guard lock(this->mutex);
        return static_cast<std::size_t>(std::count(this->targets.begin(), this->targets.end(), target));
    }

    std::size_t startedCount() const
    {
        const std::lock_guard lock(this->mutex);
        return this->targets.size();
    }

    std::size_t cancelledCount() const
    {
        return this->cancelled;
    }

private:
    void serve(TestSocket &connection)
    {
        for (auto request = connection.readMessage(); request.complete; request = connection.readMessage()) {
            const auto target = targetOf(request);
            std::unique_lock lock(this->mutex);
            this->targets.push_back(target);
            while (!this->isAllowed(target)) {
                this->changed.wait_for(lock, std::chrono::milliseconds(2));
                if (connection.peerClosed()) {
                    ++this->cancelled;
                    return;
                }
            }
            lock.unlock();
            connection.send(answerTo(request, target));
        }
    }

    bool isAllowed(const std::string &target) const
    {
        return std::any_of(this->allowed.begin(), this->allowed.end(), [&target](const auto &entry) {
            return entry == "*" || entry == target;
        });
    }

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> targets;
    std::vector<std::string> allowed;
    std::atomic<std::size_t> cancelled = 0;
    FakeUpstream upstream;
};

FixtureOptions pipelineOptions(const std::vector<Endpoint> &upstreams)
{
    auto options = optionsFor(upstreams);
    // Longer than each wait of a test, so that no retry takes part.
    options.service.timeouts.firstByte = std::chrono::seconds(30);
    options.service.timeouts.total = std::chrono::seconds(30);
    for (auto &upstream : options.service.upstreams) {
        upstream.slots = 64;
    }
    return options;
}

} // namespace

// Guards against requests of a connection that wait for each other, and against answers in the order of the upstreams.
TEST_CASE("idempotent requests of a connection run side by side and are answered in order")
{
    GatedUpstream upstream;
    const EntryFixture entry(pipelineOptions({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    caller.send(requestFor("GET", "/1") + requestFor("GET", "/2") + requestFor("GET", "/3"));
    REQUIRE(eventually([&upstream] {
        return upstream.startedCount() == 3;
    }));
    for (const auto *target : {"/3", "/2", "/1"}) {
        upstream.answer(target);
    }
    for (const auto *target : {"/1", "/2", "/3"}) {
        CHECK(caller.readMessage().body == target);
    }
    CHECK(entry.metric("verbenadock_pipelined_requests_total") == 2);
}

// Guards against one connection that takes all slots of the upstreams, and against requests that are lost behind the
// bound.
TEST_CASE("at most pipeline_depth requests of a connection run at a time and all are answered")
{
    constexpr std::size_t Requests = 40;
    constexpr std::size_t Depth = 16;
    GatedUpstream upstream;
    const EntryFixture entry(pipelineOptions({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    std::string text;
    for (std::size_t number = 0; number < Requests; ++number) {
        text += requestFor("GET", "/" + std::to_string(number));
    }
    caller.send(text);
    REQUIRE(eventually([&upstream] {
        return upstream.startedCount() == Depth;
    }));
    upstream.answer("/0");
    CHECK(caller.readMessage().body == "/0");
    REQUIRE(eventually([&upstream] {
        return upstream.startedCount() == Depth + 1;
    }));
    upstream.answer("*");
    for (std::size_t number = 1; number < Requests; ++number) {
        REQUIRE(caller.readMessage().body == "/" + std::to_string(number));
    }
    CHECK(upstream.startedCount() == Requests);
}

// Guards against work that runs twice, because the caller sends it again after an answer in front closed the
// connection.
TEST_CASE("a request that is not idempotent waits for the earlier answers, and nothing behind it starts before its own")
{
    GatedUpstream upstream;
    const EntryFixture entry(pipelineOptions({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    caller.send(requestFor("GET", "/1") + requestFor("POST", "/2", "Content-Length: 2\r\n") + "ab"
                + requestFor("GET", "/3") + requestFor("GET", "/4"));
    REQUIRE(eventually([&upstream] {
        return upstream.started("/1") == 1;
    }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(upstream.startedCount() == 1);
    upstream.answer("/1");
    CHECK(caller.readMessage().body == "/1");
    REQUIRE(eventually([&upstream] {
        return upstream.started("/2") == 1;
    }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(upstream.startedCount() == 2);
    upstream.answer("/2");
    CHECK(caller.readMessage().body == "/2");
    REQUIRE(eventually([&upstream] {
        return upstream.started("/3") == 1 && upstream.started("/4") == 1;
    }));
    upstream.answer("*");
    CHECK(caller.readMessage().body == "/3");
    CHECK(caller.readMessage().body == "/4");
}

// Guards against requests behind a closing answer that are run although the caller sends them again.
TEST_CASE("nothing behind an answer that closes the connection is sent to an upstream")
{
    GatedUpstream upstream;
    const EntryFixture entry(pipelineOptions({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    caller.send(requestFor("GET", "/1") + requestFor("GET", "/2", "Connection: close\r\n") + requestFor("GET", "/3")
                + requestFor("POST", "/4", "Content-Length: 0\r\n"));
    upstream.answer("*");
    CHECK(caller.readMessage().body == "/1");
    const auto last = caller.readMessage();
    CHECK(last.body == "/2");
    CHECK(last.field("Connection") == "close");
    CHECK(caller.waitForEnd() == StreamEnd::Closed);
    CHECK(upstream.startedCount() == 2);
}

// Guards against a malformed request that takes the answers of the requests in front of it along.
TEST_CASE("a malformed request is rejected in its turn and nothing behind it is sent")
{
    GatedUpstream upstream;
    const EntryFixture entry(pipelineOptions({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    caller.send(requestFor("GET", "/1") + requestFor("GET", "/2") + "GET /3 HTTP/1.1\r\nHost : h\r\n\r\n"
                + requestFor("GET", "/4"));
    REQUIRE(eventually([&upstream] {
        return upstream.startedCount() == 2;
    }));
    upstream.answer("*");
    CHECK(caller.readMessage().body == "/1");
    CHECK(caller.readMessage().body == "/2");
    CHECK(caller.readMessage().status() == 400);
    CHECK(caller.waitForEnd() == StreamEnd::Closed);
    CHECK(upstream.startedCount() == 2);
}

// Guards against upstreams that work for callers who are gone. Before, a disconnect behind a second request was noticed
// only when the first answer was written.
TEST_CASE("a caller that disconnects cancels all its unanswered requests")
{
    for (const bool orderly : {true, false}) {
        GatedUpstream upstream;
        const EntryFixture entry(pipelineOptions({upstream.endpoint()}));
        TestSocket caller(entry.endpoint());
        caller.send(requestFor("GET", "/1") + requestFor("GET", "/2")
                    + requestFor("POST", "/3", "Content-Length: 0\r\n"));
        REQUIRE(eventually([&upstream] {
            return upstream.startedCount() == 2;
        }));
        if (orderly) {
            caller.closeSending();
        } else {
            caller.reset();
        }
        CHECK(eventually([&upstream] {
            return upstream.cancelledCount() == 2;
        }));
        CHECK(upstream.started("/3") == 0);
        CHECK(eventually([&entry] {
            return entry.metric("verbenadock_caller_connections") == 0;
        }));
    }
}

// Guards against a reset that is not noticed because the entry reads no further behind many waiting requests.
TEST_CASE("a reset is noticed behind more requests than are read")
{
    GatedUpstream upstream;
    const EntryFixture entry(pipelineOptions({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    std::string text = requestFor("GET", "/1");
    for (int number = 0; number < 3000; ++number) {
        text += requestFor("POST", "/2", "Content-Length: 0\r\n");
    }
    caller.send(text);
    REQUIRE(eventually([&upstream] {
        return upstream.startedCount() == 1;
    }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    caller.reset();
    CHECK(eventually([&upstream] {
        return upstream.cancelledCount() == 1;
    }));
    CHECK(upstream.started("/2") == 0);
}

// Guards against requests that are lost in a rolling restart although the entry had read them.
TEST_CASE("a stop answers the requests that were started and closes the connection behind the last one")
{
    GatedUpstream upstream;
    EntryFixture entry(pipelineOptions({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    caller.send(requestFor("GET", "/1") + requestFor("GET", "/2") + requestFor("GET", "/3"));
    REQUIRE(eventually([&upstream] {
        return upstream.startedCount() == 3;
    }));
    entry.shutDown(std::chrono::milliseconds(10));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    caller.send(requestFor("GET", "/4"));
    upstream.answer("*");
    CHECK_FALSE(caller.readMessage().hasField("Connection"));
    CHECK_FALSE(caller.readMessage().hasField("Connection"));
    const auto last = caller.readMessage();
    CHECK(last.body == "/3");
    CHECK(last.field("Connection") == "close");
    CHECK(caller.waitForEnd() == StreamEnd::Closed);
    CHECK(upstream.started("/4") == 0);
    CHECK(eventually([&entry] {
        return entry.hasTerminated();
    }));
    CHECK(entry.terminatedCleanly());
}

// Guards against a request that was read before a stop and gets no answer, although the answer before it had announced
// that the connection stays open.
TEST_CASE("a stop during a streamed answer also answers the request behind it")
{
    constexpr std::size_t PartBytes = 300000;
    std::atomic<bool> mayFinish = false;
    const FakeUpstream upstream("127.0.5.22", [&mayFinish](TestSocket &connection, unsigned) {
        for (auto request = connection.readMessage(); request.complete; request = connection.readMessage()) {
            if (targetOf(request) != "/long") {
                connection.send(answerTo(request, targetOf(request)));
                continue;
            }
            connection.send(answerHead(request, 200, "Content-Length: " + std::to_string(2 * PartBytes) + "\r\n"));
            connection.send(std::string(PartBytes, 'x'));
            eventually([&mayFinish] {
                return mayFinish.load();
            });
            connection.send(std::string(PartBytes, 'x'));
        }
    });
    EntryFixture entry(pipelineOptions({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    caller.send(requestFor("GET", "/long") + requestFor("POST", "/after", "Content-Length: 1\r\n") + "x");
    while (caller.input.size() < PartBytes) {
        REQUIRE(caller.receive());
    }
    // New requests are refused only after the delay.
    entry.shutDown(std::chrono::seconds(1));
    mayFinish = true;
    const auto first = caller.readMessage();
    CHECK_FALSE(first.hasField("Connection"));
    CHECK(first.body.size() == 2 * PartBytes);
    const auto last = caller.readMessage();
    CHECK(last.body == "/after");
    CHECK(last.field("Connection") == "close");
    CHECK(eventually([&entry] {
        return entry.hasTerminated();
    }));
    CHECK(entry.terminatedCleanly());
}

// Guards against a coroutine that never suspends: the buffer was full with a head that only the raised limit allows.
TEST_CASE("a raised limit of the head holds on a connection that was open before")
{
    const FakeUpstream upstream("127.0.5.23", answerAll("answer"));
    auto options = pipelineOptions({upstream.endpoint()});
    options.limits.maxHeaderBytes = 16384;
    const EntryFixture entry(options);
    TestSocket caller(entry.endpoint());
    caller.send(requestFor("GET", "/1"));
    CHECK(caller.readMessage().body == "answer");
    options.limits.maxHeaderBytes = 131072;
    entry.setLimits(options.limits);
    caller.send(requestFor("GET", "/2", "X-Context: " + std::string(100000, 'c') + "\r\n"));
    CHECK(caller.readMessage().body == "answer");
}

// Guards against a long answer that is written between others, and against one that is cut and looks complete.
TEST_CASE("long answers wait for their turn, and a cut one resets the connection also with answers behind it")
{
    constexpr std::size_t LongBytes = 3000000;
    std::atomic<bool> firstMayAnswer = false;
    std::atomic<unsigned> longStarted = 0;
    std::atomic<bool> cuts = false;
    const FakeUpstream upstream("127.0.5.21", [&](TestSocket &connection, unsigned) {
        for (auto request = connection.readMessage(); request.complete; request = connection.readMessage()) {
            const auto target = targetOf(request);
            if (target == "/first") {
                eventually([&firstMayAnswer] {
                    return firstMayAnswer.load();
                });
                connection.send(answerTo(request, "first"));
            } else if (target == "/long") {
                ++longStarted;
                connection.send(answerHead(request, 200, "Content-Length: " + std::to_string(LongBytes) + "\r\n"));
                connection.send(std::string(cuts ? LongBytes / 2 : LongBytes, 'x'));
                if (cuts) {
                    return;
                }
            } else {
                connection.send(answerTo(request, "short"));
            }
        }
    });
    for (const bool cut : {false, true}) {
        firstMayAnswer = false;
        cuts = cut;
        longStarted = 0;
        const EntryFixture entry(pipelineOptions({upstream.endpoint()}));
        TestSocket caller(entry.endpoint());
        caller.send(requestFor("GET", "/first") + requestFor("GET", "/long") + requestFor("GET", "/short"));
        REQUIRE(eventually([&longStarted] {
            return longStarted > 0;
        }));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        firstMayAnswer = true;
        CHECK(caller.readMessage().body == "first");
        const auto answer = caller.readMessage();
        CHECK(answer.complete == !cut);
        if (cut) {
            CHECK(answer.end == StreamEnd::Reset);
        } else {
            CHECK((answer.body == std::string(LongBytes, 'x')));
            CHECK(caller.readMessage().body == "short");
        }
    }
}

// Guards against a head that is complete in the buffer and is parsed only when further bytes arrive.
TEST_CASE("requests that arrive in parts while others are unanswered are all answered")
{
    GatedUpstream upstream;
    const EntryFixture entry(pipelineOptions({upstream.endpoint()}));
    TestSocket caller(entry.endpoint());
    const auto text = requestFor("GET", "/1") + requestFor("PUT", "/2", "Content-Length: 3\r\n") + "abc"
                      + requestFor("POST", "/3", "Content-Length: 1\r\n") + "x" + requestFor("GET", "/4");
    std::thread sender([&caller, &text] {
        for (const char byte : text) {
            caller.send(std::string(1, byte));
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    upstream.answer("*");
    sender.join();
    for (const auto *target : {"/1", "/2", "/3", "/4"}) {
        CHECK(caller.readMessage().body == target);
    }
}
