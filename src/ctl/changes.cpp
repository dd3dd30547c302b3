#include "commands.h"
#include "configurationlog.h"
#include "fleetstatus.h"
#include "local.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace Verbenadock::Ctl {

namespace {

using Bundles::RecordResult;
using nlohmann::json;

constexpr std::chrono::milliseconds WaitInterval(200);
// Agents append a version whose records have expired again after seconds.
constexpr std::chrono::seconds RestatementLimit(15);
constexpr std::size_t ShownDigits = 12;

std::string describe(const Bundles::VersionReference &reference)
{
    return "version " + std::to_string(reference.version) + " of " + reference.name + " (digest "
           + reference.digest.substr(0, ShownDigits) + ")";
}

json toJson(const Bundles::HistoryEntry &entry)
{
    return {{"offset", entry.offset},
            {"result", toString(entry.result)},
            {"kind", entry.kind},
            {"name", entry.reference.name},
            {"version", entry.reference.version},
            {"replaces", entry.reference.replaces},
            {"digest", entry.reference.digest},
            {"operator", entry.operatorName},
            {"reason", entry.reason}};
}

std::string nextStep(RecordResult result)
{
    switch (result) {
    case RecordResult::Conflict:
        return "\nnext: look at `verbenadock-ctl history` and `verbenadock-ctl diff`, put the change on top of the "
               "version in force, raise its version and propose it again";
    case RecordResult::Untrusted:
        return "\nnext: compare [[operators]] in the settings with those of the agents";
    case RecordResult::NotAllowed:
        return "\nnext: look at `verbenadock-ctl history` for what is missing";
    default:
        return {};
    }
}

/// The newest version of the bundle that an agent has in force. Throws CtlError when no agent can be asked.
std::uint64_t versionOnAgents(const Settings::CtlSettings &settings, const std::string &name)
{
    std::uint64_t version = 0;
    bool asked = false;
    for (const auto &state : askFleet(settings)) {
        asked = asked || (state.role == "agent" && state.failure.empty());
        for (const auto &bundle : state.bundles) {
            version = bundle.name == name ? std::max(version, bundle.version) : version;
        }
    }
    if (!asked) {
        throw CtlError(
            ExitStatus::Unavailable,
            "the log no longer shows what is in force of " + name
                + ", and no agent can be asked\nnext: run the same command again when an agent is reachable");
    }
    return version;
}

/// Reads the log until it shows what is in force of the bundle. Without this, an operator whose view of the log lacks
/// the version in force would be told that a change is accepted which the agents refuse.
void readUntilProven(ConfigurationLog &log, const Settings::CtlSettings &settings, const std::string &name)
{
    log.refresh();
    const auto deadline = std::chrono::steady_clock::now() + RestatementLimit;
    while (log.isTruncated() && versionOnAgents(settings, name) > log.versionInForce(name)) {
        if (std::chrono::steady_clock::now() >= deadline) {
            throw CtlError(ExitStatus::Unavailable,
                           "the log no longer shows what is in force of " + name
                               + "\nnext: an agent appends it again soon; run the same command again later");
        }
        std::this_thread::sleep_for(WaitInterval);
        log.refresh();
    }
}

/// Signs the record, appends it and explains what it did.
Bundles::HistoryEntry submit(ConfigurationLog &log,
                             const Settings::CtlSettings &settings,
                             const Bundles::Record &record)
{
    const auto key = readPrivateKey(settings);
    auto entry = log.append(
        Bundles::encodeRecord(Bundles::withSignature(record, Bundles::sign(key, Bundles::signedText(record)))));
    const bool stands = entry.result == RecordResult::Proposed || entry.result == RecordResult::SignedOff
                        || entry.result == RecordResult::InForce || entry.result == RecordResult::Repeated;
    if (!stands) {
        throw CtlError(ExitStatus::NotAccepted,
                       "the " + entry.kind + " of " + describe(entry.reference) + " has no effect ("
                           + std::string(toString(entry.result)) + "): " + entry.reason + nextStep(entry.result),
                       {{"entry", toJson(entry)}});
    }
    return entry;
}

Output accepted(const Bundles::HistoryEntry &entry, const std::string &done, const std::string &next)
{
    const std::string before = entry.result == RecordResult::Repeated ? " (it stood already)" : "";
    return {.text = done + " " + describe(entry.reference) + before + "\n" + next, .data = {{"entry", toJson(entry)}}};
}

std::string listOf(const std::vector<Bundles::PendingProposal> &proposals)
{
    std::string text;
    for (const auto &item : proposals) {
        text += "\n  " + item.proposal.reference.digest + " by " + item.proposal.author;
    }
    return text;
}

/// The one proposal that the operator means.
Bundles::PendingProposal select(const ConfigurationLog &log, const Selection &selection)
{
    auto proposals = log.history().pending(selection.name);
    std::erase_if(proposals, [&selection](const auto &item) {
        const auto &reference = item.proposal.reference;
        return reference.version != selection.version || !reference.digest.starts_with(selection.digest);
    });
    const auto what = "version " + std::to_string(selection.version) + " of " + selection.name;
    if (proposals.empty()) {
        const auto current = log.versionInForce(selection.name);
        throw CtlError(ExitStatus::NotAccepted,
                       "no proposal of " + what + " is waiting; "
                           + (current == 0 ? "no version" : "version " + std::to_string(current))
                           + " is in force\nnext: look at `verbenadock-ctl history " + selection.name + "`");
    }
    if (proposals.size() > 1) {
        throw CtlError(ExitStatus::NotAccepted,
                       "there are several proposals of " + what + ":" + listOf(proposals)
                           + "\nnext: name the one that you mean with --digest");
    }
    return proposals.front();
}

/// Whether this operator has rolled the selected version out before, for example with a lost answer.
bool isOwnRollOut(const ConfigurationLog &log, const Selection &selection, const std::string &operatorName)
{
    const auto position = log.history().inForce().find(selection.name);
    if (position == log.history().inForce().end()) {
        return false;
    }
    const auto &version = position->second;
    return version.reference.version == selection.version && version.reference.digest.starts_with(selection.digest)
           && Bundles::operatorOf(Bundles::decodeRecord(version.records.back())) == operatorName;
}

void waitForFleet(const Settings::CtlSettings &settings,
                  const Bundles::VersionReference &reference,
                  unsigned waitSeconds,
                  Output &output)
{
    const auto start = std::chrono::steady_clock::now();
    const auto deadline = start + std::chrono::seconds(waitSeconds);
    auto missing = laggards(askFleet(settings), reference);
    while (!missing.empty() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(WaitInterval);
        missing = laggards(askFleet(settings), reference);
    }
    const auto elapsed
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
    output.data["in_force_everywhere"] = missing.empty();
    output.data["waited_ms"] = elapsed;
    output.data["missing"] = missing;
    if (missing.empty()) {
        output.text += "in force everywhere after " + std::to_string(elapsed) + " ms\n";
        return;
    }
    output.status = ExitStatus::NotInForce;
    output.text += "accepted, but after " + std::to_string(waitSeconds) + " s not in force on:\n";
    for (const auto &line : missing) {
        output.text += "  " + line + "\n";
    }
    output.text += "next: it stays accepted and reaches them when they are back; check with `verbenadock-ctl status`\n";
}

} // namespace

