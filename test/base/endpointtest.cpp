#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/error.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;

TEST_CASE("toString and parseEndpoint are inverse to each other")
{
    for (const std::string text : {"127.0.1.2:8080", "[::1]:65535"}) {
        CHECK(toString(parseEndpoint(text)) == text);
    }
}

// Guards against a host name or an invalid port that fails only in a socket call, with an error that does not name the
// setting.
TEST_CASE("parseEndpoint throws on malformed endpoints")
{
    for (const std::string text :
         {"127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:65536", "::1:80", "1.2.3.4:80x"}) {
        INFO("text: " << text);
        CHECK_THROWS_AS(parseEndpoint(text), Error);
    }
}
