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

/// The version of a bundle that is in force, with the records that prove it.
struct AcceptedVersion
{
    VersionReference reference;
    std::string content;
    /// The proposal, sign-off and roll-out records exactly as they stand in the log.
    std::vector<std::string> records;
    /// Offset of the roll-out record.
    std::uint64_t offset = 0;

    auto operator<=>(const AcceptedVersion &) const = default;
};

/// What a record did to the state.
enum class RecordResult {
    Proposed,
    SignedOff,
    InForce,
    /// A record with the same content and operator was applied before.
    Repeated,
    /// The version replaces one that is not in force, or another proposal of the version came first.
    Conflict,
    /// The signature does not match, or the operator is not trusted.
    Untrusted,
    /// The author signed off the own proposal, or the proposal is not signed off yet or not known.
    NotAllowed,
    /// The record or the bundle in it is broken.
    Malformed,
};

std::string_view toString(RecordResult result);

/// One line of a bundle's history.
struct HistoryEntry
{
    std::uint64_t offset = 0;
    RecordResult result = RecordResult::Malformed;
    /// "proposal", "sign-off", "roll-out", "restatement", or empty when the record is broken.
    std::string kind;
    VersionReference reference;
    std::string operatorName;
    /// Why the record had no effect; empty when it had one.
    std::string reason;

    auto operator<=>(const HistoryEntry &) const = default;
};

/// A proposal that could still come into force.
struct PendingProposal
{
    Proposal proposal;
    /// Offset of the proposal record.
    std::uint64_t offset = 0;
    /// Operators whose sign-offs count, in the order of offsets.
    std::vector<std::string> signers;

    auto operator<=>(const PendingProposal &) const = default;
};

/// Folds the records of the configuration stream into the versions in force. The same records give the same state on
/// every VM. When the oldest records have expired, a restatement takes the place of those of a version in force.
///
/// Usage: apply() each record in the order of offsets; settle() at the end of the log; read inForce().
class History
{
public:
    explicit History(std::vector<TrustedOperator> operators);
    ~History();
    History(History &&) noexcept;
    History &operator=(History &&) noexcept;

    /// Applies one record and says what it did.
    HistoryEntry apply(std::uint64_t offset, std::string_view data);

    /// To be called at the end of the log. When its oldest records have expired, records wait until here for a
    /// restatement of what they replace. Returns the bundles that changed.
    std::vector<std::string> settle();

    /// Takes over a version that a peer has in force, after checking every signature in its records. Returns false
    /// when the proof does not hold or the version is not newer than the own one.
    bool adopt(const AcceptedVersion &version);

    /// By bundle name.
    const std::map<std::string, AcceptedVersion> &inForce() const;

    /// The newest offset from which on the log alone proves what is in force for the bundle: that of the first proposal
    /// or of a restatement. Nothing while it is not known.
    std::optional<std::uint64_t> provenFrom(const std::string &bundleName) const;

    /// The newest entries, oldest first, of one bundle or of all.
    std::vector<HistoryEntry> entries(const std::string &bundleName = {}) const;

    /// The proposals that wait for their sign-off or roll-out, of one bundle or of all; oldest first within a
    /// bundle.
    std::vector<PendingProposal> pending(const std::string &bundleName = {}) const;

    /// The newest proposal of this version that waits for its sign-off or roll-out.
    std::optional<Proposal> proposal(const std::string &bundleName, std::uint64_t version) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Verbenadock::Bundles

#endif
