#include "harness/fleet.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Test;

// Guards against parts that work alone and not together: a bundle from the log has to reach the entries, and a caller's
// request has to pass the balancer and an entry and come back as the upstream's whole answer, run once.
TEST_CASE("a request passes balancer, entry and upstream with a bundle from the log")
{
    Fleet fleet(PROGRAM_DIR, {.services = {{.name = "katalog"}, {.name = "vydej"}}});
    fleet.start();
    fleet.rollOut(1);

    const auto search = fleet.call({.target = "/katalog/keys?size=100000", .headers = {{"X-Work-Id", "search-1"}}});
    CHECK(search.status == 200);
    CHECK(search.headers.at("verbenadock-outcome") == "answered");
    const auto answer = Json::parse(search.body);
    CHECK(answer["workId"] == "search-1");
    CHECK(answer["target"] == "/katalog/keys?size=100000");
    CHECK(answer["padding"].get<std::string>().size() == 100000);

    const auto claim
        = fleet.call({.method = "POST", .target = "/vydej/7", .body = "{}", .headers = {{"X-Work-Id", "claim-1"}}});
    CHECK(claim.status == 200);
    CHECK(claim.headers.at("verbenadock-outcome") == "answered");

    const auto unknown = fleet.call({.target = "/nowhere"});
    CHECK(unknown.status == 404);
    CHECK(unknown.headers.at("verbenadock-outcome") == "not-run");

    const auto executions = fleet.executions();
    REQUIRE(executions.size() == 2);
    CHECK(executions[1]["workId"] == "claim-1");
    CHECK(executions[1]["bytes"] == 2);
}
