// verbenadock-ctl explain against a fleet of real processes.
#include "harness/storefleet.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace Verbenadock;
using namespace Verbenadock::Test;

namespace {

const std::filesystem::path Ctl = std::filesystem::path(PROGRAM_DIR) / "verbenadock-ctl";

} // namespace

// Guards against an explanation that differs from what the entry does, sends the request, or reports a wrong exit
// status.
TEST_CASE("the command explains where a request would go, without sending it")
{
    StoreFleet fleet(PROGRAM_DIR, {.vms = 1});
    fleet.start();
    const auto admin = toString(fleet.vms[0].entryAdmin());
    const TemporaryDirectory directory;
    const auto explain = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.begin(), {"explain", admin});
        const auto output = directory.path() / "answer";
        Process process(Ctl, arguments, output);
        const auto status = process.waitForExit(std::chrono::seconds(30)).value_or(-1);
        std::ostringstream text;
        text << std::ifstream(output).rdbuf();
        return std::pair(status, text.str());
    };
    const auto chosen = explain({"fleet.example", "/vydej/1", "--method=POST", "--json"});
    CHECK(chosen.first == 0);
    const auto answer = nlohmann::json::parse(chosen.second);
    REQUIRE(answer.at("services").size() == 1);
    CHECK(answer.at("services")[0].at("service") == "vydej");
    CHECK(explain({"fleet.example", "/vydej/1"}).first == 0);
    CHECK(explain({"fleet.example", "/nowhere/1"}).first == 1);
    CHECK(fleet.arrivals().empty());
}
