#include "entryprocess.h"
#include "verbenadock/bundle/parser.h"
#include "verbenadock/telemetry/logging.h"

#include <docopt/docopt.h>
#include <exception>
#include <iostream>
#include <map>
#include <string>
#include <vector>

using namespace Verbenadock;

namespace {

constexpr auto Usage = R"(verbenadock-entry accepts callers' requests and has them answered by upstreams.

Usage:
  verbenadock-entry --config FILE [--check] [--bundle FILE]...
  verbenadock-entry (-h | --help)
  verbenadock-entry --version

Options:
  --config FILE  Settings file.
  --bundle FILE  Serve this bundle without waiting for the agent; may be repeated.
  --check        Check the settings and the bundles, and exit.
  -h --help      Show this text.
  --version      Show the version.
)";

constexpr int InvalidConfigurationExit = 2;

std::vector<std::string> readBundles(const std::vector<std::string> &files)
{
    std::vector<std::string> texts;
    for (const auto &file : files) {
        auto text = Settings::readFile(file);
        try {
            Bundles::parseBundle(text);
        } catch (const Bundles::InvalidBundle &error) {
            throw Error(file + ": " + error.what());
        }
        texts.push_back(std::move(text));
    }
    return texts;
}

int runEntry(const std::map<std::string, docopt::value> &arguments)
{
    Settings::EntrySettings settings;
    std::vector<std::string> bundles;
    try {
        settings = Settings::parseEntrySettings(Settings::readFile(arguments.at("--config").asString()));
        bundles = readBundles(arguments.at("--bundle").asStringList());
    } catch (const Error &error) {
        std::cerr << "verbenadock-entry: " << error.what() << '\n';
        return InvalidConfigurationExit;
    }
    if (arguments.at("--check").asBool()) {
        std::cout << "The settings are valid.\n";
        return 0;
    }
    Telemetry::setUpLogging(
        "verbenadock-entry", Telemetry::parseLogLevel(settings.process.logLevel), settings.process.logFile);
    if (settings.process.logFile.empty()) {
        Telemetry::logToBoundedStandardOutput();
    }
    Entry::EntryProcess process(settings, bundles, arguments.at("--config").asString());
    return process.run();
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments
        = docopt::docopt(Usage, {argv + 1, argv + argc}, true, "verbenadock-entry " VERBENADOCK_VERSION);
    try {
        return runEntry(arguments);
    } catch (const std::exception &error) {
        std::cerr << "verbenadock-entry: " << error.what() << '\n';
        return 1;
    }
}
