// What the fold does about records that have expired: restatements, versions from peers, and records whose base is not
// known yet.

#include "historystate.h"

#include <utility>

namespace Verbenadock::Bundles {

namespace {

// Beyond this many records of one bundle the oldest is forgotten, so that memory stays bounded.
constexpr std::size_t MostEarlyRecords = 100;

} // namespace

void History::State::noteRead(std::uint64_t offset)
{
    if (offset != this->readTo) {
        this->readFrom = offset;
        this->settled = false;
    }
    this->readTo = offset + 1;
}

void History::State::keepEarly(std::uint64_t offset, std::string_view data, const VersionReference &reference)
{
    const auto current = this->versionInForce(reference.name);
    if (reference.version <= current || reference.replaces < current) {
        return;
    }
    if (reference.replaces == current && (this->settled || this->knowsInForce(reference.name))) {
        return;
    }
    auto &list = this->early[reference.name];
    if (list.size() == MostEarlyRecords) {
        list.erase(list.begin());
    }
    list.push_back({.offset = offset, .data = std::string(data)});
}

void History::State::noteProof(std::uint64_t offset, const Record &record)
{
    if (!std::holds_alternative<Proposal>(record)) {
        return;
    }
    const auto &reference = referenceOf(record);
    auto &known = this->provenFrom[reference.name];
    if (reference.replaces == 0) {
        known.emplace(reference.version, offset);
    } else if (const auto base = known.find(reference.replaces); base != known.end()) {
        // A reader accepts the proposal only when it knows the version that the proposal replaces.
        known.emplace(reference.version, base->second);
    }
}

void History::State::setProof(const VersionReference &reference, std::uint64_t offset)
{
    auto &known = this->provenFrom[reference.name];
    // Older versions are no longer replaced by anything.
    known.erase(known.begin(), known.lower_bound(reference.version));
    known[reference.version] = offset;
}

std::optional<std::uint64_t> History::State::proof(const std::string &name) const
{
    const auto known = this->provenFrom.find(name);
    if (known == this->provenFrom.end()) {
        return std::nullopt;
    }
    const auto position = known->second.find(this->versionInForce(name));
    return position == known->second.end() ? std::nullopt : std::optional(position->second);
}

/// Whether the records that were read without a gap show beyond doubt what is in force.
bool History::State::knowsInForce(const std::string &name) const
{
    const auto current = this->inForce.find(name);
    if (current == this->inForce.end()) {
        return this->readFrom == 0;
    }
    // A restatement in what was read is not enough: a proposal that follows its version may stand before both.
    return this->readFrom == 0 || current->second.offset >= this->readFrom;
}

HistoryEntry History::State::applyRestatement(std::uint64_t offset, const AcceptedVersion &version)
{
    const auto &name = version.reference.name;
    HistoryEntry entry{.offset = offset,
                       .result = RecordResult::Repeated,
                       .kind = "restatement",
                       .reference = version.reference,
                       .operatorName = operatorOf(decodeRecord(version.records.back())),
                       .reason = "the version is in force already"};
    const auto current = this->inForce.find(name);
    if (!internal::checkProof(this->trust, version) || version.offset >= offset) {
        entry.result = RecordResult::Untrusted;
        entry.reason = "the restated records do not prove the version";
    } else if (current != this->inForce.end() && current->second.reference == version.reference) {
        this->setProof(version.reference, offset);
    } else if (this->knowsInForce(name) || version.reference.version <= this->versionInForce(name)) {
        // Whoever knows what is in force has seen whether the version was accepted. A restatement must not decide anew.
        entry.result = RecordResult::Conflict;
        entry.reason = "the version is not in force";
    } else {
        entry.result = RecordResult::InForce;
        entry.reason = {};
    }
    this->remember(entry);
    if (entry.result == RecordResult::InForce) {
        this->setProof(version.reference, offset);
        this->adopt(version);
    }
    return entry;
}

void History::State::replayEarly(const std::string &name)
{
    const auto current = this->inForce.find(name);
    const auto after = current == this->inForce.end() ? std::nullopt : std::optional(current->second.offset);
    const auto records = this->early.extract(name);
    if (records.empty()) {
        return;
    }
    // Records read before the version was known may replace it. Those who had it in force accepted them.
    for (const auto &record : records.mapped()) {
        if (!after || record.offset > *after) {
            this->applyRecord(record.offset, record.data);
        }
    }
}

bool History::State::adopt(const AcceptedVersion &version)
{
    const auto &name = version.reference.name;
    if (version.reference.version <= this->versionInForce(name)) {
        return false;
    }
    auto names = internal::checkProof(this->trust, version);
    if (!names) {
        return false;
    }
    this->putInForce(version, std::move(*names));
    this->replayEarly(name);
    return true;
}

std::vector<std::string> History::settle()
{
    std::vector<std::string> changed;
    if (this->state->settled) {
        return changed;
    }
    // What is in force is restated before it expires, so what has no restatement up to here was never in force.
    this->state->settled = true;
    std::vector<std::string> names;
    for (const auto &item : this->state->early) {
        names.push_back(item.first);
    }
    for (const auto &name : names) {
        const auto before = this->state->versionInForce(name);
        this->state->replayEarly(name);
        if (this->state->versionInForce(name) != before) {
            changed.push_back(name);
        }
    }
    return changed;
}

} // namespace Verbenadock::Bundles
