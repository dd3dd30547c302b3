// The whole path with the platform's store, with real processes: no agent, no bundle.
#include "harness/storefleet.h"
#include "proxy/testsocket.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <map>

using namespace Verbenadock;
using namespace Verbenadock::Test;

namespace {

/// Bounds of the platform.
constexpr auto ConfigurationLimit = std::chrono::seconds(2);
constexpr auto DrainLimit = std::chrono::seconds(2);
/// An outage of the store stretches the bound of the configuration.
constexpr auto OutageSlack = std::chrono::seconds(3);

std::map<std::string, int> runsById(const Json &executions)
{
    std::map<std::string, int> runs;
    for (const auto &execution : executions) {
        ++runs[execution.at("requestId").get<std::string>()];
    }
    return runs;
}

/// Statuses of claims through the first VM; returns when the upstreams run all of them.
std::vector<std::future<unsigned>> runningClaims(const StoreFleet &fleet)
{
    constexpr int Requests = 6;
    std::vector<std::future<unsigned>> statuses;
    statuses.reserve(Requests);
    for (int number = 0; number < Requests; ++number) {
        statuses.push_back(std::async(std::launch::async, [&fleet, number] {
            return fleet.call(0, StoreFleet::claim("inflight-" + std::to_string(number))).status;
        }));
    }
    waitFor("the requests to run", std::chrono::seconds(5), [&fleet] {
        return fleet.executions().size() == Requests;
    });
    return statuses;
}

} // namespace

TEST_CASE("a request passes an entry that follows the store, and is run once by the service's upstream")
{
    StoreFleet fleet(PROGRAM_DIR, {});
    fleet.start();
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        const auto id = "claim-" + std::to_string(vm);
        const auto answer = fleet.call(vm, StoreFleet::claim(id));
        CHECK(answer.status == 200);
        CHECK(answer.headers.at("verbenadock-request-id") == id);
        CHECK(answer.headers.contains("verbenadock-server-seal"));
        CHECK(Json::parse(answer.body).at("upstream").get<std::string>().starts_with("vydej"));
    }
    CHECK(fleet.call(0, StoreFleet::claim("nowhere", "/nowhere/")).status == 404);
    CHECK(runsById(fleet.executions()) == std::map<std::string, int>{{"claim-0", 1}, {"claim-1", 1}, {"claim-2", 1}});
}

TEST_CASE("a new version is in force at every entry within 2 s, also at one that the store turns away")
{
    StoreFleet fleet(PROGRAM_DIR, {.dataCentres = {"a"}});
    fleet.start();
    fleet.setRoutes({{"refuse", true}}, {"store-vm-01"});
    fleet.configure(2);
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        waitFor("version 2 at " + fleet.vms[vm].id, ConfigurationLimit, [&fleet, vm] {
            return fleet.call(vm, StoreFleet::claim("new-" + std::to_string(vm), "/v2/")).status == 200;
        });
        CHECK(fleet.call(vm, StoreFleet::claim("old-" + std::to_string(vm), "/v1/")).status == 404);
    }
}

TEST_CASE("an upstream that drains or vanishes from the store gets no work after 2 s")
{
    StoreFleet fleet(PROGRAM_DIR, {});
    fleet.start();
    std::vector<FleetUpstream> leaving;
    for (const auto &upstream : fleet.upstreams) {
        if (upstream.service == "vydej" && leaving.size() < 2) {
            leaving.push_back(upstream);
        }
    }
    fleet.registerUpstream(leaving[0], true);
    fleet.removeUpstream(leaving[1]);
    std::this_thread::sleep_for(DrainLimit);
    for (int number = 0; number < 30; ++number) {
        const auto answer = fleet.call(number % fleet.vms.size(), StoreFleet::claim("after-" + std::to_string(number)));
        REQUIRE(answer.status == 200);
        const auto upstream = Json::parse(answer.body).at("upstream").get<std::string>();
        CHECK(upstream != leaving[0].id);
        CHECK(upstream != leaving[1].id);
    }
}

