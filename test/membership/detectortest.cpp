#include "network.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Membership;
using namespace std::chrono_literals;
using Test::Network;

namespace {

std::vector<std::string> names(std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back("vm-" + std::to_string(index));
    }
    return result;
}

} // namespace

TEST_CASE("a fleet without faults stays whole")
{
    Network network(names(40));
    network.run(60s);
    for (const auto &id : names(40)) {
        REQUIRE(network.at(id).live().size() == 40);
    }
    CHECK(network.deaths() == 0);
    CHECK(network.suspicions() == 0);
}

// Guards against requests that go to a dead owner for long, and against members that nobody watches.
TEST_CASE("every member finds a killed one dead within a few seconds")
{
    for (const std::size_t count : {3U, 10U, 44U, 160U}) {
        Network network(names(count));
        network.run(10s);
        const std::string victim = "vm-" + std::to_string(count / 2);
        network.kill(victim);
        const auto start = network.now();
        const bool found = network.runUntil(8s, [&] {
            return network.allSee(victim, State::Dead);
        });
        INFO("members: " << count << ", seconds: " << toMilliseconds(network.now() - start) / 1000);
        CHECK(found);
        network.run(20s);
        CHECK(network.deathsOf(victim) == count - 1);
        CHECK(network.deaths() == count - 1);
    }
}

TEST_CASE("a rack of members that fail together is found")
{
    Network network(names(44));
    network.run(10s);
    for (int index = 0; index < 8; ++index) {
        network.kill("vm-" + std::to_string(index));
    }
    CHECK(network.runUntil(30s, [&] {
        return network.at("vm-43").live().size() == 36 && network.at("vm-20").live().size() == 36;
    }));
    CHECK(network.runUntil(10s, [&] {
        for (int index = 8; index < 44; ++index) {
            if (network.at("vm-" + std::to_string(index)).live().size() != 36) {
                return false;
            }
        }
        return true;
    }));
}

// Guards against a member that is killed by the one peer that cannot reach it.
TEST_CASE("a cut between two members kills nobody")
{
    Network network(names(10));
    network.run(5s);
    SECTION("one way")
    {
        for (const auto &from : names(10)) {
            network.cut(from, from == "vm-9" ? "vm-0" : "vm-" + std::to_string(from.back() - '0' + 1));
        }
    }
    SECTION("both ways")
    {
        network.cut("vm-2", "vm-7");
        network.cut("vm-7", "vm-2");
    }
    network.run(120s);
    CHECK(network.deaths() == 0);
}

// Guards against a VM that wakes up and accuses everybody whose answers it slept through.
TEST_CASE("a paused observer kills nobody and comes back")
{
    for (const auto pause : {600ms, 2000ms, 30000ms}) {
        Network network(names(20));
        network.run(5s);
        network.pause("vm-5", pause);
        network.run(pause + 20s);
        INFO("pause in ms: " << pause.count());
        CHECK(network.deaths() == network.deathsOf("vm-5"));
        CHECK(network.deathsBy("vm-5") == 0);
        CHECK(network.allSee("vm-5", State::Alive));
        CHECK(network.at("vm-5").live().size() == 20);
    }
}

// Guards against an observer with a broken network that convinces others that everybody else failed.
TEST_CASE("an isolated member suspects itself and kills nobody else in the others' view")
{
    Network network(names(20));
    network.run(5s);
    for (const auto &id : names(20)) {
        network.cut("vm-3", id);
        network.cut(id, "vm-3");
    }
    network.run(6s);
    CHECK(network.at("vm-3").suspectsItself());
    CHECK(network.deathsBy("vm-3") == 0);
    network.run(4s);
    network.heal();
    network.run(30s);
    CHECK(network.deaths() == network.deathsOf("vm-3") + network.deathsBy("vm-3"));
    for (const auto &id : names(20)) {
        CHECK(network.at(id).live().size() == 20);
    }
}

// Guards against two halves that stay apart for ever because each believes that the other is dead.
TEST_CASE("the halves of a partition find each other again")
{
    Network network(names(20));
    network.run(5s);
    for (int left = 0; left < 10; ++left) {
        for (int right = 10; right < 20; ++right) {
            network.cut("vm-" + std::to_string(left), "vm-" + std::to_string(right));
            network.cut("vm-" + std::to_string(right), "vm-" + std::to_string(left));
        }
    }
    network.run(60s);
    CHECK(network.at("vm-1").live().size() == 10);
    network.heal();
    CHECK(network.runUntil(30s, [&] {
        for (const auto &id : names(20)) {
            if (network.at(id).live().size() != 20) {
                return false;
            }
        }
        return true;
    }));
}

TEST_CASE("a restarted member returns with its higher incarnation while the list still names it")
{
    Network network(names(10));
    network.run(5s);
    network.kill("vm-4");
    network.run(10s);
    REQUIRE(network.allSee("vm-4", State::Dead));
    network.listAll();
    network.run(5s);
    CHECK(network.allSee("vm-4", State::Dead));
    network.start("vm-4", 5000);
    CHECK(network.runUntil(5s, [&] {
        return network.allSee("vm-4", State::Alive);
    }));
}

// Guards against a new VM that is unknown for as long as the list lags.
TEST_CASE("a member that the list does not name yet is known to all by its Hello")
{
    Network network(names(10));
    network.run(5s);
    network.start("vm-new", 5000);
    network.run(5s);
    CHECK(network.allSee("vm-new", State::Alive));
}

// Guards against a control cost that grows with the fleet.
TEST_CASE("the cost of a member does not depend on the size of the fleet")
{
    const auto messagesPerSecond = [](std::size_t count) {
        Network network(names(count));
        network.run(30s);
        const auto before = network.sent();
        network.run(60s);
        return static_cast<double>(network.sent() - before) / 60.0 / static_cast<double>(count);
    };
    const double small = messagesPerSecond(10);
    const double large = messagesPerSecond(160);
    INFO("messages per member and second: " << small << " and " << large);
    CHECK(small == Approx(8).margin(0.5));
    CHECK(large == Approx(8).margin(0.5));
}

// Guards against updates that are passed on for ever or that make a heartbeat long.
TEST_CASE("an update is passed on a bounded number of times")
{
    Network network(names(160));
    network.run(30s);
    CHECK(network.largestMessage() <= 9);
    const auto before = network.updatesSent("vm-7");
    CHECK(before <= 160U * 16);
    network.run(10s);
    CHECK(network.updatesSent("vm-7") == before);
    network.kill("vm-7");
    network.run(40s);
    // Suspicions with up to three observers and a verdict, each at most 2 * 8 times by 159 members.
    CHECK(network.updatesSent("vm-7") - before <= 159U * 4 * 16 + 159U * 10);
}
