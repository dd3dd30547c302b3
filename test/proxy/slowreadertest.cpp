// Callers and upstreams that read slowly, and the memory that is held for them.
#include "entryfixture.h"
#include "fakeupstream.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <thread>
#include <unistd.h>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

namespace {

constexpr std::size_t Readers = 300;
constexpr std::size_t Megabyte = 1'000'000;

std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

double heldBytes(const EntryFixture &entry)
{
    return entry.metric("verbenadock_held_bytes{kind=\"callers\"}")
           + entry.metric("verbenadock_held_bytes{kind=\"upstreams\"}");
}

std::string getRequest(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

std::string putRequest(const std::string &target, std::size_t size)
{
    return "PUT " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n"
           + std::string(size, 'b');
}

/// Answers "/large" with a body of the size and everything else with "small". The bodies of requests
/// for "/slow" are not read.
FakeUpstream::Script answers(std::size_t largeBytes)
{
    return [largeBody = std::make_shared<const std::string>(largeBytes, 'x')](TestSocket &connection, unsigned) {
        for (;;) {
            const auto head = connection.readHead();
            if (head.empty()) {
                return;
            }
            ReceivedMessage request;
            request.head = head;
            if (head.find(" /slow ") != std::string::npos) {
                while (!connection.hungUp()) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                }
                return;
            }
            const auto length = std::stoul(request.field("Content-Length").value_or("0"));
            while (connection.input.size() < length && connection.receive()) { }
            connection.input.erase(0, length);
            const bool large = head.find(" /large ") != std::string::npos;
            // One text for all connections, since hundreds of copies would fill the memory of the test.
            connection.send(
                answerHead(request, 200, "Content-Length: " + std::to_string(large ? largeBody->size() : 5) + "\r\n"));
            connection.send(large ? std::string_view(*largeBody) : std::string_view("small"));
        }
    };
}

FixtureOptions limitedOptions(const Endpoint &upstream, std::size_t limit)
{
    auto options = optionsFor({upstream});
    options.service.upstreams.front().slots = 2000;
    options.service.timeouts.firstByte = std::chrono::seconds(6);
    options.service.timeouts.total = std::chrono::seconds(7);
    options.limits.heldBytes = limit;
    return options;
}

} // namespace

