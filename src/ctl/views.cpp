#include "commands.h"
#include "configurationlog.h"
#include "fleetstatus.h"
#include "local.h"
#include "verbenadock/bundle/difference.h"

namespace Verbenadock::Ctl {

namespace {

std::string label(const std::string &name, std::uint64_t version)
{
    return version == 0 ? "/dev/null" : name + " version " + std::to_string(version);
}

/// Version 0 stands for no version and is empty.
std::string contentOf(const ConfigurationLog &log, const std::string &name, std::uint64_t version)
{
    if (version == 0) {
        return {};
    }
    const auto content = log.content(name, version);
    if (!content) {
        throw CtlError(ExitStatus::InvalidInput,
                       "the log has no version " + std::to_string(version) + " of " + name
                           + (log.isTruncated() ? "; its oldest records are gone" : ""));
    }
    return *content;
}

Output difference(const Bundles::NamedText &before, const Bundles::NamedText &after)
{
    const auto text = Bundles::unifiedDifference(before, after);
    return {.text = text, .data = {{"before", before.name}, {"after", after.name}, {"difference", text}}};
}

} // namespace

Output showDifference(const Settings::CtlSettings &settings,
                      const std::string &name,
                      const std::vector<std::uint64_t> &versions)
{
    ConfigurationLog log(settings);
    log.refresh();
    const auto before = versions.size() == 2 ? versions.front() : log.versionInForce(name);
    const auto after = versions.back();
    return difference({label(name, before), contentOf(log, name, before)},
                      {label(name, after), contentOf(log, name, after)});
}

Output showFileDifference(const Settings::CtlSettings &settings, const std::string &file)
{
    const auto [content, bundle] = readBundleFile(file);
    ConfigurationLog log(settings);
    log.refresh();
    const auto before = log.versionInForce(bundle.name);
    return difference({label(bundle.name, before), contentOf(log, bundle.name, before)}, {file, content});
}

Output showStatus(const Settings::CtlSettings &settings)
{
    ConfigurationLog log(settings);
    std::string logFailure;
    std::map<std::string, std::uint64_t> expected;
    try {
        log.refresh();
        for (const auto &[name, version] : log.history().inForce()) {
            expected[name] = version.reference.version;
        }
    } catch (const CtlError &error) {
        logFailure = error.what();
    }
    auto output = fleetReport(askFleet(settings), expected);
    output.data["log_available"] = logFailure.empty();
    output.data["log_failure"] = logFailure;
    output.data["in_force"] = expected;
    if (!logFailure.empty()) {
        output.text += logFailure + "\n";
        output.status = ExitStatus::Unavailable;
    }
    for (const auto &item : log.history().pending()) {
        const auto &reference = item.proposal.reference;
        output.text += "waiting: version " + std::to_string(reference.version) + " of " + reference.name + " by "
                       + item.proposal.author
                       + (item.signers.empty() ? ", not signed off" : ", signed off by " + item.signers.front()) + "\n";
    }
    return output;
}

Output showDump(const std::string &endpoint)
{
    Endpoint parsed;
    try {
        parsed = parseEndpoint(endpoint);
    } catch (const Error &error) {
        throw CtlError(ExitStatus::InvalidInput, error.what());
    }
    const auto text = fetchDump(parsed);
    auto data = nlohmann::json::parse(text, nullptr, false);
    if (data.is_discarded()) {
        data = text;
    }
    return {.text = (data.is_string() ? text : data.dump(2)) + "\n", .data = data};
}

} // namespace Verbenadock::Ctl
