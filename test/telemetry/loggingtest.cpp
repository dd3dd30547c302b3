#include "verbenadock/telemetry/logging.h"
#include "verbenadock/telemetry/boundedoutput.h"

#include <catch2/catch.hpp>

#include <array>
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

// A request must not wait for whoever collects the logs.
TEST_CASE("output that nobody reads never blocks, and the lines left out are counted and reported")
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    BoundedOutput output(ends[1], 8192);
    const std::string line(99, 'x');
    for (int number = 0; number < 10000; ++number) {
        output.append(line + "\n");
    }
    CHECK(output.dropped() > 8000);

    std::string received;
    std::array<char, 65536> buffer{};
    for (int round = 0; round < 20; ++round) {
        output.append("after\n");
        output.flush();
        received.append(buffer.data(), static_cast<std::size_t>(read(ends[0], buffer.data(), buffer.size())));
    }
    CHECK(received.find("log_lines_dropped count=") != std::string::npos);
    CHECK(received.find("after\n") != std::string::npos);
    close(ends[0]);
    close(ends[1]);
}
