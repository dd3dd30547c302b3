#include "harness/fleet.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Test;

namespace {

bool treatsAsLeaving(const Fleet &fleet, std::size_t vm, const std::string &id)
{
    const auto dump = fleet.entryDump(vm);
    for (const auto &service : dump.at("services")) {
        for (const auto &upstream : service.at("upstreams")) {
            if (upstream.at("id") == id) {
                return upstream.at("leaving").get<bool>();
            }
        }
    }
    return false;
}

} // namespace

// Guards against an entry that sends work to a draining upstream until it hears of the drain itself, which takes long
// when it rarely sends to that upstream.
TEST_CASE("a drain that one entry heard of ends the work of the others within 3 s")
{
    Fleet fleet(PROGRAM_DIR, {.services = {{.name = "katalog", .upstreams = 2}}});
    fleet.start();
    fleet.rollOut(1);
    const std::string draining = fleet.upstreams.front().id;
    fleet.setUpstreams({{"draining", true}}, {draining});
    waitFor("an answer of the draining upstream", std::chrono::seconds(10), [&] {
        const auto answer
            = Net::fetchBlocking(fleet.vms.front().entryListen(), {.target = "/katalog/keys"}, std::chrono::seconds(5));
        return Json::parse(answer.body).at("upstream") == draining;
    });
    waitFor("all entries to leave the draining upstream", std::chrono::seconds(3), [&] {
        return treatsAsLeaving(fleet, 0, draining) && treatsAsLeaving(fleet, 1, draining)
               && treatsAsLeaving(fleet, 2, draining);
    });
}
