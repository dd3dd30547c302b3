// VMs that read the store for the others of their data centre, and lose their way to it.
#include "harness/storefleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace Verbenadock;
using namespace Verbenadock::Test;

namespace {

/// Bound of the platform for upstreams that leave and for changes of the configuration.
constexpr auto ApplyLimit = std::chrono::seconds(2);
constexpr auto RecordInterval = std::chrono::milliseconds(300);
constexpr unsigned Vms = 6;

std::vector<std::size_t> readers(const StoreFleet &fleet)
{
    std::vector<std::size_t> result;
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        if (fleet.entryDump(vm).at("fleet").at("reads_store").get<bool>()) {
            result.push_back(vm);
        }
    }
    return result;
}

/// Writes the entry of an upstream and a version of the configuration again and again, so that the readers' calls are
/// answered at once.
class RecordSource
{
public:
    RecordSource(StoreFleet &target, std::uint64_t version)
        : thread([this, &target, version] {
            while (!this->stopped) {
                target.registerUpstream(target.upstreams.back());
                target.configure(version);
                std::this_thread::sleep_for(RecordInterval);
            }
        })
    {
    }

    ~RecordSource()
    {
        this->stop();
    }

    void stop()
    {
        this->stopped = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    RecordSource(const RecordSource &) = delete;
    RecordSource &operator=(const RecordSource &) = delete;

private:
    std::atomic<bool> stopped = false;
    std::thread thread;
};

} // namespace

// Guards against VMs that trust the heartbeats of readers which no longer hear from the store.
TEST_CASE("VMs whose readers are cut off from the store learn of a leaving and of a version within 2 s")
{
    // With four of six, VMs that take over are cut off as well.
    const std::size_t cutVms = GENERATE(2, 4);
    StoreFleet fleet(PROGRAM_DIR, {.services = {{.name = "vydej", .upstreams = 3}}, .dataCentres = {"a"}, .vms = Vms});
    fleet.start();
    waitFor("two readers", std::chrono::seconds(5), [&fleet] {
        return readers(fleet).size() == 2;
    });
    for (std::uint64_t round = 0; round < 3; ++round) {
        auto cut = readers(fleet);
        for (std::size_t vm = 0; vm < fleet.vms.size() && cut.size() < cutVms; ++vm) {
            if (std::ranges::find(cut, vm) == cut.end()) {
                cut.push_back(vm);
            }
        }
        std::vector<std::string> routes;
        routes.reserve(cut.size());
        for (const auto vm : cut) {
            routes.push_back("store-" + fleet.vms[vm].id);
        }
        RecordSource records(fleet, 1 + round);
        std::this_thread::sleep_for(4 * RecordInterval);
        fleet.setRoutes({{"freeze", true}}, routes);
        records.stop();
        fleet.registerUpstream(fleet.upstreams[0], true, 1 + static_cast<unsigned>(round));
        const auto version = 2 + round;
        fleet.configure(version);
        std::this_thread::sleep_for(ApplyLimit);
        const auto prefix = "/v" + std::to_string(version) + "/";
        for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
            if (std::ranges::find(cut, vm) == cut.end()) {
                INFO(fleet.vms[vm].id << " in round " << round << " with " << cutVms << " cut VMs");
                CHECK(fleet.call(vm, StoreFleet::claim("cut-" + std::to_string(vm), prefix)).status == 200);
                CHECK(fleet.entryDump(vm).at("services").at(0).at("upstreams").size() == 2);
            }
        }
        fleet.setRoutes({{"freeze", false}}, routes);
        fleet.silenceRoutes(routes);
        fleet.registerUpstream(fleet.upstreams[0], false, 2 + static_cast<unsigned>(round));
        for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
            waitFor("the new process at " + fleet.vms[vm].id, std::chrono::seconds(8), [&fleet, vm] {
                return fleet.entryDump(vm).at("services").at(0).at("upstreams").size() == 3;
            });
        }
    }
}
