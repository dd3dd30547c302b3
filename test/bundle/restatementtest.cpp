#include "verbenadock/bundle/restatement.h"
#include "operators.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Verbenadock::Bundles;
using namespace Verbenadock::Bundles::Testing;

namespace {

const Operators Team({"alice", "bob", "carol"});

std::vector<std::string> acceptedRecords(std::uint64_t version, std::uint64_t replaces, unsigned variant = 0)
{
    const auto versionReference = reference(version, replaces, variant);
    return {Team.proposal(content(version, variant), versionReference, "alice"),
            Team.signOff(versionReference, "bob"),
            Team.rollOut(versionReference, "carol")};
}

/// Records of a log and the history that has applied all of them.
struct Log
{
    std::vector<std::string> records;
    History history{Team.trusted()};

    HistoryEntry append(const std::string &data)
    {
        this->records.push_back(data);
        return this->history.apply(this->records.size() - 1, data);
    }

    void append(const std::vector<std::string> &data)
    {
        for (const auto &record : data) {
            this->append(record);
        }
    }

    HistoryEntry restate()
    {
        return this->append(encodeRestatement(this->history.inForce().at("n")));
    }

    /// History of a reader that starts at this offset.
    History readFrom(std::uint64_t first) const
    {
        History result(Team.trusted());
        for (auto offset = first; offset < this->records.size(); ++offset) {
            result.apply(offset, this->records[offset]);
        }
        result.settle();
        return result;
    }
};

std::optional<VersionReference> inForce(const History &history)
{
    const auto position = history.inForce().find("n");
    return position == history.inForce().end() ? std::nullopt : std::optional(position->second.reference);
}

} // namespace

// Guards against a state that depends on the start of the log: proposals before the restatement have to be applied.
TEST_CASE("a reader that missed a version recovers that version and later records from a restatement")
{
    Log log;
    log.append(acceptedRecords(1, 0));
    const auto successor = acceptedRecords(2, 1);
    log.append(successor[0]);
    CHECK(log.restate().result == RecordResult::Repeated);
    CHECK(log.history.provenFrom("n") == 4);
    log.append(successor[1]);
    CHECK(inForce(log.readFrom(1)) == reference(1, 0));
    CHECK(inForce(log.readFrom(5)) == std::nullopt);
    CHECK(log.append(successor[2]).result == RecordResult::InForce);
    CHECK(log.history.provenFrom("n") == 0);
    for (std::uint64_t first = 0; first <= 3; ++first) {
        CHECK(inForce(log.readFrom(first)) == reference(2, 1));
    }
    log.restate();
    CHECK(log.history.provenFrom("n") == 7);
    CHECK(inForce(log.readFrom(7)) == reference(2, 1));
}

// Guards against a restatement that activates a rejected, old or unproven version.
TEST_CASE("a restatement does not change earlier decisions")
{
    Log log;
    log.append(acceptedRecords(1, 0));
    const auto old = log.history.inForce().at("n");
    log.append(acceptedRecords(2, 1));
    log.append(acceptedRecords(3, 1, 7));
    CHECK(inForce(log.history) == reference(2, 1));

    AcceptedVersion rejectedVersion{.reference = reference(3, 1, 7), .records = acceptedRecords(3, 1, 7), .offset = 8};
    CHECK(log.append(encodeRestatement(rejectedVersion)).result == RecordResult::Conflict);
    CHECK(log.append(encodeRestatement(old)).result == RecordResult::Conflict);
    auto forged = acceptedRecords(4, 2);
    forged[1] = Team.signOff(reference(4, 2), "alice");
    CHECK(log.append(encodeRestatement({.reference = reference(4, 2), .records = forged, .offset = 8})).result
          == RecordResult::Untrusted);
    rejectedVersion.offset = 1000;
    CHECK(log.append(encodeRestatement(rejectedVersion)).result == RecordResult::Untrusted);
    CHECK(log.append(R"({"type": "restatement", "offset": 1})").result == RecordResult::Malformed);
    CHECK(log.append(R"({"type": "restatement", "offset": 1, "proposal": {}, "sign_off": {}, "roll_out": {}})").result
          == RecordResult::Malformed);
    CHECK(inForce(log.history) == reference(2, 1));
}

TEST_CASE("a reader of any part of the log that contains the proof determines the version in force")
{
    rc::prop("for all mixes of versions, conflicts and restatements", [] {
        Log log;
        log.append(std::vector<std::string>(3, "other"));
        log.append(acceptedRecords(1, 0));
        std::uint64_t version = 1;
        for (const auto step : *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 4U))) {
            const auto before = log.records.size();
            if (step == 0) {
                log.append(acceptedRecords(version + 1, version));
                ++version;
            } else if (step == 1) {
                log.restate();
                RC_ASSERT(log.history.provenFrom("n") == before);
            } else if (step == 2) {
                log.append(acceptedRecords(version + 5, version - 1, 3));
            } else {
                log.append(std::string("other"));
            }
        }
        const auto proof = log.history.provenFrom("n");
        RC_ASSERT(proof.has_value());
        const auto first = *rc::gen::inRange<std::uint64_t>(0, log.records.size());
        const auto reader = log.readFrom(first);
        const auto readVersion = inForce(reader);
        if (first <= *proof) {
            RC_ASSERT(readVersion == inForce(log.history));
        }
    });
}
