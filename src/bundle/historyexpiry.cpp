// Handling of expired records: restatements, versions adopted from peers, and deferral of records that replace a
// version which is not known yet.

#include "historystate.h"

#include <utility>

namespace Verbenadock::Bundles {

namespace {

// Per bundle; the oldest record is evicted beyond this number to bound memory.
constexpr std::size_t MaxDeferredRecords = 100;

} // namespace

void History::State::trackReadRange(std::uint64_t offset)
{
    if (offset != this->readEnd) {
        this->readBegin = offset;
        this->settled = false;
    }
    this->readEnd = offset + 1;
}

void History::State::deferRecord(std::uint64_t offset, std::string_view data, const VersionReference &reference)
{
    const auto current = this->versionInForce(reference.name);
    if (reference.version <= current || reference.replaces < current) {
        return;
    }
    if (reference.replaces == current && (this->settled || this->isInForceKnown(reference.name))) {
        return;
    }
    auto &list = this->deferred[reference.name];
    if (list.size() == MaxDeferredRecords) {
        list.erase(list.begin());
    }
    list.push_back({.offset = offset, .data = std::string(data)});
}

void History::State::trackProofOffset(std::uint64_t offset, const Record &record)
{
    if (!std::holds_alternative<Proposal>(record)) {
        return;
    }
    const auto &reference = referenceOf(record);
    auto &proofOffsets = this->provenFrom[reference.name];
    if (reference.replaces == 0) {
        proofOffsets.emplace(reference.version, offset);
    } else if (const auto base = proofOffsets.find(reference.replaces); base != proofOffsets.end()) {
        // A reader can accept the proposal only from an offset that also proves the replaced version.
        proofOffsets.emplace(reference.version, base->second);
    }
}

void History::State::setProofOffset(const VersionReference &reference, std::uint64_t offset)
{
    auto &proofOffsets = this->provenFrom[reference.name];
    // Later proposals cannot replace older versions, so their offsets are no longer needed.
    proofOffsets.erase(proofOffsets.begin(), proofOffsets.lower_bound(reference.version));
    proofOffsets[reference.version] = offset;
}

std::optional<std::uint64_t> History::State::proofOffset(const std::string &name) const
{
    const auto proofOffsets = this->provenFrom.find(name);
    if (proofOffsets == this->provenFrom.end()) {
        return std::nullopt;
    }
    const auto position = proofOffsets->second.find(this->versionInForce(name));
    return position == proofOffsets->second.end() ? std::nullopt : std::optional(position->second);
}

/// Returns whether the records that were read without a gap determine the version in force.
bool History::State::isInForceKnown(const std::string &name) const
{
    const auto current = this->inForce.find(name);
    if (current == this->inForce.end()) {
        return this->readBegin == 0;
    }
    // A restatement within the range is not sufficient: the proposal of a successor may precede both the range and the
    // restatement. A range that begins right after the roll-out misses no proposal of a successor.
    return this->readBegin == 0 || current->second.offset + 1 >= this->readBegin;
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
    if (!internal::checkProof(this->trustStore, version) || version.offset >= offset) {
        entry.result = RecordResult::Untrusted;
        entry.reason = "the restated records do not prove the version";
    } else if (current != this->inForce.end() && current->second.reference == version.reference) {
        this->setProofOffset(version.reference, offset);
    } else if (this->isInForceKnown(name) || version.reference.version <= this->versionInForce(name)) {
        // The records that were read already determine whether the version was accepted, so a restatement must not
        // change that decision.
        entry.result = RecordResult::Conflict;
        entry.reason = "the version is not in force";
    } else {
        entry.result = RecordResult::InForce;
        entry.reason = {};
    }
    this->appendEntry(entry);
    if (entry.result == RecordResult::InForce) {
        this->setProofOffset(version.reference, offset);
        this->adopt(version);
    }
    return entry;
}

void History::State::replayDeferred(const std::string &name)
{
    const auto current = this->inForce.find(name);
    const auto after = current == this->inForce.end() ? std::nullopt : std::optional(current->second.offset);
    const auto records = this->deferred.extract(name);
    if (records.empty()) {
        return;
    }
    // Deferred records may replace the version that is known now. Readers that already had that version in force
    // accepted them, so they are applied here for the same state.
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
    auto operators = internal::checkProof(this->trustStore, version);
    if (!operators) {
        return false;
    }
    this->putInForce(version, std::move(*operators));
    this->replayDeferred(name);
    return true;
}

std::vector<std::string> History::settle()
{
    std::vector<std::string> changed;
    if (this->state->settled) {
        return changed;
    }
    // Versions in force are restated before their records expire, so a version without a restatement up to the end of
    // the log was never in force.
    this->state->settled = true;
    std::vector<std::string> bundleNames;
    for (const auto &item : this->state->deferred) {
        bundleNames.push_back(item.first);
    }
    for (const auto &name : bundleNames) {
        const auto before = this->state->versionInForce(name);
        this->state->replayDeferred(name);
        if (this->state->versionInForce(name) != before) {
            changed.push_back(name);
        }
    }
    return changed;
}

} // namespace Verbenadock::Bundles
