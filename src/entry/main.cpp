#include "entryprocess.h"
#include "settingsfile.h"
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
    Entry::SettingsFile file;
    std::vector<std::string> bundles;
    try {
        const auto path = arguments.at("--config").asString();
        file = Entry::parseSettingsFile(path, Settings::readFile(path));
        bundles = readBundles(arguments.at("--bundle").asStringList());
    } catch (const Error &error) {
        std::cerr << "verbenadock-entry: " << error.what() << '\n';
        return InvalidConfigurationExit;
    }
    if (arguments.at("--check").asBool()) {
        for (const auto &field : file.unfilledFields) {
            std::cout << "The field " << field << " was not filled in; a default holds.\n";
        }
        std::cout << "The settings are valid.\n";
        return 0;
    }
    const auto &process = file.settings.process;
    Telemetry::setUpLogging("verbenadock-entry", Telemetry::parseLogLevel(process.logLevel), process.logFile);
    if (process.logFile.empty()) {
        Telemetry::logToBoundedStandardOutput();
    }
    return Entry::EntryProcess(file, bundles).run();
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
