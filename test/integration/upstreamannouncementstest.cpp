// Upstreams that announce in their answers that they leave, or that they want nothing for a while. The stand-ins note
// what reached them and the callers note what they got, so that both views of a request can be compared.
#include "harness/storefleet.h"
#include "verbenadock/base/error.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <mutex>
#include <thread>

using namespace Verbenadock;
using namespace Verbenadock::Test;

namespace {

/// Bounds of the platform: a request that was sent later than this after the announcement, and the time in which
/// requests that were on their way arrive at an upstream that asked for a pause.
constexpr std::int64_t DrainLimitUs = 2'000'000;
constexpr std::int64_t PauseSlackUs = 500'000;
/// Requests that may reach an upstream within its pause.
constexpr auto RequestsInPause = 2;
constexpr auto Callers = 4;
constexpr auto CallerPause = std::chrono::milliseconds(10);

std::int64_t unixMicroseconds()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct Call
{
    std::string id;
    std::int64_t sentUs = 0;
    std::int64_t endedUs = 0;
    /// Zero without an answer.
    unsigned status = 0;
    std::string retryAfter;
    bool announcedLeaving = false;
};

Call makeCall(const StoreFleet &fleet, const std::string &id, const Net::HttpRequest &request)
{
    Call call{.id = id, .sentUs = unixMicroseconds()};
    try {
        const auto answer = fleet.call(0, request);
        call.status = answer.status;
        call.retryAfter = answer.headers.contains("retry-after") ? answer.headers.at("retry-after") : "";
        call.announcedLeaving = answer.headers.contains("server-leaving");
    } catch (const Error &) {
        // The checks report a call without an answer by its status.
        call.status = 0;
    }
    call.endedUs = unixMicroseconds();
    return call;
}

/// Claims through the first VM, one after the other by each caller.
std::vector<Call> callFor(const StoreFleet &fleet, Duration time, const std::string &name)
{
    std::mutex mutex;
    std::vector<Call> calls;
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    const auto until = monotonicNow() + time;
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            for (int number = 0; monotonicNow() < until; ++number) {
                const auto id = name + "-" + std::to_string(caller) + "-" + std::to_string(number);
                const auto call = makeCall(fleet, id, StoreFleet::claim(id));
                {
                    const std::lock_guard lock(mutex);
                    calls.push_back(call);
                }
                std::this_thread::sleep_for(CallerPause);
            }
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    return calls;
}

std::size_t countServed(const std::vector<Call> &calls)
{
    return static_cast<std::size_t>(std::ranges::count(calls, 200U, &Call::status));
}

/// Ids of requests that were sent later than the bound after the VM had passed on an announcement, and reached the
/// upstream nevertheless.
std::vector<std::string> requestsAfterLeaving(const std::vector<Call> &calls,
                                              const Json &arrivals,
                                              const std::string &upstream)
{
    std::map<std::string, Call> byId;
    for (const auto &call : calls) {
        byId.emplace(call.id, call);
    }
    std::int64_t passedOnUs = INT64_MAX;
    for (const auto &arrival : arrivals) {
        const auto call = byId.find(arrival.at("requestId").get<std::string>());
        if (arrival.at("upstream") == upstream && arrival.at("saidLeaving") == true && call != byId.end()
            && call->second.status == 200) {
            passedOnUs = std::min(passedOnUs, call->second.endedUs);
        }
    }
    std::vector<std::string> late;
    for (const auto &arrival : arrivals) {
        const auto call = byId.find(arrival.at("requestId").get<std::string>());
        if (arrival.at("upstream") == upstream && call != byId.end() && passedOnUs != INT64_MAX
            && call->second.sentUs > passedOnUs + DrainLimitUs) {
            late.push_back(call->first);
        }
    }
    return late;
}

/// Largest number of requests that reached the upstream within one of its pauses.
std::ptrdiff_t mostRequestsInPause(const Json &arrivals, const std::string &upstream, double pauseSeconds)
{
    std::ptrdiff_t most = 0;
    for (const auto &asking : arrivals) {
        if (asking.at("upstream") != upstream || asking.at("askedPause").get<std::string>().empty()) {
            continue;
        }
        const auto from = asking.at("answeredUs").get<std::int64_t>();
        const auto until = from + static_cast<std::int64_t>(pauseSeconds * 1e6);
        most = std::max(most, std::ranges::count_if(arrivals, [&](const Json &arrival) {
                            const auto at = arrival.at("atUs").get<std::int64_t>();
                            return arrival.at("upstream") == upstream && at > from + PauseSlackUs && at < until;
                        }));
    }
    return most;
}

StoreFleetSpec oneEntry(unsigned upstreams)
{
    return {.services = {{.name = "vydej", .upstreams = upstreams}}, .dataCentres = {"a"}, .vms = 1};
}

} // namespace

