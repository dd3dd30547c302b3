#include "harness/fleet.h"
#include "harness/fleetsettings.h"
#include "proxy/testsocket.h"
#include "verbenadock/base/error.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace Verbenadock;
using namespace Verbenadock::Test;
using Testing::TestSocket;

namespace {

constexpr auto Limit = std::chrono::seconds(10);
// An upstream that leaves has to be free of new work after this time.
constexpr std::int64_t LeavingLimitUs = 3'000'000;

unsigned readyStatus(const FleetVm &vm)
{
    return Net::fetchBlocking(vm.entryAdmin(), {.target = "/ready"}, Limit).status;
}

std::int64_t unixMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

/// Sends searches through the balancer, one after the other, until the condition holds.
void searchUntil(const Fleet &fleet, const std::string &what, const std::function<bool()> &condition)
{
    waitFor(what, std::chrono::seconds(20), [&] {
        const auto status = fleet.call({.target = "/katalog/1"}).status;
        if (status != 200) {
            FAIL("a search was answered with " << status);
        }
        return condition();
    });
}

std::size_t runsSince(const Fleet &fleet, const std::string &upstream, std::int64_t startUs)
{
    const auto executions = fleet.executions();
    return static_cast<std::size_t>(std::ranges::count_if(executions, [&](const Json &run) {
        return run["upstream"] == upstream && run["startedUs"].get<std::int64_t>() >= startUs;
    }));
}

struct BadInput
{
    std::string name;
    std::string request;
};

std::vector<BadInput> badInputs()
{
    const std::string post = "POST /katalog/1 HTTP/1.1\r\nHost: h\r\n";
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"conflicting lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
            {"a length with a coding", post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
            {"a chunk size that is no number", chunked + "3\r\nabc\r\nzz\r\nabc\r\n0\r\n\r\n"},
            {"a chunk longer than announced", chunked + "2\r\nabc\r\n0\r\n\r\n"},
            {"two Hosts", post + "Host: h\r\nContent-Length: 2\r\n\r\nab"},
            {"a head over the limit", post + "X: " + std::string(100000, 'x') + "\r\nContent-Length: 2\r\n\r\nab"}};
}

} // namespace

// Guards against an entry that depends on its agent to serve, and against one that never hears of it again.
TEST_CASE("an entry serves while its agent is dead and takes the next version once the agent is back")
{
    Fleet fleet(PROGRAM_DIR, {.services = {{.name = "katalog", .upstreams = 1}}, .vms = 2});
    fleet.start();
    fleet.rollOut(1);
    fleet.vms[0].agent->signal(SIGKILL);
    REQUIRE(fleet.vms[0].agent->waitForExit(Limit));
    fleet.ctl("jana", {"propose", fleet.writeText("two.toml", fleet.bundleText(2))});
    fleet.ctl("petr", {"sign-off", BundleName, "2"});
    fleet.ctl("petr", {"roll-out", BundleName, "2"});
    waitFor("version 2 at the other VM", Limit, [&fleet] {
        return bundleVersion(fleet.entryDump(1)) == 2;
    });
    CHECK(bundleVersion(fleet.entryDump(0)) == 1);
    CHECK(readyStatus(fleet.vms[0]) == 200);
    CHECK(Net::fetchBlocking(fleet.vms[0].entryListen(), {.target = "/katalog/1"}, Limit).status == 200);
    fleet.startAgent(0);
    waitFor("version 2 at the VM of the restarted agent", Limit, [&fleet] {
        return bundleVersion(fleet.entryDump(0)) == 2;
    });
    CHECK(Net::fetchBlocking(fleet.vms[0].entryListen(), {.target = "/katalog/1"}, Limit).status == 200);
}