// Guards against uploads that reach an upstream long after it left, because it was selected when only the head was
// there, and are lost as it ends.
TEST_CASE("an upload whose upstream leaves while the body arrives goes to another one")
{
    StoreFleet fleet(PROGRAM_DIR, {.services = {{.name = "vydej"}}, .vms = 1});
    fleet.start();
    const std::string body(200000, 'x');
    std::vector<Testing::TestSocket> callers;
    for (int number = 0; number < 6; ++number) {
        callers.emplace_back(fleet.vms[0].entryListen());
        callers.back().send("POST /vydej/up HTTP/1.1\r\nHost: fleet.example\r\nVerbenadock-Request-Id: upload-"
                            + std::to_string(number) + "\r\nVerbenadock-Deadline-Ms: 4000\r\nContent-Length: "
                            + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, body.size() / 2));
    }
    waitFor("the heads to be read", std::chrono::seconds(5), [&fleet, &callers] {
        return fleet.entryDump(0).at("open_requests") == callers.size();
    });
    const auto &remaining = fleet.upstreams.front();
    for (const auto &upstream : fleet.upstreams) {
        if (upstream.id != remaining.id) {
            fleet.registerUpstream(upstream, true);
        }
    }
    waitFor("the entry to know the leaving upstreams", DrainLimit, [&fleet] {
        return fleet.entryDump(0).at("services").at(0).at("upstreams").size() == 1;
    });
    for (auto &caller : callers) {
        caller.send(std::string_view(body).substr(body.size() / 2));
    }
    for (auto &caller : callers) {
        const auto answer = caller.readMessage();
        REQUIRE(answer.status() == 200);
        CHECK(Json::parse(answer.body).at("upstream") == remaining.id);
    }
    CHECK(fleet.executions().size() == callers.size());
}

// Guards against processes that end, or stop following the store, on account of entries that somebody else wrote.
TEST_CASE("odd entries among those of the upstreams name no upstream, and the others hold")
{
    StoreFleet fleet(PROGRAM_DIR, {.services = {{.name = "vydej"}}, .dataCentres = {"a"}});
    fleet.start();
    const auto entry = [](const std::string &address, const std::string &slots) {
        return R"({"address":")" + address + R"(","born":1,"info":{"service":"vydej","zone":"a","version":"v","slots":)"
               + slots + R"(},"status":{"state":"ready","seq":1,"warmupLeftS":0}})";
    };
    const std::vector<std::string> values = {std::string(200000, '['),
                                             R"({"info":)" + std::string(100000, '[') + std::string(100000, ']') + "}",
                                             entry("127.0.0.1:65536", "1"),
                                             entry("127.0.0.1:99999999999999999999", "1"),
                                             entry("127.0.0.1:1", "99999999999999999999999"),
                                             entry("127.0.0.1:1", "1e400"),
                                             entry("127.0.0.1:1", "-1"),
                                             std::string("\x00\xff\xfe{", 4)};
    // More than one page of newest records, so that the last key of a page is an odd one.
    constexpr int Keys = 520;
    for (int number = 0; number < Keys; ++number) {
        const auto &value = values[static_cast<std::size_t>(number) % values.size()];
        const bool isLong = value.size() > 1000 && number > 40;
        fleet.writeUpstreamEntry("odd key&after=x#" + std::to_string(1000 + number), isLong ? "[" : value);
    }
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        CHECK(fleet.vms[vm].entry->isRunning());
        CHECK(fleet.isReady(vm));
    }
    // After the loss of all of them, no VM can get the list from another one.
    for (auto &vm : fleet.vms) {
        vm.entry->signal(SIGKILL);
    }
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        fleet.startEntry(vm);
    }
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        fleet.waitUntilReady(vm);
    }
    // Only a VM that still follows the store learns of these.
    for (std::size_t index = 1; index < fleet.upstreams.size(); ++index) {
        fleet.removeUpstream(fleet.upstreams[index]);
    }
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        waitFor("the removals at " + fleet.vms[vm].id, DrainLimit, [&fleet, vm] {
            return fleet.entryDump(vm).at("services").at(0).at("upstreams").size() == 1;
        });
        CHECK(fleet.call(vm, StoreFleet::claim("odd-" + std::to_string(vm))).status == 200);
    }
}

