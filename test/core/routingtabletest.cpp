#include "routingtable.h"
#include "callerlimits.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Core::Internal;

namespace {

ResolvedRoute route(std::string host, std::string method, std::string prefix, std::uint32_t service)
{
    return {.route
            = {.host = std::move(host), .method = std::move(method), .pathPrefix = std::move(prefix), .service = "any"},
            .target = {.service = service}};
}

} // namespace

// Guards against requests that are routed to the wrong service or treated as idempotent by mistake.
TEST_CASE("an exact host has precedence over the longest prefix, and that over an exact method")
{
    const RoutingTable table({route("*", "*", "/", 1),
                              route("*", "GET", "/", 2),
                              route("*", "*", "/claims/", 3),
                              route("map.example", "POST", "/sheets", 4),
                              route("MAP.example", "POST", "/sheets", 5)});
    const auto service = [&](std::string_view host, std::string_view method, std::string_view target) {
        const auto found = table.find(host, method, target);
        return found ? found->service : 0;
    };
    CHECK(service("x", "PUT", "/") == 1);
    CHECK(service("x", "GET", "/any/path?claims=1") == 2);
    CHECK(service("x", "GET", "/claims") == 2);
    CHECK(service("x", "GET", "/claims/") == 3);
    CHECK(service("x", "GET", "/claims/7/items") == 3);
    CHECK(service("x", "GET", "/claimsarchive") == 2);
    CHECK(service("x", "GET", "http://x/claims?x#y") == 2);
    CHECK(service("x", "GET", "http://x/claims/?x#y") == 3);
    CHECK(service("Map.Example:8080", "POST", "/sheets/9") == 4);
    CHECK(service("map.example", "GET", "/sheets/9") == 2);
    CHECK(RoutingTable().find("x", "GET", "/") == std::nullopt);
}

// Guards against requests that run at a service to which no configuration sends them.
TEST_CASE("a prefix that ends with a slash does not match the path without that slash")
{
    const RoutingTable table({route("*", "*", "/desk/", 1), route("*", "*", "/desk/report/", 2)});
    const auto service = [&](std::string_view target) {
        const auto found = table.find("x", "POST", target);
        return found ? found->service : 0;
    };
    CHECK(service("/desk/report") == 1);
    CHECK(service("/desk/report?a=/desk/report/") == 1);
    CHECK(service("/desk/report/") == 2);
    CHECK(service("/desk/report//") == 2);
    CHECK(service("/desk/report/7") == 2);
    CHECK(service("/desk//report/") == 1);
    CHECK(service("/desk/") == 1);
    CHECK(service("/desk") == 0);
    CHECK(service("//desk/") == 0);
    CHECK(service("http://x?a=/desk/") == 0);
}

// Guards against paths that match a prefix in the middle of a segment.
TEST_CASE("a prefix without a last slash matches whole segments and yields to the same prefix with one")
{
    const RoutingTable table(
        {route("*", "*", "/desk", 1), route("*", "*", "/desk/", 2), route("*", "*", "/desk/report", 3)});
    const auto service = [&](std::string_view target) {
        const auto found = table.find("x", "POST", target);
        return found ? found->service : 0;
    };
    CHECK(service("/desk") == 1);
    CHECK(service("/desk/") == 2);
    CHECK(service("/desk/7") == 2);
    CHECK(service("/desk/report") == 3);
    CHECK(service("/desk/report/7") == 3);
    CHECK(service("/desk/reports") == 2);
    CHECK(service("/desks") == 0);
}

// Guards against memory use that grows with the number of callers over the life of the process.
TEST_CASE("the number of caller buckets is bounded")
{
    CallerLimits limits(10);
    Bundles::Bundle bundle;
    bundle.callerLimits = {{.requestsPerSecond = 1, .burst = 1}};
    limits.configure({bundle});
    for (int caller = 0; caller < 100; ++caller) {
        CHECK_FALSE(limits.admit(0, std::to_string(caller), TimePoint{}));
    }
    CHECK(limits.size() == 10);
    CHECK(limits.admit(0, "99", TimePoint{}));
}
