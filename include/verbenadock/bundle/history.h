#ifndef VERBENADOCK_BUNDLE_HISTORY_H
#define VERBENADOCK_BUNDLE_HISTORY_H

#include "verbenadock/bundle/bundle.h"
#include "verbenadock/bundle/record.h"
#include "verbenadock/bundle/signature.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Bundles {

/// Version of a bundle that is in force, with the signed records that prove its acceptance.
struct AcceptedVersion
{
    VersionReference reference;
    std::string content;
    /// The proposal, sign-off and roll-out records, byte for byte as in the log.
    std::vector<std::string> records;
    /// Offset of the roll-out record.
    std::uint64_t offset = 0;

    auto operator<=>(const AcceptedVersion &) const = default;
};

/// Effect of a record on the state.
enum class RecordResult {
    Proposed,
    SignedOff,
    InForce,
    /// A record with the same content and operator has already been applied.
    Repeated,
    /// The record replaces a version that is not in force, or another proposal of the same version came first.
    Conflict,
    /// The signature does not match, or the operator is not trusted.
    Untrusted,
    /// The author signed off their own proposal, or the proposal is unknown or not signed off yet.
    NotAllowed,
    /// The record or the bundle in it cannot be parsed.
    Malformed,
};

std::string_view toString(RecordResult result);

/// Outcome of one record in a bundle's history.
struct HistoryEntry
{
    std::uint64_t offset = 0;
    RecordResult result = RecordResult::Malformed;
    /// "proposal", "sign-off", "roll-out", "restatement", or empty when the record is malformed.
    std::string kind;
    VersionReference reference;
    std::string operatorName;
    /// Reason why the record had no effect; empty when the record took effect.
    std::string reason;

    auto operator<=>(const HistoryEntry &) const = default;
};

/// Proposal that can still come into force.
struct PendingProposal
{
    Proposal proposal;
    /// Offset of the proposal record.
    std::uint64_t offset = 0;
    /// Operators whose sign-offs count, in the order of offsets.
    std::vector<std::string> signers;

    auto operator<=>(const PendingProposal &) const = default;
};

/// Deterministic state machine that derives the versions in force from the records of the configuration stream; the
/// same records give the same state on every VM. A restatement replaces the expired records of a version in force.
///
/// Usage: apply() each record in offset order; settle() at the end of the log; read inForce().
class History
{
public:
    explicit History(std::vector<TrustedOperator> operators);
    ~History();
    History(History &&) noexcept;
    History &operator=(History &&) noexcept;

    /// Applies one record and returns its effect.
    HistoryEntry apply(std::uint64_t offset, std::string_view data);

    /// Call at the end of the log: applies the records that were deferred because the records of the version that they
    /// replace have expired and no restatement followed. Returns the names of the bundles that changed.
    std::vector<std::string> settle();

    /// Adopts a version that is in force at a peer, after verifying every signature in its records. Returns false when
    /// the proof is invalid or the version is not newer than the local one.
    bool adopt(const AcceptedVersion &version);

    /// The versions in force by bundle name.
    const std::map<std::string, AcceptedVersion> &inForce() const;

    /// Newest offset from which the rest of the log alone proves the version in force: the offset of the first proposal
    /// or of a restatement. std::nullopt while unknown.
    std::optional<std::uint64_t> provenFrom(const std::string &bundleName) const;

    /// The newest entries of one bundle or of all bundles, oldest first.
    std::vector<HistoryEntry> entries(const std::string &bundleName = {}) const;

    /// The proposals of one bundle or of all bundles that await sign-off or roll-out; oldest first within a bundle.
    std::vector<PendingProposal> pending(const std::string &bundleName = {}) const;

    /// The newest proposal of this version that awaits sign-off or roll-out.
    std::optional<Proposal> proposal(const std::string &bundleName, std::uint64_t version) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Verbenadock::Bundles

#endif
