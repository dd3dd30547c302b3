#include "processusage.h"

#include "verbenadock/base/error.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace Verbenadock::Measure {

namespace {

// Positions in /proc/PID/stat, counted from the field after the program name (see proc(5)).
constexpr int UserTimeField = 11;
constexpr int ResidentPagesField = 21;

} // namespace

ProcessUsage processUsage(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string line;
    if (!std::getline(file, line)) {
        throw Error("process " + std::to_string(process) + " does not exist");
    }
    // The program name may contain blanks; the fields after its closing parenthesis do not.
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string field;
    std::uint64_t ticks = 0;
    std::uint64_t pages = 0;
    for (int i = 0; fields >> field && i <= ResidentPagesField; ++i) {
        if (i == UserTimeField || i == UserTimeField + 1) {
            ticks += std::stoull(field);
        }
        if (i == ResidentPagesField) {
            pages = std::stoull(field);
        }
    }
    const auto ticksPerSecond = static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK));
    return {.cpuTime = Duration(std::micro::den * ticks / ticksPerSecond),
            .residentBytes = pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE))};
}

} // namespace Verbenadock::Measure
