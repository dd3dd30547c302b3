#include "verbenadock/net/query.h"
#include "verbenadock/net/error.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;

// Guards against a query for another path or customer than the operator's.
TEST_CASE("parameters of a query are decoded as they were encoded")
{
    const std::string path = "/a b?c=d&e%\xc3\xa9+";
    const auto parameters
        = Net::queryParameters("/explain?host=h.example&path=" + Net::percentEncode(path) + "&empty&host=x");
    CHECK(parameters == std::map<std::string, std::string>{{"host", "h.example"}, {"path", path}, {"empty", ""}});
    CHECK(Net::queryParameters("/explain").empty());
    CHECK(Net::queryParameters("/explain?").empty());
    for (const std::string text : {"%", "%4", "%4g", "%-1"}) {
        INFO(text);
        CHECK_THROWS_AS(Net::queryParameters("/explain?host=" + text), Net::NetError);
    }
}
