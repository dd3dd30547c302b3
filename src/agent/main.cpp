#include "host.h"
#include "verbenadock/net/error.h"
#include "verbenadock/settings/settings.h"
#include "verbenadock/telemetry/logging.h"

#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace {

using namespace Verbenadock;

constexpr char Usage[] =
    R"(Exchanges configuration and upstream health with the agents of other VMs.

Usage:
  verbenadock-agent --config FILE [--check]
  verbenadock-agent (-h | --help)
  verbenadock-agent --version

Options:
  --config FILE  Path of the settings file.
  --check        Check the settings and exit.
  -h --help      Show this help and exit.
  --version      Show the version and exit.

Exits with status 2 if the settings are invalid, and with 1 after any other failure.
)";

constexpr int InvalidSettingsExitCode = 2;

void run(const Settings::AgentSettings &settings)
{
    boost::asio::io_context context(1);
    Agent::Host host(context, settings);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&host](const boost::system::error_code &error, int) {
        if (!error) {
            host.stop();
        }
    });
    host.start();
    Telemetry::logChange(Telemetry::LogLevel::Info, "started vm=" + settings.process.vmId);
    context.run();
    Telemetry::logChange(Telemetry::LogLevel::Info, "stopped vm=" + settings.process.vmId);
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments
        = docopt::docopt(Usage, {argv + 1, argv + argc}, true, "verbenadock-agent " VERBENADOCK_VERSION);
    try {
        const auto settings = Settings::parseAgentSettings(Settings::readFile(arguments.at("--config").asString()));
        if (arguments.at("--check").asBool()) {
            std::cout << "The settings are valid.\n";
            return 0;
        }
        Telemetry::setUpLogging(
            "verbenadock-agent", Telemetry::parseLogLevel(settings.process.logLevel), settings.process.logFile);
        run(settings);
        return 0;
    } catch (const Settings::InvalidSettings &error) {
        std::cerr << "verbenadock-agent: " << error.what() << '\n';
        return InvalidSettingsExitCode;
    } catch (const std::exception &error) {
        std::cerr << "verbenadock-agent: " << error.what() << '\n';
        return 1;
    }
}
