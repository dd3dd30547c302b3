#include "configurationlog.h"

#include "blocking.h"
#include "output.h"
#include "verbenadock/bundle/restatement.h"

#include <algorithm>

namespace Verbenadock::Ctl {

namespace {

constexpr Duration LogTimeout = std::chrono::seconds(5);
constexpr std::size_t PageSize = 500;
constexpr unsigned MostAppends = 3;

std::vector<Bundles::TrustedOperator> trustedOperators(const Settings::CtlSettings &settings)
{
    std::vector<Bundles::TrustedOperator> result;
    for (const auto &item : settings.operators) {
        result.push_back({.name = item.name, .publicKey = item.publicKey});
    }
    return result;
}

bool hadEffect(const Bundles::HistoryEntry &entry)
{
    using Bundles::RecordResult;
    return entry.result == RecordResult::Proposed || entry.result == RecordResult::SignedOff
           || entry.result == RecordResult::InForce;
}

} // namespace

ConfigurationLog::ConfigurationLog(const Settings::CtlSettings &settings)
    : client(settings.logService, "configuration", LogTimeout)
    , fold(trustedOperators(settings))
{
}

void ConfigurationLog::apply(const Platform::LogRecord &record)
{
    const auto entry = this->fold.apply(record.offset, record.data);
    this->next = record.offset + 1;
    this->applied.push_back({.data = record.data, .entry = entry});
    if (entry.result == Bundles::RecordResult::Proposed) {
        const auto proposal = std::get<Bundles::Proposal>(Bundles::decodeRecord(record.data));
        this->contents.push_back({.reference = proposal.reference, .text = proposal.content, .wasInForce = false});
    } else if (const auto restated = Bundles::decodeRestatement(record.data);
               restated && entry.result == Bundles::RecordResult::InForce) {
        this->contents.push_back({.reference = restated->reference, .text = restated->content, .wasInForce = true});
    } else if (entry.result == Bundles::RecordResult::InForce) {
        for (auto &item : this->contents) {
            item.wasInForce = item.wasInForce || item.reference == entry.reference;
        }
    }
}

void ConfigurationLog::read()
{
    while (true) {
        const auto page = runBlocking(this->client.read(this->next, PageSize));
        this->truncated = this->truncated || page.first > this->next;
        for (const auto &record : page.records) {
            if (record.offset >= this->next) {
                this->apply(record);
            }
        }
        if (page.records.empty() || this->next >= page.end) {
            this->fold.settle();
            return;
        }
    }
}

void ConfigurationLog::refresh()
{
    try {
        this->read();
    } catch (const Platform::PlatformError &error) {
        throw CtlError(ExitStatus::Unavailable,
                       std::string("the log is unavailable: ") + error.what()
                           + "\nnothing can be accepted while the log is unavailable; what is in force stays in force");
    }
}

Bundles::HistoryEntry ConfigurationLog::append(const std::string &data)
{
    std::string reason;
    for (unsigned attempt = 0; attempt < MostAppends; ++attempt) {
        try {
            runBlocking(this->client.append(data));
        } catch (const Platform::PlatformError &error) {
            reason = error.what();
        }
        try {
            this->read();
        } catch (const Platform::PlatformError &error) {
            throw CtlError(ExitStatus::Unavailable,
                           std::string("the log is unavailable: ") + (reason.empty() ? error.what() : reason)
                               + "\nnothing can be accepted while the log is unavailable; the record may be in the log "
                                 "or not: run the same command again later, a repeated record has no effect");
        }
        if (const auto entry = this->entryOf(data)) {
            return *entry;
        }
    }
    throw CtlError(ExitStatus::Unavailable,
                   "the log did not take the record: " + (reason.empty() ? "it does not appear in the log" : reason)
                       + "\nrun the same command again later, a repeated record has no effect");
}

std::optional<Bundles::HistoryEntry> ConfigurationLog::entryOf(const std::string &data) const
{
    std::optional<Bundles::HistoryEntry> found;
    for (const auto &item : this->applied) {
        if (item.data == data) {
            found = item.entry;
            if (hadEffect(item.entry)) {
                break;
            }
        }
    }
    return found;
}

const Bundles::History &ConfigurationLog::history() const
{
    return this->fold;
}

std::optional<std::string> ConfigurationLog::content(const std::string &name, std::uint64_t version) const
{
    const Content *best = nullptr;
    for (const auto &item : this->contents) {
        const bool matches = item.reference.name == name && item.reference.version == version;
        if (matches && (best == nullptr || !best->wasInForce)) {
            best = &item;
        }
    }
    if (best != nullptr) {
        return best->text;
    }
    // A version whose records had to wait for a restatement is only in the fold.
    if (const auto current = this->fold.inForce().find(name);
        current != this->fold.inForce().end() && current->second.reference.version == version) {
        return current->second.content;
    }
    const auto waiting = this->fold.proposal(name, version);
    return waiting ? std::optional(waiting->content) : std::nullopt;
}

std::uint64_t ConfigurationLog::versionInForce(const std::string &name) const
{
    const auto position = this->fold.inForce().find(name);
    return position == this->fold.inForce().end() ? 0 : position->second.reference.version;
}

bool ConfigurationLog::isTruncated() const
{
    return this->truncated;
}

} // namespace Verbenadock::Ctl
