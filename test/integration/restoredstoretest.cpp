// The platform's store returns from a copy that is some seconds old: its offsets go back and are given out again.
#include "harness/storefleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <set>
#include <thread>

using namespace Verbenadock;
using namespace Verbenadock::Test;

namespace {

/// Bounds of the platform for a change of the configuration and for an upstream that leaves.
constexpr auto ApplyLimit = std::chrono::seconds(2);
/// The operators and the upstreams write again within about two seconds of the store's return.
constexpr auto RewriteDelay = std::chrono::milliseconds(1500);
/// Records that are lost with the copy, more than are written afterwards.
constexpr unsigned LostRounds = 5;

StoreFleetSpec fleetSpec()
{
    return {.services = {{.name = "vydej", .upstreams = 4}}, .dataCentres = {"a"}};
}

void registerAll(StoreFleet &fleet, const std::set<std::string> &draining = {}, const std::set<std::string> &gone = {})
{
    for (const auto &upstream : fleet.upstreams) {
        if (!gone.contains(upstream.id)) {
            fleet.registerUpstream(upstream, draining.contains(upstream.id));
        }
    }
}

void waitForVersion(const StoreFleet &fleet, std::uint64_t version, Duration limit)
{
    const auto prefix = "/v" + std::to_string(version) + "/";
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        waitFor("version " + std::to_string(version) + " at " + fleet.vms[vm].id, limit, [&fleet, vm, &prefix] {
            return fleet.call(vm, StoreFleet::claim("version-" + std::to_string(vm), prefix)).status == 200;
        });
    }
}

std::set<std::string> knownUpstreams(const StoreFleet &fleet, std::size_t vm)
{
    std::set<std::string> ids;
    const auto dump = fleet.entryDump(vm);
    for (const auto &upstream : dump.at("services").at(0).at("upstreams")) {
        const auto id = upstream.at("id").get<std::string>();
        ids.insert(id.substr(0, id.find('@')));
    }
    return ids;
}

void waitForUpstreams(const StoreFleet &fleet, const std::set<std::string> &ids, Duration limit)
{
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        waitFor("the upstreams in use at " + fleet.vms[vm].id, limit, [&fleet, vm, &ids] {
            return knownUpstreams(fleet, vm) == ids;
        });
    }
}

/// Takes a copy, then has the operators and the upstreams write more than they do after the copy is back.
void copyAndWriteOn(StoreFleet &fleet)
{
    fleet.copyStore();
    for (unsigned round = 0; round < LostRounds; ++round) {
        registerAll(fleet);
    }
    fleet.configure(2);
    waitForVersion(fleet, 2, ApplyLimit);
}

} // namespace

// Guards against VMs that wait for offsets which the store has yet to give out again, and use what has left meanwhile.
TEST_CASE("news are in force within 2 s after the store returned from an older copy")
{
    StoreFleet fleet(PROGRAM_DIR, fleetSpec());
    fleet.start();
    copyAndWriteOn(fleet);
    fleet.restoreStore();
    std::this_thread::sleep_for(RewriteDelay);
    fleet.configure(2);
    registerAll(fleet);
    fleet.configure(3);
    fleet.registerUpstream(fleet.upstreams[0], true);
    fleet.removeUpstream(fleet.upstreams[1]);
    waitForVersion(fleet, 3, ApplyLimit);
    waitForUpstreams(fleet, {fleet.upstreams[2].id, fleet.upstreams[3].id}, ApplyLimit);
}

// Guards against the loss of records that were written between the copy's end and the offset up to which a VM had read.
TEST_CASE("news are in force within 2 s after the store returned, if its offsets are beyond the known ones at once")
{
    StoreFleet fleet(PROGRAM_DIR, fleetSpec());
    fleet.start();
    copyAndWriteOn(fleet);
    fleet.setStore({{"outage", "error"}});
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    fleet.restoreStore();
    // The stand-in takes no writes in its outage; a VM whose calls wait for their next try sees these all at once.
    fleet.setStore({{"outage", "none"}});
    fleet.registerUpstream(fleet.upstreams[0], true);
    fleet.configure(3);
    for (unsigned round = 0; round <= LostRounds; ++round) {
        for (const auto &upstream : fleet.upstreams) {
            if (upstream.id != fleet.upstreams[0].id) {
                fleet.registerUpstream(upstream);
            }
        }
    }
    waitForVersion(fleet, 3, ApplyLimit);
    waitForUpstreams(fleet, {fleet.upstreams[1].id, fleet.upstreams[2].id, fleet.upstreams[3].id}, ApplyLimit);
}