Output propose(const Settings::CtlSettings &settings, const std::string &file)
{
    const auto [content, bundle] = readBundleFile(file);
    ConfigurationLog log(settings);
    readUntilProven(log, settings, bundle.name);
    const auto current = log.versionInForce(bundle.name);
    if (bundle.version <= current) {
        throw CtlError(ExitStatus::NotAccepted,
                       "version " + std::to_string(current) + " of " + bundle.name
                           + " is in force already\nnext: set the " + "version in " + file + " to "
                           + std::to_string(current + 1) + " or more and propose it again");
    }
    const Bundles::VersionReference reference{
        .name = bundle.name, .version = bundle.version, .replaces = current, .digest = Bundles::contentDigest(content)};
    auto entry
        = submit(log,
                 settings,
                 Bundles::Proposal{
                     .reference = reference, .content = content, .author = settings.operatorName, .signature = {}});
    return accepted(entry,
                    "proposed",
                    "next: another operator checks it with `verbenadock-ctl diff " + bundle.name + " "
                        + std::to_string(bundle.version) + "` and runs `verbenadock-ctl sign-off " + bundle.name + " "
                        + std::to_string(bundle.version) + "`\n");
}

Output signOff(const Settings::CtlSettings &settings, const Selection &selection)
{
    ConfigurationLog log(settings);
    readUntilProven(log, settings, selection.name);
    const auto proposal = select(log, selection).proposal;
    if (proposal.author == settings.operatorName) {
        throw CtlError(ExitStatus::NotAccepted,
                       "you have proposed " + describe(proposal.reference)
                           + " yourself\nnext: ask another operator to sign it off");
    }
    auto entry
        = submit(log,
                 settings,
                 Bundles::SignOff{.reference = proposal.reference, .signer = settings.operatorName, .signature = {}});
    return accepted(entry,
                    "signed off",
                    "next: run `verbenadock-ctl roll-out " + selection.name + " " + std::to_string(selection.version)
                        + "`\n");
}

Output rollOut(const Settings::CtlSettings &settings, const Selection &selection, unsigned waitSeconds)
{
    ConfigurationLog log(settings);
    readUntilProven(log, settings, selection.name);
    Output output;
    Bundles::VersionReference reference;
    if (isOwnRollOut(log, selection, settings.operatorName)) {
        reference = log.history().inForce().at(selection.name).reference;
        output = {.text = "you have rolled out " + describe(reference) + " before\n",
                  .data = {{"version", reference.version}, {"digest", reference.digest}}};
    } else {
        const auto pending = select(log, selection);
        reference = pending.proposal.reference;
        if (pending.signers.empty()) {
            throw CtlError(ExitStatus::NotAccepted,
                           describe(reference) + " is not signed off\nnext: ask an operator other than "
                               + pending.proposal.author + " to run `verbenadock-ctl sign-off " + selection.name + " "
                               + std::to_string(selection.version) + "`");
        }
        auto entry
            = submit(log,
                     settings,
                     Bundles::RollOut{.reference = reference, .initiator = settings.operatorName, .signature = {}});
        output = accepted(entry, "rolled out", "");
    }
    if (waitSeconds > 0) {
        waitForFleet(settings, reference, waitSeconds, output);
    }
    return output;
}

Output showHistory(const Settings::CtlSettings &settings, const std::string &name)
{
    ConfigurationLog log(settings);
    log.refresh();
    Output output{.text = {}, .data = {{"truncated", log.isTruncated()}, {"entries", json::array()}}};
    if (log.isTruncated()) {
        output.text = "the log no longer has its oldest records; earlier versions are missing here\n";
    }
    for (const auto &entry : log.history().entries(name)) {
        output.data["entries"].push_back(toJson(entry));
        output.text += std::to_string(entry.offset) + "  " + std::string(toString(entry.result));
        if (!entry.kind.empty()) {
            output.text += "  " + entry.kind + " of " + describe(entry.reference) + " by " + entry.operatorName;
        }
        output.text += (entry.reason.empty() ? "" : ": " + entry.reason) + "\n";
    }
    return output;
}

} // namespace Verbenadock::Ctl
