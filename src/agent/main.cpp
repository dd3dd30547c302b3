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
    R"(Distributes configuration and health on one VM.

Usage:
  verbenadock-agent --settings=FILE
  verbenadock-agent (-h | --help)
  verbenadock-agent --version

Options:
  --settings=FILE  Settings file in TOML.
)";

Telemetry::LogLevel parseLevel(const std::string &name)
{
    if (name == "debug") {
        return Telemetry::LogLevel::Debug;
    }
    if (name == "warning") {
        return Telemetry::LogLevel::Warning;
    }
    return name == "error" ? Telemetry::LogLevel::Error : Telemetry::LogLevel::Info;
}

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
    try {
        const auto arguments
            = docopt::docopt(Usage, {argv + 1, argv + argc}, true, "verbenadock-agent " VERBENADOCK_VERSION);
        const auto settings = Settings::parseAgentSettings(Settings::readFile(arguments.at("--settings").asString()));
        Telemetry::setUpLogging("agent", parseLevel(settings.process.logLevel), settings.process.logFile);
        run(settings);
        return 0;
    } catch (const Error &error) {
        std::cerr << "verbenadock-agent: " << error.what() << '\n';
        return 1;
    }
}