// Guards against requests that the entry and an upstream read differently: what is refused must not have run.
TEST_CASE("bad input over a socket is refused as not run and no upstream runs it")
{
    Fleet fleet(PROGRAM_DIR, {.services = {{.name = "katalog"}}, .vms = 1});
    fleet.start();
    fleet.rollOut(1);
    for (const auto &input : badInputs()) {
        INFO("input: " << input.name);
        TestSocket caller(fleet.vms[0].entryListen());
        caller.send(input.request);
        const auto answer = caller.readMessage();
        CHECK(answer.status() / 100 == 4);
        CHECK(answer.field("Verbenadock-Outcome") == "not-run");
    }
    // Part of this body may have reached an upstream before the fault in it.
    TestSocket caller(fleet.vms[0].entryListen());
    caller.send("POST /katalog/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n"
                + std::string(0x30000, 'x') + "\r\nzz\r\n0\r\n\r\n");
    const auto answer = caller.readMessage();
    CHECK(answer.status() != 200);
    CHECK(fleet.executions().empty());
    CHECK(fleet.call({.method = "POST", .target = "/katalog/1", .body = "ab"}).status == 200);
    CHECK(fleet.executions().size() == 1);
}

// Guards against uploads that a restart cuts off, which would have to be scanned again.
TEST_CASE("SIGTERM lets an upload in flight finish, and new callers are told at once")
{
    Fleet fleet(PROGRAM_DIR,
                {.services = {{.name = "snimky"}}, .vms = 1, .entryExtra = "[shutdown]\ndrain_delay = \"300ms\"\n"});
    fleet.start();
    fleet.rollOut(1);
    const std::string body(400000, 'x');
    TestSocket caller(fleet.vms[0].entryListen());
    caller.send("POST /snimky/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n" + body.substr(0, 200000));
    waitFor("the upload to be in flight", Limit, [&fleet] {
        return fleet.entryDump(0)["open_requests"] == 1;
    });
    CHECK(readyStatus(fleet.vms[0]) == 200);
    fleet.vms[0].entry->signal(SIGTERM);
    waitFor("/ready to fail", std::chrono::milliseconds(250), [&fleet] {
        return readyStatus(fleet.vms[0]) == 503;
    });
    waitFor("new connections to be refused", Limit, [&fleet] {
        try {
            const TestSocket probe(fleet.vms[0].entryListen());
            return false;
        } catch (const std::runtime_error &) {
            return true;
        }
    });
    CHECK(fleet.vms[0].entry->isRunning());
    caller.send(std::string_view(body).substr(200000));
    const auto answer = caller.readMessage();
    CHECK(answer.status() == 200);
    CHECK(answer.complete);
    CHECK(Json::parse(answer.body)["bytes"] == 400000);
    CHECK(fleet.vms[0].entry->waitForExit(Limit) == 0);
}

// Guards against work that is sent to an upstream on its way out and dies with it, also when the VM list lags.
TEST_CASE("an upstream that drains or is listed as leaving gets no new work after 3 s")
{
    Fleet fleet(PROGRAM_DIR, {.services = {{.name = "katalog"}}, .vms = 2, .behaviour = {{"serviceMs", 2}}});
    fleet.start();
    fleet.rollOut(1);
    searchUntil(fleet, "work at every upstream", [&fleet] {
        return std::ranges::all_of(fleet.upstreams, [&fleet](const FleetUpstream &upstream) {
            return runsSince(fleet, upstream.id, 0) > 0;
        });
    });
    const bool listed = GENERATE(true, false);
    if (listed) {
        fleet.publishVms({"katalog-01"});
    } else {
        fleet.setUpstreams({{"draining", true}}, {"katalog-01"});
    }
    const auto deadline = unixMicroseconds() + LeavingLimitUs;
    searchUntil(fleet, "the time after which it gets no work to pass", [&fleet, deadline] {
        return unixMicroseconds() > deadline + LeavingLimitUs / 2 && runsSince(fleet, "katalog-02", deadline) > 20;
    });
    INFO("listed as leaving: " << listed);
    CHECK(runsSince(fleet, "katalog-01", deadline) == 0);
}
