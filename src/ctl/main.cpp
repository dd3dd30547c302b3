#include "commands.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <charconv>
#include <iostream>
#include <map>
#include <optional>
#include <string_view>

namespace {

using namespace Verbenadock;
using namespace Verbenadock::Ctl;
using Arguments = std::map<std::string, docopt::value>;

constexpr const char *Usage = R"(Operates the configuration of a Verbenadock fleet.

Usage:
  verbenadock-ctl [options] validate FILE
  verbenadock-ctl [options] keygen FILE
  verbenadock-ctl [options] propose FILE
  verbenadock-ctl [options] sign-off NAME VERSION [--digest=DIGEST]
  verbenadock-ctl [options] roll-out NAME VERSION [--digest=DIGEST] [--wait] [--wait-seconds=N]
  verbenadock-ctl [options] history [NAME]
  verbenadock-ctl [options] diff --file=FILE
  verbenadock-ctl [options] diff NAME VERSION [VERSION]
  verbenadock-ctl [options] status
  verbenadock-ctl [options] dump ENDPOINT
  verbenadock-ctl [options] explain ENDPOINT HOST PATH [--method=METHOD] [--customer=NAME]
  verbenadock-ctl --help
  verbenadock-ctl --version

Commands:
  validate   Check a bundle and show every mistake.
  keygen     Write a new private key to FILE and print the public key.
  propose    Offer the bundle in FILE as the next version.
  sign-off   Approve a proposal of another operator.
  roll-out   Put a proposal that is signed off in force.
  history    Show the records of the log and what each of them did.
  diff       Compare a version with the one in force, two versions (old, new), or a file with the version in force.
  status     Show the version in force on each VM.
  dump       Show the whole state of one process.
  explain    Show where the entry with this administration port would send a request now, and why. Sends no request.

Options:
  --config=FILE     Settings file [default: /etc/verbenadock/ctl.toml].
  --json            Print JSON.
  --digest=DIGEST   First digits of the digest, when a version has several proposals.
  --wait            Wait until the version is in force on every VM.
  --wait-seconds=N  Longest wait [default: 10].
  --file=FILE       The bundle to compare.
  --method=METHOD   Method of the request [default: GET].
  --customer=NAME   Name of the customer whose key the request would bear, never the key.
  --help            Show this text.
  --version         Show the version.

Exit status: 0 success, 1 wrong usage, 2 invalid input, 3 conflict or not allowed, 4 log or process unavailable,
5 not in force everywhere (within the wait).
Exit status of explain: 0 an upstream was chosen, 1 no choice, 2 wrong usage, 4 entry unavailable.
)";

std::uint64_t parseNumber(const std::string &text, const std::string &what)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        throw CtlError(ExitStatus::Usage, what + " '" + text + "' is not a whole number");
    }
    return number;
}

Settings::CtlSettings readSettings(const Arguments &arguments)
{
    const auto file = arguments.at("--config").asString();
    try {
        return Settings::parseCtlSettings(Settings::readFile(file));
    } catch (const Settings::InvalidSettings &error) {
        throw CtlError(ExitStatus::InvalidInput, file + ":\n" + error.what());
    }
}

std::string textOf(const Arguments &arguments, const std::string &key)
{
    const auto &value = arguments.at(key);
    return value.isString() ? value.asString() : std::string();
}

std::vector<std::uint64_t> versionsOf(const Arguments &arguments)
{
    std::vector<std::uint64_t> versions;
    for (const auto &text : arguments.at("VERSION").asStringList()) {
        versions.push_back(parseNumber(text, "VERSION"));
    }
    return versions;
}

Selection selectionOf(const Arguments &arguments)
{
    return {.name = arguments.at("NAME").asString(),
            .version = versionsOf(arguments).front(),
            .digest = textOf(arguments, "--digest")};
}

unsigned waitOf(const Arguments &arguments)
{
    constexpr std::uint64_t LongestWait = 3600;
    const auto seconds = parseNumber(textOf(arguments, "--wait-seconds"), "--wait-seconds");
    if (seconds == 0 || seconds > LongestWait) {
        throw CtlError(ExitStatus::Usage, "--wait-seconds has to be from 1 to " + std::to_string(LongestWait));
    }
    return arguments.at("--wait").asBool() ? static_cast<unsigned>(seconds) : 0;
}

Output runWithSettings(const Arguments &arguments)
{
    const auto settings = readSettings(arguments);
    const auto chosen = [&arguments](const char *command) {
        return arguments.at(command).asBool();
    };
    if (chosen("propose")) {
        return propose(settings, arguments.at("FILE").asString());
    }
    if (chosen("sign-off")) {
        return signOff(settings, selectionOf(arguments));
    }
    if (chosen("roll-out")) {
        return rollOut(settings, selectionOf(arguments), waitOf(arguments));
    }
    if (chosen("history")) {
        return showHistory(settings, textOf(arguments, "NAME"));
    }
    if (chosen("diff")) {
        const auto file = textOf(arguments, "--file");
        return file.empty() ? showDifference(settings, arguments.at("NAME").asString(), versionsOf(arguments))
                            : showFileDifference(settings, file);
    }
    return showStatus(settings);
}

Output run(const Arguments &arguments)
{
    if (arguments.at("validate").asBool()) {
        return validate(arguments.at("FILE").asString());
    }
    if (arguments.at("keygen").asBool()) {
        return generateKey(arguments.at("FILE").asString());
    }
    if (arguments.at("dump").asBool()) {
        return showDump(arguments.at("ENDPOINT").asString());
    }
    if (arguments.at("explain").asBool()) {
        const auto customer = textOf(arguments, "--customer");
        return explain(arguments.at("ENDPOINT").asString(),
                       {.host = arguments.at("HOST").asString(),
                        .path = arguments.at("PATH").asString(),
                        .method = textOf(arguments, "--method"),
                        .customer = customer.empty() ? std::nullopt : std::optional(customer)});
    }
    return runWithSettings(arguments);
}

int printOutput(const Output &output, bool asJson)
{
    std::cout << (asJson ? output.data.dump(2) + "\n" : output.text) << std::flush;
    return static_cast<int>(output.status);
}

int printError(const CtlError &error, bool asJson)
{
    if (asJson) {
        auto data = error.data;
        data["error"] = error.what();
        std::cout << data.dump(2) << std::endl;
    }
    std::cerr << "verbenadock-ctl: " << error.what() << std::endl;
    return static_cast<int>(error.status);
}

} // namespace

int main(int count, char **values)
{
    Arguments arguments;
    try {
        arguments = docopt::docopt_parse(Usage, {values + 1, values + count}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << Usage;
        return static_cast<int>(ExitStatus::Ok);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "verbenadock-ctl " VERBENADOCK_VERSION "\n";
        return static_cast<int>(ExitStatus::Ok);
    } catch (const std::runtime_error &) {
        std::cerr << "verbenadock-ctl: wrong usage; see verbenadock-ctl --help\n";
        const bool isExplain = std::any_of(values + 1, values + count, [](std::string_view argument) {
            return argument == "explain";
        });
        return static_cast<int>(isExplain ? ExitStatus::InvalidInput : ExitStatus::Usage);
    }
    const bool asJson = arguments.at("--json").asBool();
    try {
        return printOutput(run(arguments), asJson);
    } catch (const CtlError &error) {
        return printError(error, asJson);
    } catch (const std::exception &error) {
        return printError(CtlError(ExitStatus::InvalidInput, error.what()), asJson);
    }
}
