#ifndef VERBENADOCK_BUNDLE_HISTORYSTATE_H
#define VERBENADOCK_BUNDLE_HISTORYSTATE_H

#include "proof.h"
#include "verbenadock/bundle/history.h"

#include <deque>

namespace Verbenadock::Bundles {

namespace internal {

struct Candidate
{
    PendingProposal pending;
    std::string record;
    /// The first sign-off that counts; empty until then.
    std::string signOffRecord;
};

/// A record that replaces a version which is not known yet, because its records have expired.
struct EarlyRecord
{
    std::uint64_t offset = 0;
    std::string data;
};

struct Verdict
{
    RecordResult result = RecordResult::Malformed;
    std::string reason;
};

} // namespace internal

struct History::State
{
    internal::Trust trust;
    std::map<std::string, AcceptedVersion> inForce;
    std::map<std::string, internal::Actors> actors;
    std::map<std::string, std::vector<internal::Candidate>> candidates;
    std::deque<HistoryEntry> entries;
    std::map<std::string, std::vector<internal::EarlyRecord>> early;
    /// By bundle and version: the offset from which on the log alone proves the version, if it comes into force.
    std::map<std::string, std::map<std::uint64_t, std::uint64_t>> provenFrom;
    /// The records from the first of these offsets to before the second were applied without a gap.
    std::uint64_t readFrom = 0;
    std::uint64_t readTo = 0;
    /// Whether the end of the log was reached since readFrom.
    bool settled = false;

    std::uint64_t versionInForce(const std::string &name) const;
    internal::Candidate *candidate(const VersionReference &reference);
    bool wasApplied(const Record &record);
    std::string conflict(std::uint64_t offset, const VersionReference &reference) const;
    internal::Verdict judge(std::uint64_t offset, std::string_view data, const Record &record);
    internal::Verdict apply(std::uint64_t offset, std::string_view data, const Proposal &proposal);
    internal::Verdict apply(std::uint64_t offset, std::string_view data, const SignOff &signOff);
    internal::Verdict apply(std::uint64_t offset, std::string_view data, const RollOut &rollOut);
    void putInForce(AcceptedVersion version, internal::Actors names);
    void remember(const HistoryEntry &entry);
    void noteRead(std::uint64_t offset);
    void keepEarly(std::uint64_t offset, std::string_view data, const VersionReference &reference);
    void noteProof(std::uint64_t offset, const Record &record);
    void setProof(const VersionReference &reference, std::uint64_t offset);
    std::optional<std::uint64_t> proof(const std::string &name) const;
    bool knowsInForce(const std::string &name) const;
    void replayEarly(const std::string &name);
    HistoryEntry applyRecord(std::uint64_t offset, std::string_view data);
    HistoryEntry applyRestatement(std::uint64_t offset, const AcceptedVersion &version);
    bool adopt(const AcceptedVersion &version);
};

} // namespace Verbenadock::Bundles

#endif
