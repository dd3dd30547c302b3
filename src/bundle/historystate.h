#ifndef VERBENADOCK_BUNDLE_HISTORYSTATE_H
#define VERBENADOCK_BUNDLE_HISTORYSTATE_H

#include "proof.h"
#include "verbenadock/bundle/history.h"

#include <deque>

namespace Verbenadock::Bundles {

namespace internal {

/// Pending proposal with the records that its proof will consist of.
struct Candidate
{
    PendingProposal pending;
    std::string record;
    /// First valid sign-off; empty while there is none.
    std::string signOffRecord;
};

/// Record deferred because the records of the version that it replaces have expired, so that version is not known yet.
struct DeferredRecord
{
    std::uint64_t offset = 0;
    std::string data;
};

struct RecordOutcome
{
    RecordResult result = RecordResult::Malformed;
    std::string reason;
};

} // namespace internal

struct History::State
{
    internal::TrustStore trustStore;
    std::map<std::string, AcceptedVersion> inForce;
    std::map<std::string, internal::Actors> actors;
    std::map<std::string, std::vector<internal::Candidate>> candidates;
    std::deque<HistoryEntry> entries;
    std::map<std::string, std::vector<internal::DeferredRecord>> deferred;
    /// By bundle and version: the offset from which the log alone proves the version, should the version come into
    /// force.
    std::map<std::string, std::map<std::uint64_t, std::uint64_t>> provenFrom;
    /// Half-open range of offsets whose records were applied without a gap.
    std::uint64_t readBegin = 0;
    std::uint64_t readEnd = 0;
    /// The end of the log was reached since readBegin.
    bool settled = false;

    std::uint64_t versionInForce(const std::string &name) const;
    internal::Candidate *candidate(const VersionReference &reference);
    bool wasApplied(const Record &record);
    std::string conflict(std::uint64_t offset, const VersionReference &reference) const;
    internal::RecordOutcome evaluate(std::uint64_t offset, std::string_view data, const Record &record);
    internal::RecordOutcome apply(std::uint64_t offset, std::string_view data, const Proposal &proposal);
    internal::RecordOutcome apply(std::uint64_t offset, std::string_view data, const SignOff &signOff);
    internal::RecordOutcome apply(std::uint64_t offset, std::string_view data, const RollOut &rollOut);
    void putInForce(AcceptedVersion version, internal::Actors operators);
    void appendEntry(const HistoryEntry &entry);
    void trackReadRange(std::uint64_t offset);
    void deferRecord(std::uint64_t offset, std::string_view data, const VersionReference &reference);
    void trackProofOffset(std::uint64_t offset, const Record &record);
    void setProofOffset(const VersionReference &reference, std::uint64_t offset);
    std::optional<std::uint64_t> proofOffset(const std::string &name) const;
    bool isInForceKnown(const std::string &name) const;
    void replayDeferred(const std::string &name);
    HistoryEntry applyRecord(std::uint64_t offset, std::string_view data);
    HistoryEntry applyRestatement(std::uint64_t offset, const AcceptedVersion &version);
    bool adopt(const AcceptedVersion &version);
};

} // namespace Verbenadock::Bundles

#endif
