// Requests that are not at an upstream yet when a VM is told to stop.
#include "harness/storefleet.h"
#include "proxy/testsocket.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

using namespace Verbenadock;
using namespace Verbenadock::Test;

namespace {

/// SIGKILL follows this long after SIGTERM; the balancer notices after the drain delay.
constexpr auto Shutdown = "drain_delay = \"2200 ms\"\nkill_after_s = 6\n";
constexpr auto Grace = std::chrono::seconds(6);
/// Time after SIGTERM at which requests in pieces begin.
constexpr auto FirstBytesAfter = std::chrono::milliseconds(1000);
constexpr auto TimeoutSeconds = 8.0;
/// Enough requests for an estimate of the usual latency.
constexpr int WarmUpRequests = 60;
constexpr int WarmUpCallers = 12;

StoreFleetSpec specWithWork(int milliseconds, unsigned upstreams)
{
    return {.services = {{.name = "vydej", .upstreams = upstreams}},
            .dataCentres = {"a"},
            .vms = 1,
            .behaviour = {{"serviceMs", milliseconds}},
            .timeoutS = TimeoutSeconds,
            .shutdown = Shutdown};
}

std::string headAndBody(const std::string &id)
{
    return "POST /vydej/" + id + " HTTP/1.1\r\nHost: fleet.example\r\nVerbenadock-Request-Id: " + id
           + "\r\nVerbenadock-Deadline-Ms: 9000\r\nContent-Length: 2\r\n\r\n{}";
}

unsigned statusOf(const StoreFleet &fleet, const std::string &id)
{
    Testing::TestSocket caller(fleet.vms[0].entryListen());
    caller.send(headAndBody(id));
    const auto answer = caller.readMessage();
    return answer.complete ? answer.status() : 0;
}

void warmUp(const StoreFleet &fleet)
{
    std::vector<std::future<void>> callers;
    callers.reserve(WarmUpCallers);
    for (int caller = 0; caller < WarmUpCallers; ++caller) {
        callers.push_back(std::async(std::launch::async, [&fleet, caller] {
            for (int number = 0; number < WarmUpRequests / WarmUpCallers; ++number) {
                statusOf(fleet, "warm-" + std::to_string(caller) + "-" + std::to_string(number));
            }
        }));
    }
}

/// Sends all but the last byte early in the stop and the last byte at the given times after SIGTERM; returns the
/// statuses, with zero for a connection that ended without a whole answer.
std::vector<unsigned> sendInPieces(const StoreFleet &fleet, const std::vector<std::chrono::milliseconds> &lastBytes)
{
    const auto stopAt = monotonicNow();
    fleet.vms[0].entry->signal(SIGTERM);
    std::vector<std::future<unsigned>> answers;
    for (std::size_t number = 0; number < lastBytes.size(); ++number) {
        answers.push_back(std::async(std::launch::async, [&fleet, &lastBytes, stopAt, number] {
            const auto text = headAndBody("piece-" + std::to_string(number));
            std::this_thread::sleep_for(stopAt + FirstBytesAfter - monotonicNow());
            Testing::TestSocket caller(fleet.vms[0].entryListen());
            caller.send(std::string_view(text).substr(0, text.size() - 1));
            std::this_thread::sleep_for(stopAt + lastBytes[number] - monotonicNow());
            caller.send(std::string_view(text).substr(text.size() - 1));
            const auto answer = caller.readMessage();
            return answer.complete ? answer.status() : 0;
        }));
    }
    std::vector<unsigned> statuses;
    statuses.reserve(answers.size());
    for (auto &answer : answers) {
        statuses.push_back(answer.get());
    }
    return statuses;
}

/// Every request has a whole answer: that of the upstream, or 503 if no upstream ran it.
void checkAnswers(const StoreFleet &fleet, const std::string &prefix, const std::vector<unsigned> &statuses)
{
    const auto executions = fleet.executions();
    for (std::size_t number = 0; number < statuses.size(); ++number) {
        const auto id = prefix + std::to_string(number);
        const auto runs = std::ranges::count_if(executions, [&id](const Json &execution) {
            return execution.at("requestId") == id;
        });
        INFO(id << " got " << statuses[number] << " and ran " << runs << " times");
        CHECK((statuses[number] == 200 || statuses[number] == 503));
        CHECK(runs == (statuses[number] == 200 ? 1 : 0));
    }
}

} // namespace

// Guards against requests that are passed on late in a stop and cut off while an upstream works on them.
TEST_CASE("a request whose last byte arrives late in a stop is not sent to an upstream that cannot finish in time")
{
    const std::vector<std::chrono::milliseconds> lastBytes{std::chrono::milliseconds(3100),
                                                           std::chrono::milliseconds(3500),
                                                           std::chrono::milliseconds(3900),
                                                           std::chrono::milliseconds(4300),
                                                           std::chrono::milliseconds(4900)};
    StoreFleet fleet(PROGRAM_DIR, specWithWork(2800, 6));
    fleet.start();
    SECTION("with a known latency")
    {
        warmUp(fleet);
    }
    SECTION("before any answer")
    {
    }
    checkAnswers(fleet, "piece-", sendInPieces(fleet, lastBytes));
    CHECK(fleet.vms[0].entry->waitForExit(Grace) == 0);
}

// Guards against refusing work that can still be done.
TEST_CASE("a request whose last byte arrives late in a stop is served when its work ends in time")
{
    StoreFleet fleet(PROGRAM_DIR, specWithWork(100, 2));
    fleet.start();
    warmUp(fleet);
    const auto statuses = sendInPieces(
        fleet, {std::chrono::milliseconds(2500), std::chrono::milliseconds(3500), std::chrono::milliseconds(4500)});
    CHECK(statuses == std::vector<unsigned>{200, 200, 200});
    CHECK(fleet.vms[0].entry->waitForExit(Grace) == 0);
}

// Guards against requests that wait for a slot until the limit of a stop, and against ones that get a slot too late.
TEST_CASE("a request that gets no slot in time before the end of a stop is refused as not run")
{
    constexpr int Requests = 20;
    StoreFleet fleet(PROGRAM_DIR, specWithWork(1500, 1));
    fleet.start();
    std::vector<std::future<unsigned>> answers;
    answers.reserve(Requests);
    for (int number = 0; number < Requests; ++number) {
        answers.push_back(std::async(std::launch::async, [&fleet, number] {
            return statusOf(fleet, "queued-" + std::to_string(number));
        }));
    }
    waitFor("the requests to arrive", std::chrono::seconds(5), [&fleet] {
        return fleet.entryDump(0).at("open_requests").get<int>() >= 8;
    });
    fleet.vms[0].entry->signal(SIGTERM);
    std::vector<unsigned> statuses;
    statuses.reserve(answers.size());
    for (auto &answer : answers) {
        statuses.push_back(answer.get());
    }
    checkAnswers(fleet, "queued-", statuses);
    CHECK(std::ranges::count(statuses, 200U) >= 8);
    CHECK(fleet.vms[0].entry->waitForExit(Grace) == 0);
}
