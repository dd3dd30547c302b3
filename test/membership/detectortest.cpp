#include "network.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Membership;
using namespace std::chrono_literals;
using Test::Network;

namespace {

std::vector<std::string> memberIds(std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back("vm-" + std::to_string(index));
    }
    return result;
}

} // namespace

TEST_CASE("all members stay alive without faults")
{
    Network network(memberIds(40));
    network.run(60s);
    for (const auto &id : memberIds(40)) {
        REQUIRE(network.detector(id).live().size() == 40);
    }
    CHECK(network.deaths() == 0);
    CHECK(network.suspicions() == 0);
}

// Guards against slow detection, in which requests go to a dead owner, and against members that no neighbour probes.
TEST_CASE("all members detect a killed member within 8 seconds")
{
    for (const std::size_t count : {3U, 10U, 44U, 160U}) {
        Network network(memberIds(count));
        network.run(10s);
        const std::string killed = "vm-" + std::to_string(count / 2);
        network.kill(killed);
        const auto start = network.now();
        const bool detected = network.runUntil(8s, [&] {
            return network.allReport(killed, State::Dead);
        });
        INFO("members: " << count << ", seconds: " << toMilliseconds(network.now() - start) / 1000);
        CHECK(detected);
        network.run(20s);
        CHECK(network.deathsOf(killed) == count - 1);
        CHECK(network.deaths() == count - 1);
    }
}

TEST_CASE("a simultaneous failure of 8 out of 44 members is detected")
{
    Network network(memberIds(44));
    network.run(10s);
    for (int index = 0; index < 8; ++index) {
        network.kill("vm-" + std::to_string(index));
    }
    CHECK(network.runUntil(30s, [&] {
        return network.detector("vm-43").live().size() == 36 && network.detector("vm-20").live().size() == 36;
    }));
    CHECK(network.runUntil(10s, [&] {
        for (int index = 8; index < 44; ++index) {
            if (network.detector("vm-" + std::to_string(index)).live().size() != 36) {
                return false;
            }
        }
        return true;
    }));
}

// Guards against a member that is declared dead because a single peer cannot reach it.
TEST_CASE("a broken link between two members causes no dead verdict")
{
    Network network(memberIds(10));
    network.run(5s);
    SECTION("one way")
    {
        for (const auto &from : memberIds(10)) {
            network.blockMessages(from, from == "vm-9" ? "vm-0" : "vm-" + std::to_string(from.back() - '0' + 1));
        }
    }
    SECTION("both ways")
    {
        network.blockMessages("vm-2", "vm-7");
        network.blockMessages("vm-7", "vm-2");
    }
    network.run(120s);
    CHECK(network.deaths() == 0);
}

// Guards against a resumed process that suspects all members whose acknowledgements arrived during its pause.
TEST_CASE("a paused member declares no member dead and becomes alive again")
{
    for (const auto pause : {600ms, 2000ms, 30000ms}) {
        Network network(memberIds(20));
        network.run(5s);
        network.pause("vm-5", pause);
        network.run(pause + 20s);
        INFO("pause in ms: " << pause.count());
        CHECK(network.deaths() == network.deathsOf("vm-5"));
        CHECK(network.deathsBy("vm-5") == 0);
        CHECK(network.allReport("vm-5", State::Alive));
        CHECK(network.detector("vm-5").live().size() == 20);
    }
}

// Guards against a member with a broken network whose suspicions make the others declare healthy members dead.
TEST_CASE("an isolated member suspects itself and its verdicts do not spread")
{
    Network network(memberIds(20));
    network.run(5s);
    for (const auto &id : memberIds(20)) {
        network.blockMessages("vm-3", id);
        network.blockMessages(id, "vm-3");
    }
    network.run(6s);
    CHECK(network.detector("vm-3").suspectsItself());
    CHECK(network.deathsBy("vm-3") == 0);
    network.run(4s);
    network.unblockAll();
    network.run(30s);
    CHECK(network.deaths() == network.deathsOf("vm-3") + network.deathsBy("vm-3"));
    for (const auto &id : memberIds(20)) {
        CHECK(network.detector(id).live().size() == 20);
    }
}

// Guards against a partition that persists after the network recovered because each half considers the other dead.
TEST_CASE("both halves of a healed partition rejoin")
{
    Network network(memberIds(20));
    network.run(5s);
    for (int leftIndex = 0; leftIndex < 10; ++leftIndex) {
        for (int rightIndex = 10; rightIndex < 20; ++rightIndex) {
            network.blockMessages("vm-" + std::to_string(leftIndex), "vm-" + std::to_string(rightIndex));
            network.blockMessages("vm-" + std::to_string(rightIndex), "vm-" + std::to_string(leftIndex));
        }
    }
    network.run(60s);
    CHECK(network.detector("vm-1").live().size() == 10);
    network.unblockAll();
    CHECK(network.runUntil(30s, [&] {
        for (const auto &id : memberIds(20)) {
            if (network.detector(id).live().size() != 20) {
                return false;
            }
        }
        return true;
    }));
}

TEST_CASE("a dead member on the VM list becomes alive only by a restart with a higher incarnation")
{
    Network network(memberIds(10));
    network.run(5s);
    network.kill("vm-4");
    network.run(10s);
    REQUIRE(network.allReport("vm-4", State::Dead));
    network.sendVmList();
    network.run(5s);
    CHECK(network.allReport("vm-4", State::Dead));
    network.start("vm-4", 5000);
    CHECK(network.runUntil(5s, [&] {
        return network.allReport("vm-4", State::Alive);
    }));
}

// Guards against a new VM that stays unknown until the lagging VM list names it.
TEST_CASE("a member that is missing from the VM list joins by its Hello")
{
    Network network(memberIds(10));
    network.run(5s);
    network.start("vm-new", 5000);
    network.run(5s);
    CHECK(network.allReport("vm-new", State::Alive));
}

// Guards against control traffic per member that grows with the fleet.
TEST_CASE("the message rate per member does not depend on the fleet size")
{
    const auto messagesPerSecond = [](std::size_t count) {
        Network network(memberIds(count));
        network.run(30s);
        const auto before = network.messagesSent();
        network.run(60s);
        return static_cast<double>(network.messagesSent() - before) / 60.0 / static_cast<double>(count);
    };
    const double smallFleetRate = messagesPerSecond(10);
    const double largeFleetRate = messagesPerSecond(160);
    INFO("messages per member and second: " << smallFleetRate << " and " << largeFleetRate);
    CHECK(smallFleetRate == Approx(8).margin(0.5));
    CHECK(largeFleetRate == Approx(8).margin(0.5));
}

// Guards against updates that are gossiped without end and against heartbeats that grow without bound.
TEST_CASE("an update is transmitted a bounded number of times")
{
    Network network(memberIds(160));
    network.run(30s);
    CHECK(network.maxUpdatesInMessage() <= 9);
    const auto before = network.updatesSent("vm-7");
    CHECK(before <= 160U * 16);
    network.run(10s);
    CHECK(network.updatesSent("vm-7") == before);
    network.kill("vm-7");
    network.run(40s);
    // Suspicions by up to three observers and a dead update, each sent at most 2 * 8 times by 159 members.
    CHECK(network.updatesSent("vm-7") - before <= 159U * 4 * 16 + 159U * 10);
}
