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

// Guards against log lines of several VMs that cannot be sorted or filtered: local time, no level, no program name.
TEST_CASE("a log line has UTC time, level, program and text, and lower levels are not logged")
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

// Guards against requests that block because the log collector does not read.
TEST_CASE("output without a reader never blocks, and dropped lines are counted and reported")
{
    std::array<int, 2> pipeEnds{};
    REQUIRE(pipe(pipeEnds.data()) == 0);
    BoundedOutput output(pipeEnds[1], 8192);
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
        received.append(buffer.data(), static_cast<std::size_t>(read(pipeEnds[0], buffer.data(), buffer.size())));
    }
    CHECK(received.find("log_lines_dropped count=") != std::string::npos);
    CHECK(received.find("after\n") != std::string::npos);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}
