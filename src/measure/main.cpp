#include "scenario.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <array>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string_view>

using namespace Verbenadock::Measure;

namespace {

constexpr char Usage[] = R"(Measures the fleet with real processes over the stand-ins.

Usage:
  verbenadock-measure [--seed=N] [--deployment=NAME] [--output=DIR] SCENARIO
  verbenadock-measure --list
  verbenadock-measure (--help | --version)

Options:
  --seed=N           Seed of all random choices [default: 1].
  --deployment=NAME  nalezeno or moka [default: nalezeno].
  --output=DIR       Folder for plots [default: .].
  --list             List the scenarios.

Prints one name=value a line. Exits with 1 when the scenario could not be run and 2 for a wrong command line.
)";

struct Scenario
{
    std::string_view name;
    std::string_view summary;
    Report (*run)(const ScenarioOptions &);
};

constexpr std::array Scenarios{
    Scenario{"bundle", "versions rolled out by racing operators while the log and agents fail", measureBundle},
    Scenario{"path", "latency that one VM adds, and requests per second of one entry core", measurePath},
    Scenario{"control", "control cost of agents and entries, and its slopes", measureControl},
    Scenario{"promises", "what callers are told against what upstreams ran, under all faults", measurePromises},
    Scenario{"overload", "goodput at 0.5 to 3 times the capacity of a service", measureOverload},
    Scenario{"detection", "time until the fleet avoids sick upstreams, and what it costs", measureDetection},
    Scenario{"healthy", "ejections of sound upstreams under load spikes and disturbances", measureHealthy},
};

void listScenarios()
{
    for (const Scenario &scenario : Scenarios) {
        std::cout << scenario.name << "  " << scenario.summary << '\n';
    }
}

ScenarioOptions readOptions(std::map<std::string, docopt::value> &arguments)
{
    return {.seed = static_cast<std::uint64_t>(arguments["--seed"].asLong()),
            .deployment = arguments["--deployment"].asString(),
            .programDirectory = std::filesystem::canonical("/proc/self/exe").parent_path().string(),
            .outputDirectory = arguments["--output"].asString()};
}

int runScenario(std::map<std::string, docopt::value> &arguments)
{
    const std::string name = arguments["SCENARIO"].asString();
    const auto *const scenario = std::find_if(Scenarios.begin(), Scenarios.end(), [&name](const Scenario &candidate) {
        return candidate.name == name;
    });
    if (scenario == Scenarios.end()) {
        std::cerr << "There is no scenario '" << name << "'. The scenarios are:\n";
        listScenarios();
        return 2;
    }
    scenario->run(readOptions(arguments)).print();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        auto arguments
            = docopt::docopt(Usage, {argv + 1, argv + argc}, true, "verbenadock-measure " VERBENADOCK_VERSION);
        if (arguments["--list"].asBool()) {
            listScenarios();
            return 0;
        }
        return runScenario(arguments);
    } catch (const std::exception &error) {
        std::cerr << "verbenadock-measure: " << error.what() << '\n';
        return 1;
    }
}