// Guards against requests to an upstream that announced its leaving in answers that were passed on, while the store
// still calls it ready.
TEST_CASE("an upstream that announces its leaving in its answers gets no request later than the bound")
{
    StoreFleet fleet(PROGRAM_DIR, oneEntry(2));
    fleet.start();
    const auto leaving = fleet.upstreams.front();
    CHECK(countServed(callFor(fleet, std::chrono::milliseconds(300), "before")) > 0);
    fleet.setUpstreams({{"draining", true}}, {leaving.id});
    const auto calls = callFor(fleet, std::chrono::milliseconds(4000), "while");
    CHECK(countServed(calls) == calls.size());
    CHECK(std::ranges::count(calls, true, &Call::announcedLeaving) == 0);
    CHECK(requestsAfterLeaving(calls, fleet.arrivals(), leaving.id).empty());

    SECTION("also when its entry changes, ends and returns")
    {
        fleet.removeUpstream(leaving);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        fleet.registerUpstream(leaving);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        const auto later = callFor(fleet, std::chrono::milliseconds(500), "returned");
        CHECK(countServed(later) == later.size());
        auto all = calls;
        all.insert(all.end(), later.begin(), later.end());
        CHECK(requestsAfterLeaving(all, fleet.arrivals(), leaving.id).empty());
    }
    SECTION("until a new process takes its place")
    {
        fleet.setUpstreams({{"draining", false}}, {leaving.id});
        const auto before = fleet.arrivals().size();
        fleet.registerUpstream(leaving, false, 2);
        waitFor("requests at the new process", std::chrono::seconds(5), [&] {
            callFor(fleet, std::chrono::milliseconds(200), "new" + std::to_string(unixMicroseconds()));
            const auto arrivals = fleet.arrivals();
            return std::any_of(
                arrivals.begin() + static_cast<std::ptrdiff_t>(before), arrivals.end(), [&](const Json &arrival) {
                    return arrival.at("upstream") == leaving.id;
                });
        });
    }
}

// Guards against requests that go on reaching an upstream that asked this VM for a pause when it refused one.
TEST_CASE("an upstream that asks for a pause gets at most two requests within it")
{
    constexpr auto PauseSeconds = 2.0;
    StoreFleet fleet(PROGRAM_DIR, oneEntry(2));
    fleet.start();
    const auto pausing = fleet.upstreams.front();
    fleet.setUpstreams({{"refuseWork", true}, {"retryAfter", "2"}}, {pausing.id});
    const auto calls = callFor(fleet, std::chrono::milliseconds(5500), "call");
    CHECK(countServed(calls) == calls.size());
    const auto arrivals = fleet.arrivals();
    CHECK(mostRequestsInPause(arrivals, pausing.id, PauseSeconds) <= RequestsInPause);
    const auto askedAgain = std::ranges::count_if(arrivals, [&](const Json &arrival) {
        return arrival.at("upstream") == pausing.id && !arrival.at("askedPause").get<std::string>().empty();
    });
    // After each pause the upstream is asked again.
    CHECK(askedAgain >= 2);
}

// Guards against callers that wait in vain, or that all return before any upstream takes a request again.
TEST_CASE("while all upstreams pause for longer than a caller waits, it is told at once when the first pause ends")
{
    StoreFleet fleet(PROGRAM_DIR, oneEntry(2));
    fleet.start();
    fleet.setUpstreams({{"refuseWork", true}, {"retryAfter", "6"}});
    callFor(fleet, std::chrono::milliseconds(200), "first");
    fleet.setUpstreams({{"refuseWork", false}});
    const auto calls = callFor(fleet, std::chrono::milliseconds(500), "paused");
    REQUIRE_FALSE(calls.empty());
    for (const auto &call : calls) {
        INFO(call.id << " status " << call.status << " Retry-After " << call.retryAfter);
        CHECK(call.status == 503);
        CHECK(call.endedUs - call.sentUs < 500'000);
        REQUIRE_FALSE(call.retryAfter.empty());
        CHECK(std::stod(call.retryAfter) > 4);
        CHECK(std::stod(call.retryAfter) < 10);
    }
    waitFor("the pause to end", std::chrono::seconds(8), [&fleet] {
        const auto id = "after-" + std::to_string(unixMicroseconds());
        return makeCall(fleet, id, StoreFleet::claim(id)).status == 200;
    });
}
