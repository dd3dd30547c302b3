// What upstreams announce about themselves in the heads of their answers.
#include "announcement.h"

#include "entryfixture.h"
#include "fakeupstream.h"
#include "verbenadock/platform/decoding.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Proxy::internal;
using namespace Verbenadock::Testing;

namespace {

Field leavingField(std::string_view value)
{
    return {.name = http::field::unknown, .nameText = "server-leaving", .value = value};
}

Field pauseField(std::string_view value)
{
    return {.name = http::field::retry_after, .nameText = "Retry-After", .value = value};
}

AnnouncementReading read(const std::vector<Field> &fields, unsigned status = 503)
{
    return readAnnouncement(fields, status, Platform::platformDialect());
}

Duration pauseOf(std::string_view value)
{
    return read({pauseField(value)}).announcement.pause;
}

std::vector<AnnouncementError> errorsOf(std::string_view value)
{
    return read({pauseField(value)}).errors;
}

} // namespace

// Guards against an announcement that counts on successes only.
TEST_CASE("an upstream announces its leaving with the value 1 on an answer of any status")
{
    CHECK(read({leavingField("1")}, 200) == AnnouncementReading{.announcement = {.leaving = true}});
    CHECK(read({leavingField("1")}, 503).announcement.leaving);
    CHECK(read({}, 200) == AnnouncementReading{});
}

// Guards against a garbled field that takes an upstream out of use.
TEST_CASE("an unknown leaving value is an error and announces nothing")
{
    for (const std::string_view value : {"0", "true", "", "11", "\x7f"}) {
        INFO(value);
        CHECK(read({leavingField(value)}, 200)
              == AnnouncementReading{.errors = {AnnouncementError::UnknownLeavingValue}});
    }
}

// Guards against a pause that is cut to whole seconds, and against one that another status asks for.
TEST_CASE("Retry-After on a 503 is a pause in seconds, with or without a fraction")
{
    CHECK(pauseOf("4") == std::chrono::seconds(4));
    CHECK(pauseOf("0.25") == std::chrono::milliseconds(250));
    CHECK(pauseOf("0") == Duration(0));
    CHECK(read({pauseField("0." + std::string(400, '0') + "1")}) == AnnouncementReading{});
    CHECK(read({pauseField("4")}, 429) == AnnouncementReading{});
    CHECK(read({pauseField("4")}, 200) == AnnouncementReading{});
}

// Guards against a pause without end and against a value that is read as another one.
TEST_CASE("a pause that is not a number of seconds is an error, and a very long one is bounded")
{
    using Errors = std::vector<AnnouncementError>;
    for (const std::string_view value :
         {"", "-1", "-0", "4s", "4 5", "0x10", "1e3", "nan", "inf", "Fri, 05 Dec 2026 10:00:00 GMT", "\xff"}) {
        INFO(value);
        CHECK(errorsOf(value) == Errors{AnnouncementError::PauseNotInSeconds});
        CHECK(pauseOf(value) == Duration(0));
    }
    for (const std::string &value : {std::string("3601"), std::string("99999999999999999999"), std::string(400, '9')}) {
        INFO(value);
        CHECK(errorsOf(value) == Errors{AnnouncementError::PauseTooLong});
        CHECK(pauseOf(value) == MaxPause);
    }
    CHECK(read({pauseField("4"), pauseField("4")})
          == AnnouncementReading{.errors = {AnnouncementError::RepeatedPause}});
}
