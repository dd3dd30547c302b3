#include "network.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Verbenadock::Keys::Test;

// Guards against two owners that run the same key, a false not-run outcome, and a repeated key that gets another answer
// than the first, with lost and late messages, network partitions, pauses, crashes, restarts and stops.
TEST_CASE("no key runs twice under faults of the network and of processes")
{
    constexpr int NetworksPerCase = 40;
    constexpr int Steps = 700;
    std::size_t executions = 0;
    std::size_t replays = 0;
    std::size_t notRun = 0;
    std::size_t handOvers = 0;
    std::size_t recordsGiven = 0;
    const bool passed = rc::check([&](std::uint64_t seed) {
        for (int index = 0; index < NetworksPerCase; ++index) {
            Network network(seed + index, 2 + (seed + index) % 4);
            for (int step = 0; step < Steps; ++step) {
                network.step();
                if (!network.violation.empty()) {
                    RC_FAIL("seed " + std::to_string(seed + index) + ", step " + std::to_string(step) + ": "
                            + network.violation);
                }
            }
            executions += network.executions;
            replays += network.replays;
            notRun += network.notRun;
            handOvers += network.handOvers;
            recordsGiven += network.recordsFromPeers;
        }
    });
    CHECK(passed);
    // Guards against faults so frequent that no request is handled.
    INFO("executions " << executions << ", replays " << replays << ", not run " << notRun << ", hand-overs "
                       << handOvers << ", records given " << recordsGiven);
    CHECK(executions > 10000);
    CHECK(replays > 5000);
    CHECK(notRun > 500);
    CHECK(handOvers > 500);
    CHECK(recordsGiven > 200);
}