// Nothing on a VM outlives its process, and the store may be away for longer than a restart takes.
TEST_CASE("an entry that restarts while the store is away learns everything from its peers")
{
    StoreFleet fleet(PROGRAM_DIR, {.dataCentres = {"a"}});
    fleet.start();
    fleet.setStore({{"outage", "error"}});
    fleet.vms[1].entry->signal(SIGKILL);
    fleet.startEntry(1);
    fleet.waitUntilReady(1);
    CHECK(fleet.call(1, StoreFleet::claim("meanwhile")).status == 200);
    fleet.setStore({{"outage", "none"}});
    fleet.configure(3);
    waitFor("version 3 at the restarted entry", ConfigurationLimit + OutageSlack, [&fleet] {
        return fleet.call(1, StoreFleet::claim("after", "/v3/")).status == 200;
    });
}

TEST_CASE("all entries serve again after they were killed at the same moment")
{
    StoreFleet fleet(PROGRAM_DIR, {});
    fleet.start();
    fleet.configure(7);
    for (auto &vm : fleet.vms) {
        vm.entry->signal(SIGKILL);
    }
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        fleet.startEntry(vm);
    }
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        fleet.waitUntilReady(vm);
        CHECK(fleet.call(vm, StoreFleet::claim("again-" + std::to_string(vm), "/v7/")).status == 200);
    }
}

TEST_CASE("an entry that stops finishes the requests in flight and leaves with status 0")
{
    StoreFleet fleet(PROGRAM_DIR, {.behaviour = {{"serviceMs", 1500}}});
    fleet.start();
    auto answers = runningClaims(fleet);
    fleet.vms[0].entry->signal(SIGTERM);
    for (auto &answer : answers) {
        CHECK(answer.get() == 200);
    }
    CHECK(fleet.vms[0].entry->waitForExit(std::chrono::seconds(6)) == 0);
}

// Guards against callers that cannot tell an abandoned request from one that was never read.
TEST_CASE("requests that are abandoned at the limit of a stop get an answer")
{
    StoreFleet fleet(PROGRAM_DIR,
                     {.behaviour = {{"serviceMs", 1800}}, .shutdown = "drain_delay = \"300 ms\"\nlimit = \"1 s\"\n"});
    fleet.start();
    auto answers = runningClaims(fleet);
    fleet.vms[0].entry->signal(SIGTERM);
    for (auto &answer : answers) {
        unsigned status = 0;
        CHECK_NOTHROW(status = answer.get());
        CHECK(status == 504);
    }
    CHECK(fleet.vms[0].entry->waitForExit(std::chrono::seconds(6)) == 1);
}

TEST_CASE("requests to upstreams whose connections went silent are not doubled and not promised falsely")
{
    StoreFleet fleet(PROGRAM_DIR, {});
    fleet.start();
    for (int number = 0; number < 12; ++number) {
        fleet.call(0, StoreFleet::claim("warm-" + std::to_string(number)));
    }
    std::vector<std::string> names;
    for (const auto &upstream : fleet.upstreams) {
        names.push_back(upstream.id);
    }
    fleet.silenceRoutes(names);
    std::map<std::string, unsigned> statuses;
    for (int number = 0; number < 4; ++number) {
        const auto id = "silent-" + std::to_string(number);
        statuses[id] = fleet.call(0, StoreFleet::claim(id)).status;
    }
    const auto runs = runsById(fleet.executions());
    for (const auto &[id, status] : statuses) {
        const int times = runs.contains(id) ? runs.at(id) : 0;
        INFO(id << " got " << status << " and ran " << times << " times");
        CHECK(times <= 1);
        CHECK((status == 200 || status == 503 || status == 504));
        CHECK_FALSE((status == 503 && times > 0));
        CHECK_FALSE((status == 200 && times == 0));
    }
}
