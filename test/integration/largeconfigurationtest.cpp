// Configurations that are too long for a datagram, at real processes.
#include "harness/storefleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace Verbenadock;
using namespace Verbenadock::Test;

namespace {

/// Some 500 KB.
constexpr std::size_t LargeRoutes = 3000;

bool readsStore(const StoreFleet &fleet, std::size_t vm)
{
    return fleet.entryDump(vm).at("fleet").at("reads_store").get<bool>();
}

bool serves(const StoreFleet &fleet, std::size_t vm, std::uint64_t version)
{
    const auto prefix = "/v" + std::to_string(version) + "/";
    return fleet.call(vm, StoreFleet::claim("large-" + std::to_string(vm) + prefix.substr(1, 2), prefix)).status == 200;
}

} // namespace

// Guards against VMs that are late because the readers of their data centre fail together with a change: others take
// over after a second without heartbeats, and have to read the whole configuration then.
TEST_CASE("VMs whose readers fail hear of a change of a large configuration from another data centre")
{
    // Less than the time after which another VM takes over from a silent reader.
    constexpr auto TakeoverTime = std::chrono::milliseconds(1000);
    StoreFleet fleet(PROGRAM_DIR,
                     {.services = {{.name = "vydej", .upstreams = 2}},
                      .dataCentres = {"a", "b"},
                      .vms = 8,
                      .paddingRoutes = LargeRoutes});
    fleet.start();
    const auto readersOf = [&fleet](const std::string &dataCentre) {
        std::vector<std::size_t> readers;
        for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
            if (fleet.vms[vm].dataCentre == dataCentre && readsStore(fleet, vm)) {
                readers.push_back(vm);
            }
        }
        return readers;
    };
    waitFor("two readers of each data centre", std::chrono::seconds(5), [&] {
        return readersOf("a").size() == 2 && readersOf("b").size() == 2;
    });
    const auto failed = readersOf("a");
    for (const auto vm : failed) {
        fleet.vms[vm].entry->signal(SIGSTOP);
    }
    fleet.configure(2);
    const auto deadline = std::chrono::steady_clock::now() + TakeoverTime;
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        if (std::ranges::find(failed, vm) != failed.end()) {
            continue;
        }
        const auto left = deadline - std::chrono::steady_clock::now();
        waitFor("version 2 at " + fleet.vms[vm].id,
                std::chrono::duration_cast<std::chrono::milliseconds>(left),
                [&fleet, vm] {
                    return serves(fleet, vm, 2);
                });
    }
    for (const auto vm : failed) {
        fleet.vms[vm].entry->signal(SIGCONT);
    }
}

// Guards against a VM that is seconds late with each version, because it has not read from the store which other VMs
// there are, ignores the heartbeats of VMs that it does not know, and asks a seed from time to time only.
TEST_CASE("a VM that restarts while the store does not answer it follows the readers")
{
    constexpr auto ApplyLimit = std::chrono::seconds(2);
    StoreFleet fleet(PROGRAM_DIR,
                     {.services = {{.name = "vydej", .upstreams = 2}},
                      .dataCentres = {"a"},
                      .vms = 4,
                      .paddingRoutes = LargeRoutes,
                      .replacesPadding = true});
    fleet.start();
    fleet.setRoutes({{"freeze", true}}, {"store-" + fleet.vms[0].id});
    fleet.vms[0].entry->signal(SIGKILL);
    fleet.startEntry(0);
    fleet.waitUntilReady(0);
    for (std::uint64_t version = 2; version < 8; ++version) {
        fleet.configure(version);
        waitFor("version " + std::to_string(version) + " at " + fleet.vms[0].id, ApplyLimit, [&fleet, version] {
            return serves(fleet, 0, version);
        });
    }
}
