// Keys of customers in a fleet of real processes.
#include "harness/storefleet.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>
#include <thread>

using namespace Verbenadock;
using namespace Verbenadock::Test;

namespace {

/// Bound of the platform for a new configuration, with slack for a busy machine.
constexpr auto ConfigurationLimit = std::chrono::milliseconds(2500);
/// Time after which a VM no longer knows that its configuration is the newest one, with slack.
constexpr auto DoubtLimit = std::chrono::seconds(5);

unsigned statusOf(const StoreFleet &fleet, std::size_t vm, const std::string &id, const std::string &key)
{
    auto request = StoreFleet::claim(id);
    request.headers["Authorization"] = "Bearer " + key;
    request.headers["Verbenadock-Tenant"] = "forged";
    return fleet.call(vm, request).status;
}

std::string fileText(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

// Guards against a VM that serves a removed key, refuses a new one, or tells an upstream a wrong customer.
TEST_CASE("keys that are added, moved and removed hold at every VM within the bound")
{
    StoreFleet fleet(PROGRAM_DIR, {.customers = {{"sese", {"secret-s"}}, {"huvo", {"secret-h"}}}});
    fleet.start();
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        const auto suffix = std::to_string(vm);
        CHECK(statusOf(fleet, vm, "s-" + suffix, "secret-s") == 200);
        waitFor("a confirmed configuration at " + fleet.vms[vm].id, ConfigurationLimit, [&] {
            return statusOf(fleet, vm, "unknown-" + suffix, "secret-n") == 401;
        });
        CHECK(fleet.call(vm, StoreFleet::claim("missing-" + suffix)).status == 401);
        CHECK(fleet.call(vm, StoreFleet::claim("nowhere-" + suffix, "/nowhere/")).status == 404);
    }
    fleet.setCustomers({{"sese", {"secret-n"}}, {"huvo", {"secret-s"}}});
    fleet.configure(2);
    std::this_thread::sleep_for(ConfigurationLimit);
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        const auto suffix = std::to_string(vm);
        CHECK(statusOf(fleet, vm, "new-" + suffix, "secret-n") == 200);
        CHECK(statusOf(fleet, vm, "moved-" + suffix, "secret-s") == 200);
        CHECK(statusOf(fleet, vm, "removed-" + suffix, "secret-h") == 401);
        const auto log = fileText(fleet.entryLog(vm));
        CHECK(log.find(" customer=sese ") != std::string::npos);
        CHECK(log.find("secret") == std::string::npos);
        CHECK(fleet.entryDump(vm).dump().find("secret") == std::string::npos);
    }
    const auto executions = fleet.executions();
    CHECK(executions.size() == 3 * fleet.vms.size());
    for (const auto &execution : executions) {
        const auto id = execution.at("requestId").get<std::string>();
        INFO(id);
        CHECK(execution.at("customer") == (id.starts_with("moved") ? "huvo" : "sese"));
        CHECK(execution.at("authorization").get<std::string>().empty());
    }
}

// Guards against a 401 for a key that a newer version contains which the VM cannot read.
TEST_CASE("while the store does not answer an unknown key gets 503 and a known one is served")
{
    StoreFleet fleet(PROGRAM_DIR, {.dataCentres = {"a"}, .vms = 2, .customers = {{"sese", {"secret-s"}}}});
    fleet.start();
    waitFor("a confirmed configuration", ConfigurationLimit, [&fleet] {
        return statusOf(fleet, 0, "unknown", "secret-n") == 401 && statusOf(fleet, 1, "unknown", "secret-n") == 401;
    });
    fleet.setStore({{"outage", "error"}});
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        waitFor("doubt at " + fleet.vms[vm].id, DoubtLimit, [&fleet, vm] {
            return statusOf(fleet, vm, "unknown", "secret-n") == 503;
        });
        CHECK(statusOf(fleet, vm, "known-" + std::to_string(vm), "secret-s") == 200);
    }
    fleet.setStore({{"outage", "none"}});
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        waitFor("a confirmed configuration at " + fleet.vms[vm].id, DoubtLimit, [&fleet, vm] {
            return statusOf(fleet, vm, "unknown", "secret-n") == 401;
        });
    }
}

// Guards against VMs that never give a 401 because they do not read the store themselves, and against ones that give it
// although the reader that they follow gets no answers.
TEST_CASE("a VM that follows a reader knows from its heartbeats whether the configuration is the newest one")
{
    StoreFleet fleet(PROGRAM_DIR, {.dataCentres = {"a"}, .vms = 5, .customers = {{"sese", {"secret-s"}}}});
    fleet.start();
    std::vector<std::size_t> followers;
    waitFor("VMs that do not read the store", DoubtLimit, [&fleet, &followers] {
        followers.clear();
        for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
            if (!fleet.entryDump(vm).at("fleet").at("reads_store").get<bool>()) {
                followers.push_back(vm);
            }
        }
        return followers.size() >= 2;
    });
    // Longer than a confirmation by an own read from the start lasts.
    std::this_thread::sleep_for(std::chrono::milliseconds(1600));
    for (const auto vm : followers) {
        CHECK(statusOf(fleet, vm, "unknown", "secret-n") == 401);
    }
    fleet.setStore({{"outage", "error"}});
    for (const auto vm : followers) {
        waitFor("doubt at " + fleet.vms[vm].id, DoubtLimit, [&fleet, vm] {
            return statusOf(fleet, vm, "unknown", "secret-n") == 503;
        });
    }
}

// Guards against a setting that is read and has no effect.
TEST_CASE("with strict revocation a VM without confirmation serves no request that needs a key")
{
    StoreFleet fleet(PROGRAM_DIR,
                     {.dataCentres = {"a"},
                      .vms = 1,
                      .store = "strict_revocation = true\nrevocation_s = 2.5\n",
                      .customers = {{"sese", {"secret-s"}}}});
    fleet.start();
    CHECK(statusOf(fleet, 0, "before", "secret-s") == 200);
    fleet.setStore({{"outage", "error"}});
    waitFor("a refusal", DoubtLimit, [&fleet] {
        return statusOf(fleet, 0, "during", "secret-s") == 503;
    });
    fleet.setStore({{"outage", "none"}});
    waitFor("service", DoubtLimit, [&fleet] {
        return statusOf(fleet, 0, "after", "secret-s") == 200;
    });
}