// Guards against VMs that take the copy for news: an upstream that had left, or an older configuration.
TEST_CASE("what the copy has not yet heard of stays in force until it is written again")
{
    StoreFleet fleet(PROGRAM_DIR, fleetSpec());
    fleet.start();
    copyAndWriteOn(fleet);
    const auto &leaving = fleet.upstreams[0];
    const auto &gone = fleet.upstreams[1];
    const std::set<std::string> inUse{fleet.upstreams[2].id, fleet.upstreams[3].id};
    fleet.registerUpstream(leaving, true);
    fleet.removeUpstream(gone);
    waitForUpstreams(fleet, inUse, ApplyLimit);
    fleet.restoreStore();
    const auto until = monotonicNow() + RewriteDelay;
    while (monotonicNow() < until) {
        for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
            CHECK(knownUpstreams(fleet, vm) == inUse);
            CHECK(fleet.call(vm, StoreFleet::claim("kept-" + std::to_string(vm), "/v2/")).status == 200);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    fleet.configure(2);
    registerAll(fleet, {leaving.id}, {gone.id});
    fleet.removeUpstream(gone);
    fleet.configure(3);
    waitForVersion(fleet, 3, ApplyLimit);
    CHECK(knownUpstreams(fleet, 0) == inUse);
}

// Guards against a service without upstreams while these register again.
TEST_CASE("upstreams that the copy does not list are used until they register again")
{
    StoreFleet fleet(PROGRAM_DIR, fleetSpec());
    fleet.start();
    for (const auto &upstream : fleet.upstreams) {
        fleet.removeUpstream(upstream);
    }
    waitForUpstreams(fleet, {}, ApplyLimit);
    fleet.copyStore();
    registerAll(fleet);
    std::set<std::string> all;
    for (const auto &upstream : fleet.upstreams) {
        all.insert(upstream.id);
    }
    waitForUpstreams(fleet, all, ApplyLimit);
    fleet.restoreStore();
    const auto until = monotonicNow() + RewriteDelay;
    for (int number = 0; monotonicNow() < until; ++number) {
        const auto vm = static_cast<std::size_t>(number) % fleet.vms.size();
        CHECK(fleet.call(vm, StoreFleet::claim("unlisted-" + std::to_string(number))).status == 200);
    }
    fleet.configure(1);
    registerAll(fleet);
    waitForUpstreams(fleet, all, ApplyLimit);
    // One that does not register again is gone.
    fleet.removeUpstream(fleet.upstreams[0]);
    all.erase(fleet.upstreams[0].id);
    waitForUpstreams(fleet, all, ApplyLimit);
}

// Guards against calls without a pause while the store has fewer records than a VM has read.
TEST_CASE("a store that returned from an older copy is not asked more often than before")
{
    constexpr std::int64_t MaxReadsPerSecond = 60;
    StoreFleet fleet(PROGRAM_DIR, fleetSpec());
    fleet.start();
    copyAndWriteOn(fleet);
    fleet.restoreStore();
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const auto before = fleet.storeState().at("reads").get<std::int64_t>();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK(fleet.storeState().at("reads").get<std::int64_t>() - before <= MaxReadsPerSecond);
}

// Guards against VMs that a new one never hears of, since their registration was lost with the copy.
TEST_CASE("a VM that starts after the store's return hears of VMs whose registration was lost")
{
    auto spec = fleetSpec();
    spec.vms = 4;
    StoreFleet fleet(PROGRAM_DIR, std::move(spec));
    fleet.start();
    // Only the last start of the third VM is lost, the fourth one starts anew and asks the store for the others.
    fleet.vms[2].entry->signal(SIGKILL);
    fleet.vms[3].entry->signal(SIGKILL);
    fleet.forgetMembers({fleet.vms[2].id, fleet.vms[3].id});
    fleet.copyStore();
    fleet.startEntry(2);
    fleet.waitUntilReady(2);
    fleet.restoreStore();
    std::this_thread::sleep_for(ApplyLimit);
    fleet.startEntry(3);
    fleet.waitUntilReady(3);
    waitFor("the fourth VM to know the others", ApplyLimit, [&fleet] {
        return fleet.entryDump(3).at("fleet").at("vms") == fleet.vms.size();
    });
}
