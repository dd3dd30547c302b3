#include "verbenadock/bundle/parser.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>

using namespace Verbenadock;
using namespace Verbenadock::Bundles;
using namespace std::chrono_literals;

namespace {

std::string sample(const std::string &name)
{
    std::ifstream file(std::string(SAMPLES_DIR) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string upstream(const std::string &service, unsigned number)
{
    std::ostringstream text;
    text << "[[services." << service << ".upstreams]]\nid = \"u" << number << "\"\nendpoint = \"127." << number / 60000
         << ".0.1:" << 1000 + number % 60000 << "\"\ndata_centre = \"d\"\n";
    return text.str();
}

const std::string Header = "[bundle]\nname = \"n\"\nversion = 1\n";
const std::string RouteToml = "[[routes]]\nservice = \"s\"\nidempotent = true\n";

std::string mistakesOf(const std::string &toml)
{
    try {
        parseBundle(toml);
        return {};
    } catch (const InvalidBundle &error) {
        return error.what();
    }
}

std::string mistakesOfService(const std::string &keys, const std::string &furtherToml = {})
{
    return mistakesOf(Header + "[services.s]\n" + keys + "\n" + upstream("s", 1) + furtherToml + RouteToml);
}

} // namespace

// Guards against changes of keys or checks that invalidate the samples, which operators copy.
TEST_CASE("the sample bundles match the deployments of the design page")
{
    const auto slots = [](const Service &service) {
        return service.upstreams.size() * service.upstreams[0].slots;
    };
    const auto nalezeno = parseBundle(sample("nalezeno.toml"));
    REQUIRE(nalezeno.services.size() == 3);
    CHECK(nalezeno.services[0].name == "katalog");
    CHECK(slots(nalezeno.services[0]) == 40);
    CHECK(slots(nalezeno.services[2]) == 60);
    CHECK(nalezeno.services[2].upstreams[14].connectionLimit == 330);
    const auto moka = parseBundle(sample("moka.toml"));
    REQUIRE(moka.services.size() == 3);
    CHECK(moka.services[2].name == "transfer-ledger");
    CHECK(slots(moka.services[2]) == 40);
    CHECK(moka.services[0].detection.samplesBetweenFalseAlarms
          > nalezeno.services[0].detection.samplesBetweenFalseAlarms);
    CHECK(std::ranges::count(moka.routes, false, &Route::idempotent) == 2);
}

TEST_CASE("every key of a service is read into the bundle")
{
    const auto bundle
        = parseBundle(Header
                      + "[services.s]\nfloor_percent = 55.5\nqueue_limit = 7\n"
                        "hold_back_bytes = \"1 KiB\"\nreplay_bytes = 9\nechoes_attempt_id = false\n"
                        "timeouts = { connect = \"1 ms\", first_byte = \"2 ms\", total = \"3 ms\" }\n"
                        "budgets = { retry_percent = 1, hedge_percent = 2 }\n"
                        "detection = { samples_between_false_alarms = 50, failure_rate = 0.5, "
                        "slow_factor = 6 }\n"
                      + upstream("s", 1) + "slots = 3\nconnection_limit = 4\n" + RouteToml
                      + "host = \"h.example\"\nmethod = \"GET\"\npath_prefix = \"/p\"\npriority = \"low\"\n"
                        "[[caller_limits]]\ncaller = \"c\"\nrequests_per_second = 5\nburst = 6\n");
    Service service;
    service.name = "s";
    service.upstreams = {{"u1", {"127.0.0.1", 1001}, "d", 3, 4}};
    service.timeouts = {.connect = 1ms, .firstByte = 2ms, .total = 3ms};
    service.detection = {.samplesBetweenFalseAlarms = 50, .failureRate = 0.5, .slowFactor = 6};
    service.budgets = {.retryPercent = 1, .hedgePercent = 2};
    service.floorPercent = 55.5;
    service.queueLimit = 7;
    service.holdBackBytes = 1024;
    service.replayBytes = 9;
    service.echoesAttemptId = false;
    CHECK(bundle
          == Bundle{.name = "n",
                    .version = 1,
                    .services = {service},
                    .routes = {{"h.example", "GET", "/p", "s", true, Priority::Low}},
                    .callerLimits = {{"c", 5, 6}}});
}

// Guards against a parser that stops at the first mistake, which would take one correction per mistake.
TEST_CASE("all mistakes of a bundle are reported together in line order")
{
    const auto text = mistakesOf("[bundle]\nname = \"a b\"\nversion = 0\n[services.s]\nfloor_percent = 101\n"
                                 "queue = 3\n[[services.s.upstreams]]\nid = \"u\"\nendpoint = \"127.0.0.1:1\"\n"
                                 "slots = \"4\"\n[[routes]]\nservice = \"t\"\n");
    CHECK(text
          == "line 2: bundle.name: 'a b' is not a name: use 1 to 64 letters, digits, '.', '-' and '_'\n"
             "line 3: bundle.version: 0 is out of range; it has to be at least 1\n"
             "line 5: services.s.floor_percent: 101 is out of range; it has to be from 0 to 100\n"
             "line 6: services.s.queue: unknown key; the known ones are: timeouts, detection, budgets, queue_limit, "
             "hold_back_bytes, replay_bytes, echoes_attempt_id, upstreams, floor_percent\n"
             "line 7: services.s.upstreams[0].data_centre: missing\n"
             "line 10: services.s.upstreams[0].slots: expected an integer, not text\n"
             "line 11: routes[0].idempotent: missing\n"
             "line 12: routes[0].service: there is no service 't' in this bundle");
}

// Guards against invalid values that would make an entry behave contrary to its configuration.
TEST_CASE("a service with contradictory or invalid values is rejected")
{
    const auto [keys, expected] = GENERATE(table<std::string, std::string>({
        {"timeouts = { first_byte = \"6 s\", total = \"5 s\" }", "first_byte: is longer than the total timeout"},
        {"timeouts = { connect = \"6 s\", total = \"5 s\" }", "connect: is longer than the total timeout"},
        {"timeouts = \"5 s\"", "timeouts: expected a table, not text"},
        {"detection = \"quick\"", "'quick' is not one of: fast, careful"},
        {"detection = { failure_rate = nan }", "failure_rate: nan is out of range"},
        {"budgets = { retry_percent = -1 }", "retry_percent: -1 is out of range"},
        {"queue_limit = -1", "queue_limit: -1 is negative"},
        {"hold_back_bytes = \"1 GiB\"", "hold_back_bytes: 1 GiB is out of range"},
    }));
    const auto text = mistakesOfService(keys);
    INFO(text);
    CHECK_THAT(text, Catch::Contains(expected));
    CHECK(std::ranges::count(text, '\n') == 0);
}

TEST_CASE("a shorter total timeout shortens the other defaults")
{
    const auto bundle
        = parseBundle(Header + "[services.s]\ntimeouts = { total = \"100 ms\" }\n" + upstream("s", 1) + RouteToml);
    CHECK(bundle.services[0].timeouts == Timeouts{.connect = 100ms, .firstByte = 100ms, .total = 100ms});
}

// Guards against slots that are counted twice and routes that are never used.
TEST_CASE("duplicates are rejected")
{
    CHECK_THAT(mistakesOfService("floor_percent = 50", upstream("s", 1)),
               Catch::Contains("upstreams[1].id: 'u1' is already an upstream")
                   && Catch::Contains("127.0.0.1:1001 is already the endpoint of upstream s/u1"));
    CHECK_THAT(mistakesOfService("", "[services.t]\n" + upstream("t", 1)),
               Catch::Contains("services.t.upstreams[0].endpoint: 127.0.0.1:1001 is already"));
    CHECK_THAT(mistakesOfService("", RouteToml), Catch::Contains("routes[1]: another route has the same host"));
    const std::string limit = "[[caller_limits]]\ncaller = \"c\"\nrequests_per_second = 1\n";
    CHECK_THAT(mistakesOfService("", limit + limit),
               Catch::Contains("caller_limits[1].caller: 'c' has a limit already"));
    CHECK_THAT(mistakesOfService("floor_percent = 1\nfloor_percent = 2"), Catch::StartsWith("line 6: "));
}

// Guards against a floor that silently disables ejection.
TEST_CASE("a configured floor has to allow the ejection of the smallest upstream")
{
    CHECK_THAT(mistakesOfService("floor_percent = 51", upstream("s", 2)),
               Catch::Contains("services.s.floor_percent: cannot be met") && Catch::Contains("50 percent"));
    CHECK(mistakesOfService("floor_percent = 50", upstream("s", 2)).empty());
    CHECK(mistakesOfService("floor_percent = 100", upstream("s", 2)).empty());
    CHECK(mistakesOfService("floor_percent = 99").empty());
    CHECK_THAT(mistakesOf(Header + "[services.s]\nupstreams = []\n" + RouteToml),
               Catch::Contains("at least one upstream"));
}

TEST_CASE("a route that no request can match is rejected")
{
    const auto [key, expected] = GENERATE(table<std::string, std::string>({
        {"host = \"Example:80\"", "is neither \"*\" nor a host name"},
        {"method = \"get\"", "is neither \"*\" nor a method"},
        {"path_prefix = \"x\"", "is not a path"},
        {"path_prefix = \"/a?b\"", "is not a path"},
        {"priority = \"urgent\"", "'urgent' is not one of: high, normal, low"},
    }));
    CHECK_THAT(mistakesOf(Header + upstream("s", 1) + RouteToml + key + "\n"), Catch::Contains(expected));
}

// Guards against quadratic time in the number of upstreams: agents parse bundles while they handle heartbeats.
TEST_CASE("200 services with 2000 upstreams parse in less than a second")
{
    std::string text = Header;
    for (unsigned number = 0; number < 2000; ++number) {
        text += upstream("s" + std::to_string(number / 10), number);
    }
    text += "[[routes]]\nservice = \"s0\"\nidempotent = true\n";
    const auto start = std::chrono::steady_clock::now();
    const auto bundle = parseBundle(text);
    const auto elapsed = std::chrono::steady_clock::now() - start;
    CHECK(bundle.services.size() == 200);
    CHECK(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed) < 1000ms);
}
