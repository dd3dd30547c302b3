#include "verbenadock/telemetry/logging.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <string>
#include <unistd.h>

using namespace Verbenadock::Telemetry;

// Guards against lines that a reader of several VMs' logs cannot sort or filter: local time, no level, no program.
TEST_CASE("a line has UTC time, level, program and text, and lower levels are left out")
{
    const auto file
        = std::filesystem::temp_directory_path() / ("verbenadock-logging-" + std::to_string(getpid()) + ".log");
    setUpLogging("verbenadock-test", LogLevel::Info, file.string());
    logChange(LogLevel::Debug, "hidden");
    logChange(LogLevel::Warning, "bundle_in_force name=moka version=3");
    setUpLogging("verbenadock-test", LogLevel::Error);

    std::ifstream stream(file);
    std::string line;
    REQUIRE(std::getline(stream, line));
    CAPTURE(line);
    CHECK(std::regex_match(line,
                           std::regex(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z WARNING verbenadock-test )"
                                      R"(bundle_in_force name=moka version=3)")));
    CHECK_FALSE(std::getline(stream, line));
    std::filesystem::remove(file);
}
