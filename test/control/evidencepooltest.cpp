#include "evidencepool.h"
#include "verdicttable.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Control;
using namespace Verbenadock::Control::internal;
using namespace std::chrono_literals;
using Health::Cause;

namespace {

const TimePoint Start{std::chrono::seconds(1000)};

Bundles::Bundle ledgerBundle()
{
    Bundles::Service service;
    service.name = "transfer-ledger";
    for (const std::string id : {"a", "b", "c", "d"}) {
        service.upstreams.push_back({.id = id, .endpoint = {"127.0.0.9", 1}, .dataCentre = "mu", .slots = 2});
    }
    return {.name = "moka", .version = 1, .services = {service}, .routes = {}, .callerLimits = {}};
}

UpstreamEvidence evidence(const std::string &upstream,
                          std::uint32_t successes,
                          std::uint32_t failures,
                          Duration latency)
{
    UpstreamEvidence result{.upstream = {"moka", "transfer-ledger", upstream},
                            .counts = {{Cause::Success, successes}},
                            .latencySum = static_cast<std::uint64_t>(latency.count()) * successes};
    if (failures > 0) {
        result.counts[Cause::Timeout] = failures;
    }
    return result;
}

/// One of several VMs that reports every 200 ms while upstream "a" fails or is slow.
EvidenceReport report(const std::string &observer, std::uint32_t failures, Duration latencyOfA)
{
    return {observer,
            {evidence("a", failures > 0 ? 0 : 2, failures, latencyOfA),
             evidence("b", 2, 0, 10ms),
             evidence("c", 2, 0, 10ms),
             evidence("d", 2, 0, 10ms)}};
}

struct Fixture
{
    Fixture()
    {
        this->pool.configure(ledgerBundle());
    }

    std::vector<UpstreamVerdict> run(const std::vector<std::string> &observers,
                                     std::uint32_t failures,
                                     Duration latency)
    {
        std::vector<UpstreamVerdict> all;
        for (int round = 0; round < 20; ++round) {
            this->now += 50ms;
            for (const auto &observer : observers) {
                this->pool.add(this->now, report(observer, failures, latency));
            }
            const auto changes = this->pool.evaluate(this->now, observers.empty());
            all.insert(all.end(), changes.begin(), changes.end());
        }
        return all;
    }

    AgentCounters counters;
    EvidencePool pool{counters};
    TimePoint now = Start;
};

const UpstreamKey UnhealthyUpstream{"moka", "transfer-ledger", "a"};

} // namespace

// Guards against a VM with a local fault that causes the whole fleet to eject an upstream.
TEST_CASE("a verdict requires a second observer")
{
    Fixture fixture;
    CHECK(fixture.run({"vm-1"}, 2, 0ms).empty());
    CHECK(fixture.counters.unsupportedVerdicts == 1);
    fixture.pool.add(fixture.now, report("vm-2", 2, 0ms));
    const auto verdicts = fixture.pool.evaluate(fixture.now, false);
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].upstream == UnhealthyUpstream);
    CHECK(verdicts[0].sick);
    CHECK(fixture.pool.unhealthy() == std::vector{UnhealthyUpstream});
}

TEST_CASE("a sole VM needs no second observer")
{
    Fixture fixture;
    fixture.pool.add(fixture.now, report("vm-1", 50, 0ms));
    CHECK(fixture.pool.evaluate(fixture.now, true).size() == 1);
}

TEST_CASE("an upstream that is slow for two observers becomes unhealthy")
{
    Fixture fixture;
    // One second of slow answers may be a cold start.
    CHECK(fixture.run({"vm-1", "vm-2"}, 0, 200ms).empty());
    fixture.run({"vm-1", "vm-2"}, 0, 200ms);
    const auto verdicts = fixture.run({"vm-1", "vm-2"}, 0, 200ms);
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].upstream == UnhealthyUpstream);
}

// Guards against the ejection of healthy upstreams, and of a whole service whose upstreams all fail at the same rate.
TEST_CASE("healthy upstreams and equal failure rates lead to no verdict")
{
    Fixture fixture;
    CHECK(fixture.run({"vm-1", "vm-2"}, 0, 10ms).empty());
    for (int round = 0; round < 50; ++round) {
        fixture.now += 50ms;
        for (const std::string observer : {"vm-1", "vm-2"}) {
            EvidenceReport common{observer, {}};
            for (const std::string upstream : {"a", "b", "c", "d"}) {
                common.upstreams.push_back(evidence(upstream, 1, 1, 10ms));
            }
            fixture.pool.add(fixture.now, common);
        }
        REQUIRE(fixture.pool.evaluate(fixture.now, false).empty());
    }
}

TEST_CASE("a verdict is withdrawn when the ejection time ends")
{
    Fixture fixture;
    REQUIRE(fixture.run({"vm-1", "vm-2"}, 2, 0ms).size() == 1);
    const auto deadline = fixture.pool.nextDeadline();
    REQUIRE(deadline.has_value());
    const auto verdicts = fixture.pool.evaluate(*deadline, false);
    REQUIRE(verdicts.size() == 1);
    CHECK_FALSE(verdicts[0].sick);
}

TEST_CASE("verdicts of several collectors are combined and expire")
{
    VerdictTable table;
    std::vector<UpstreamVerdict> changes;
    const HealthVerdicts first{"vm-1", 10, false, {{UnhealthyUpstream, true, 0ms}}};
    CHECK(table.apply(Start, first, changes));
    CHECK(changes.size() == 1);
    // A flooded message arrives from several neighbours.
    CHECK_FALSE(table.apply(Start, first, changes));
    CHECK(table.apply(Start, {"vm-2", 5, true, {{UnhealthyUpstream, true, 0ms}}}, changes));
    CHECK(changes.size() == 1);
    CHECK(table.apply(Start + 1s, {"vm-1", 11, false, {{UnhealthyUpstream, false, 0ms}}}, changes));
    CHECK(changes.size() == 1);
    CHECK(table.unhealthy(Start + 1s).size() == 1);
    SECTION("the last collector withdraws")
    {
        CHECK(table.apply(Start + 2s, {"vm-2", 6, true, {}}, changes));
    }
    // Guards against a verdict that never expires after its collector failed.
    SECTION("the last collector is silent")
    {
        table.expire(Start + 19s, changes);
        CHECK(changes.size() == 1);
        table.expire(Start + 21s, changes);
    }
    REQUIRE(changes.size() == 2);
    CHECK_FALSE(changes[1].sick);
    CHECK(table.unhealthy(Start + 30s).empty());
}
