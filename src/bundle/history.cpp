#include "verbenadock/bundle/history.h"

#include "historystate.h"
#include "verbenadock/bundle/restatement.h"

#include <algorithm>

namespace Verbenadock::Bundles {

using internal::Candidate;
using internal::RecordOutcome;

namespace {

constexpr std::size_t MaxEntries = 1000;
// Per bundle; the oldest proposal is evicted beyond this number to bound memory.
constexpr std::size_t MaxCandidates = 100;

bool tookEffect(RecordResult result)
{
    return result == RecordResult::Proposed || result == RecordResult::SignedOff || result == RecordResult::InForce;
}

} // namespace

std::uint64_t History::State::versionInForce(const std::string &name) const
{
    const auto position = this->inForce.find(name);
    return position == this->inForce.end() ? 0 : position->second.reference.version;
}

Candidate *History::State::candidate(const VersionReference &reference)
{
    const auto list = this->candidates.find(reference.name);
    if (list == this->candidates.end()) {
        return nullptr;
    }
    const auto matches = [&reference](const Candidate &item) {
        return item.pending.proposal.reference == reference;
    };
    const auto position = std::ranges::find_if(list->second, matches);
    return position == list->second.end() ? nullptr : &*position;
}

bool History::State::wasApplied(const Record &record)
{
    const auto &reference = referenceOf(record);
    const auto &name = operatorOf(record);
    if (const auto *item = this->candidate(reference)) {
        return (std::holds_alternative<Proposal>(record) && item->pending.proposal.author == name)
               || (std::holds_alternative<SignOff>(record) && std::ranges::count(item->pending.signers, name) > 0);
    }
    const auto current = this->inForce.find(reference.name);
    if (current != this->inForce.end() && current->second.reference == reference) {
        const auto &operators = this->actors.at(reference.name);
        const std::string &applied = std::holds_alternative<Proposal>(record)  ? operators.author
                                     : std::holds_alternative<SignOff>(record) ? operators.signer
                                                                               : operators.initiator;
        if (applied == name) {
            return true;
        }
    }
    // Old entries are evicted, so they must not influence which version comes into force. Here they only distinguish a
    // repeated record from a conflicting one, for a version that can no longer come into force.
    const auto isSame = [&record, &reference, &name](const HistoryEntry &entry) {
        return tookEffect(entry.result) && entry.kind == kindOf(record) && entry.operatorName == name
               && entry.reference == reference;
    };
    return reference.version <= this->versionInForce(reference.name) && std::ranges::any_of(this->entries, isSame);
}

std::string History::State::conflict(std::uint64_t offset, const VersionReference &reference) const
{
    const auto current = this->versionInForce(reference.name);
    if (reference.version <= current) {
        return "version " + std::to_string(current) + " is in force already";
    }
    if (reference.replaces == current && !this->settled && !this->isInForceKnown(reference.name)) {
        return "older records have expired and the version in force is not known yet";
    }
    if (reference.replaces != current) {
        return "it replaces version " + std::to_string(reference.replaces) + ", but "
               + (current == 0 ? std::string("no version") : "version " + std::to_string(current)) + " is in force";
    }
    // The version in force may have been adopted from a peer. Records at or before the offset of its roll-out belong to
    // the time before that version and must not replace it.
    if (current != 0 && offset <= this->inForce.at(reference.name).offset) {
        return "version " + std::to_string(current) + " came into force later";
    }
    return {};
}

RecordOutcome History::State::evaluate(std::uint64_t offset, std::string_view data, const Record &record)
{
    if (!this->trustStore.verifies(record)) {
        return {RecordResult::Untrusted, "the operator is not trusted or the signature does not match"};
    }
    this->trackProofOffset(offset, record);
    if (this->wasApplied(record)) {
        return {RecordResult::Repeated, "the same record was applied before"};
    }
    if (auto reason = this->conflict(offset, referenceOf(record)); !reason.empty()) {
        this->deferRecord(offset, data, referenceOf(record));
        return {RecordResult::Conflict, std::move(reason)};
    }
    return std::visit(
        [this, offset, data](const auto &value) {
            return this->apply(offset, data, value);
        },
        record);
}

RecordOutcome History::State::apply(std::uint64_t offset, std::string_view data, const Proposal &proposal)
{
    if (auto error = internal::contentError(proposal); !error.empty()) {
        return {RecordResult::Malformed, std::move(error)};
    }
    if (const auto *same = this->candidate(proposal.reference)) {
        return {RecordResult::Conflict, same->pending.proposal.author + " has proposed the same content"};
    }
    auto &list = this->candidates[proposal.reference.name];
    if (list.size() == MaxCandidates) {
        list.erase(list.begin());
    }
    list.push_back({.pending = {.proposal = proposal, .offset = offset, .signers = {}},
                    .record = std::string(data),
                    .signOffRecord = {}});
    return {RecordResult::Proposed, {}};
}

RecordOutcome History::State::apply(std::uint64_t, std::string_view data, const SignOff &signOff)
{
    auto *candidate = this->candidate(signOff.reference);
    if (candidate == nullptr) {
        return {RecordResult::NotAllowed, "there is no such proposal"};
    }
    if (this->trustStore.isSameOperator(candidate->pending.proposal.author, signOff.signer)) {
        return {RecordResult::NotAllowed, "the author cannot sign off their own proposal"};
    }
    if (candidate->signOffRecord.empty()) {
        candidate->signOffRecord = std::string(data);
    }
    candidate->pending.signers.push_back(signOff.signer);
    return {RecordResult::SignedOff, {}};
}

RecordOutcome History::State::apply(std::uint64_t offset, std::string_view data, const RollOut &rollOut)
{
    const auto *candidate = this->candidate(rollOut.reference);
    if (candidate == nullptr) {
        return {RecordResult::NotAllowed, "there is no such proposal"};
    }
    if (candidate->signOffRecord.empty()) {
        return {RecordResult::NotAllowed, "the proposal is not signed off"};
    }
    const auto &pending = candidate->pending;
    AcceptedVersion version{.reference = rollOut.reference,
                            .content = pending.proposal.content,
                            .records = {candidate->record, candidate->signOffRecord, std::string(data)},
                            .offset = offset};
    internal::Actors operators{
        .author = pending.proposal.author, .signer = pending.signers.front(), .initiator = rollOut.initiator};
    this->putInForce(std::move(version), std::move(operators));
    return {RecordResult::InForce, {}};
}

void History::State::putInForce(AcceptedVersion version, internal::Actors operators)
{
    const std::string name = version.reference.name;
    this->inForce.insert_or_assign(name, std::move(version));
    this->actors.insert_or_assign(name, std::move(operators));
    // All pending proposals replace the previous version, so none of them can come into force any more.
    this->candidates.erase(name);
}

void History::State::appendEntry(const HistoryEntry &entry)
{
    this->entries.push_back(entry);
    if (this->entries.size() > MaxEntries) {
        this->entries.pop_front();
    }
}

std::string_view toString(RecordResult result)
{
    switch (result) {
    case RecordResult::Proposed:
        return "proposed";
    case RecordResult::SignedOff:
        return "signed-off";
    case RecordResult::InForce:
        return "in-force";
    case RecordResult::Repeated:
        return "repeated";
    case RecordResult::Conflict:
        return "conflict";
    case RecordResult::Untrusted:
        return "untrusted";
    case RecordResult::NotAllowed:
        return "not-allowed";
    case RecordResult::Malformed:
        return "malformed";
    }
    return "malformed";
}

History::History(std::vector<TrustedOperator> operators)
    : state(std::make_unique<State>(State{.trustStore = internal::TrustStore(operators),
                                          .inForce = {},
                                          .actors = {},
                                          .candidates = {},
                                          .entries = {},
                                          .deferred = {},
                                          .provenFrom = {}}))
{
}

History::~History() = default;
History::History(History &&) noexcept = default;
History &History::operator=(History &&) noexcept = default;

HistoryEntry History::apply(std::uint64_t offset, std::string_view data)
{
    this->state->trackReadRange(offset);
    return this->state->applyRecord(offset, data);
}

HistoryEntry History::State::applyRecord(std::uint64_t offset, std::string_view data)
{
    HistoryEntry entry{.offset = offset,
                       .result = RecordResult::Malformed,
                       .kind = {},
                       .reference = {},
                       .operatorName = {},
                       .reason = {}};
    try {
        if (const auto restatement = decodeRestatement(data)) {
            return this->applyRestatement(offset, *restatement);
        }
        const auto record = decodeRecord(data);
        auto outcome = this->evaluate(offset, data, record);
        entry.result = outcome.result;
        entry.reason = std::move(outcome.reason);
        entry.kind = kindOf(record);
        entry.reference = referenceOf(record);
        entry.operatorName = operatorOf(record);
    } catch (const RecordError &error) {
        entry.reason = error.what();
    }
    this->appendEntry(entry);
    return entry;
}

bool History::adopt(const AcceptedVersion &version)
{
    return this->state->adopt(version);
}

std::optional<std::uint64_t> History::provenFrom(const std::string &bundleName) const
{
    return this->state->proofOffset(bundleName);
}

const std::map<std::string, AcceptedVersion> &History::inForce() const
{
    return this->state->inForce;
}

std::vector<HistoryEntry> History::entries(const std::string &bundleName) const
{
    std::vector<HistoryEntry> result;
    std::ranges::copy_if(this->state->entries, std::back_inserter(result), [&bundleName](const HistoryEntry &entry) {
        return bundleName.empty() || entry.reference.name == bundleName;
    });
    return result;
}

std::vector<PendingProposal> History::pending(const std::string &bundleName) const
{
    std::vector<PendingProposal> result;
    for (const auto &[name, list] : this->state->candidates) {
        if (bundleName.empty() || name == bundleName) {
            std::ranges::transform(list, std::back_inserter(result), &Candidate::pending);
        }
    }
    return result;
}

std::optional<Proposal> History::proposal(const std::string &bundleName, std::uint64_t version) const
{
    std::optional<Proposal> result;
    for (auto &item : this->pending(bundleName)) {
        if (item.proposal.reference.version == version) {
            result = std::move(item.proposal);
        }
    }
    return result;
}

} // namespace Verbenadock::Bundles
