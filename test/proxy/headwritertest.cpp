#include "headwriter.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Proxy::internal;

// Guards against callers that are told to return at once, since a rejection near the deadline has a wait of
// microseconds.
TEST_CASE("Retry-After is never rounded down to zero")
{
    LocalAnswer answer{.reason = "no-capacity", .retryAfter = Duration(1), .fractionalRetryAfter = true};
    CHECK(localAnswerText(answer).find("Retry-After: 0.001\r\n") != std::string::npos);
    answer.fractionalRetryAfter = false;
    CHECK(localAnswerText(answer).find("Retry-After: 1\r\n") != std::string::npos);
}
