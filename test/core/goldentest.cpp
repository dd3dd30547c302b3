#include "verbenadock/core/session.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace Verbenadock;
using namespace Verbenadock::Core;

namespace {

std::vector<std::string> readLines(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);) {
        lines.push_back(line);
    }
    return lines;
}

/// Replays the settings and events of a recorded session and returns the new session.
std::vector<std::string> replay(const std::vector<std::string> &recorded)
{
    const auto settings = parseSettings(recorded.at(0));
    Reducer reducer(settings);
    std::vector<std::string> lines{toJsonLine(settings)};
    for (const auto &line : recorded) {
        if (isEventLine(line)) {
            const auto event = parseEvent(line);
            lines.push_back(toJsonLine(event));
            for (const auto &effect : reducer.apply(event)) {
                lines.push_back(toJsonLine(effect));
            }
        }
    }
    return lines;
}

} // namespace

// Guards against unintended changes of decisions. After an intended change, run this test with
// VERBENADOCK_UPDATE_GOLDEN=1 and review the difference.
TEST_CASE("recorded sessions replay with the same effects")
{
    std::size_t sessions = 0;
    for (const auto &entry : std::filesystem::directory_iterator(TEST_DATA_DIR "/golden")) {
        const auto recorded = readLines(entry.path());
        const auto actual = replay(recorded);
        ++sessions;
        if (std::getenv("VERBENADOCK_UPDATE_GOLDEN") != nullptr) {
            std::ofstream file(entry.path());
            for (const auto &line : actual) {
                file << line << '\n';
            }
            continue;
        }
        const auto [expected, found] = std::mismatch(recorded.begin(), recorded.end(), actual.begin(), actual.end());
        INFO(entry.path().filename().string() << ", first difference in line " << expected - recorded.begin() + 1);
        INFO("expected: " << (expected == recorded.end() ? "end of session" : *expected));
        INFO("actual:   " << (found == actual.end() ? "end of session" : *found));
        CHECK((expected == recorded.end() && found == actual.end()));
    }
    CHECK(sessions >= 6);
}

// Guards against malformed lines that are parsed as events with default values.
TEST_CASE("parsing a malformed session line throws")
{
    CHECK_THROWS_AS(parseEvent("{"), SessionError);
    CHECK_THROWS_AS(parseEvent(R"({"event":"Unheard"})"), SessionError);
    CHECK_THROWS_AS(parseEvent(R"({"event":"AttemptFailed","cause":"unheard"})"), SessionError);
    CHECK_THROWS_AS(parseEvent(R"({"event":"AttemptFailed","at":"soon"})"), SessionError);
    CHECK_THROWS_AS(parseSettings(R"({"event":"TimerExpired"})"), SessionError);
}