// Guards against a process that is killed for its memory because of callers and upstreams that read almost nothing, and
// against other callers that wait for them.
TEST_CASE("hundreds of slow callers and slow upstreams neither exceed the limit nor delay other callers")
{
    constexpr std::size_t Limit = 16 * Megabyte;
    // Small bodies are refused beyond a quarter. Reads of answers that began before add to that (1 MB when measured).
    constexpr std::size_t MaxHeldBytes = Limit + Limit / 4 + 4 * Megabyte;
    constexpr auto MaxDelay = std::chrono::seconds(1);
    const FakeUpstream upstream("127.0.5.30", answers(4 * Megabyte));
    const EntryFixture entry(limitedOptions(upstream.endpoint(), Limit));
    const auto before = residentBytes();
    std::vector<TestSocket> callers;
    for (std::size_t number = 0; number < Readers; ++number) {
        callers.emplace_back(entry.endpoint());
        callers.back().send(getRequest("/large"));
        callers.emplace_back(entry.endpoint());
        callers.back().sendSome(putRequest("/slow", 60'000));
    }
    double highest = 0;
    auto slowest = Duration(0);
    for (const auto end = monotonicNow() + std::chrono::seconds(4); monotonicNow() < end;) {
        const auto begin = monotonicNow();
        CHECK(entry.exchange(getRequest("/")).body == "small");
        slowest = std::max(slowest, Duration(monotonicNow() - begin));
        highest = std::max(highest, heldBytes(entry));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    INFO("resident bytes before " << before << ", now " << residentBytes());
    CAPTURE(highest, std::chrono::duration_cast<std::chrono::milliseconds>(slowest).count());
    CHECK(highest > 0);
    CHECK(highest < MaxHeldBytes);
    CHECK(slowest < MaxDelay);
    callers.clear();
    CHECK(eventually([&entry] {
        return heldBytes(entry) == 0;
    }));
}

// Guards against new bodies that are buffered while memory runs short, and against a refusal of work already begun.
TEST_CASE("at the limit a long body is refused as not run, and a short one and an answer begun are served")
{
    const FakeUpstream upstream("127.0.5.31", answers(100'000));
    auto options = limitedOptions(upstream.endpoint(), 50'000);
    const EntryFixture entry(options);
    TestSocket holder(entry.endpoint());
    holder.send(putRequest("/slow", 60'000));
    REQUIRE(eventually([&entry] {
        return heldBytes(entry) >= 50'000;
    }));
    const auto refused = entry.exchange(putRequest("/", 65'537));
    CHECK(refused.status() == 503);
    CHECK(refused.field("Retry-After") == "1");
    CHECK(refused.field("Connection") == "close");
    CHECK(refused.body.find("memory-limit") != std::string::npos);
    CHECK(refused.body.find("not-run") != std::string::npos);
    CHECK(entry.metric("verbenadock_requests_total{outcome=\"not-run\",refusal=\"memory-limit\"}") == 1);
    CHECK(entry.exchange(putRequest("/", 1000)).body == "small");
    CHECK(entry.exchange(getRequest("/large")).body.size() == 100'000);
    holder.close();
    REQUIRE(eventually([&entry] {
        return heldBytes(entry) == 0;
    }));
    CHECK(entry.exchange(putRequest("/", 65'537)).body == "small");
}

// Guards against an upstream that gets more bodies than it can hold.
TEST_CASE("bodies beyond the limit of an upstream in transit are rejected as not run")
{
    constexpr std::size_t BodyBytes = 5'000'000;
    const FakeUpstream upstream("127.0.5.32", answers(1));
    const EntryFixture entry(limitedOptions(upstream.endpoint(), 0));
    TestSocket first(entry.endpoint());
    std::thread sender([&first] {
        first.send(putRequest("/slow", BodyBytes));
    });
    REQUIRE(eventually([&upstream] {
        return upstream.connections() == 1;
    }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    TestSocket second(entry.endpoint());
    std::thread secondSender([&second] {
        second.send(putRequest("/", BodyBytes));
    });
    const auto refused = second.readMessage();
    CHECK(refused.status() == 503);
    CHECK(refused.body.find("not-run") != std::string::npos);
    CHECK(entry.exchange(putRequest("/", 1000)).body == "small");
    first.shutDown();
    second.shutDown();
    sender.join();
    secondSender.join();
}

// Guards against many small bodies that together exceed the limit without bound.
TEST_CASE("small bodies are refused as not run when the limit is exceeded by a quarter")
{
    const FakeUpstream upstream("127.0.5.34", answers(1));
    const EntryFixture entry(limitedOptions(upstream.endpoint(), 40'000));
    TestSocket holder(entry.endpoint());
    holder.send(putRequest("/slow", 49'000));
    REQUIRE(eventually([&entry] {
        return heldBytes(entry) >= 49'000;
    }));
    TestSocket waiting(entry.endpoint());
    const auto request = putRequest("/", 10'000);
    const auto firstPart = request.size() - 10'000;
    waiting.send(request.substr(0, firstPart));
    waiting.send(request.substr(firstPart));
    const auto refusedWhileRead = waiting.readMessage();
    CHECK(refusedWhileRead.status() == 503);
    CHECK(refusedWhileRead.field("Retry-After") == "1");
    CHECK(refusedWhileRead.body.find("not-run") != std::string::npos);
    TestSocket second(entry.endpoint());
    second.send(putRequest("/slow", 900));
    REQUIRE(eventually([&entry] {
        return heldBytes(entry) >= 49'900;
    }));
    TestSocket third(entry.endpoint());
    third.send(putRequest("/slow", 101));
    CHECK(third.readMessage().status() == 503);
    CHECK(entry.exchange(getRequest("/")).body.size() == 5);
    CHECK(entry.metric("verbenadock_requests_total{outcome=\"not-run\",refusal=\"memory-limit\"}") == 2);
    holder.close();
    second.close();
    CHECK(eventually([&entry] {
        return heldBytes(entry) == 0;
    }));
    CHECK(entry.exchange(putRequest("/", 101)).body == "small");
}

// Guards against a slot of an upstream that is kept by a caller who takes nothing of a long answer.
TEST_CASE("a caller that takes nothing is cut after the stall timeout, and one that takes a little is not")
{
    std::atomic<unsigned> ended = 0;
    const FakeUpstream upstream("127.0.5.33", [&ended](TestSocket &connection, unsigned) {
        const auto request = connection.readMessage();
        connection.send(answerHead(request, 200, "Content-Length: 30000000\r\n"));
        connection.send(std::string(30 * Megabyte, 'x'));
        ++ended;
    });
    auto options = limitedOptions(upstream.endpoint(), 0);
    options.limits.callerStallTimeout = std::chrono::milliseconds(600);
    const EntryFixture entry(options);
    TestSocket stalled(entry.endpoint());
    stalled.send(getRequest("/"));
    TestSocket slow(entry.endpoint());
    slow.send(getRequest("/"));
    const auto begin = monotonicNow();
    std::size_t taken = 0;
    while (monotonicNow() - begin < std::chrono::milliseconds(2500)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        slow.input.clear();
        REQUIRE(slow.receive());
        taken += slow.input.size();
    }
    CHECK(ended == 1);
    CHECK(taken < 30 * Megabyte);
    CHECK(eventually([&stalled] {
        stalled.input.clear();
        return !stalled.receive();
    }));
}
