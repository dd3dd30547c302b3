#include "verbenadock/bundle/restatement.h"
#include "operators.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Verbenadock::Bundles;
using namespace Verbenadock::Bundles::Testing;

namespace {

const Operators Team({"alice", "bob", "carol"});

std::vector<std::string> acceptance(std::uint64_t version, std::uint64_t replaces, unsigned variant = 0)
{
    const auto what = reference(version, replaces, variant);
    return {Team.proposal(content(version, variant), what, "alice"),
            Team.signOff(what, "bob"),
            Team.rollOut(what, "carol")};
}

/// The records of a log, all of which one reader has applied.
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

    /// What somebody knows who reads from this offset on.
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

// Guards against a fold that depends on where the log begins: what was proposed before the restatement has to count.
TEST_CASE("a reader that missed a version takes it from a restatement with what came in between")
{
    Log log;
    log.append(acceptance(1, 0));
    const auto next = acceptance(2, 1);
    log.append(next[0]);
    CHECK(log.restate().result == RecordResult::Repeated);
    CHECK(log.history.provenFrom("n") == 4);
    log.append(next[1]);
    CHECK(inForce(log.readFrom(1)) == reference(1, 0));
    CHECK(inForce(log.readFrom(5)) == std::nullopt);
    CHECK(log.append(next[2]).result == RecordResult::InForce);
    CHECK(log.history.provenFrom("n") == 0);
    for (std::uint64_t first = 0; first <= 3; ++first) {
        CHECK(inForce(log.readFrom(first)) == reference(2, 1));
    }
    log.restate();
    CHECK(log.history.provenFrom("n") == 7);
    CHECK(inForce(log.readFrom(7)) == reference(2, 1));
}

// Guards against a restatement that brings a version in force which was refused, is old, or is not proven.
TEST_CASE("a restatement decides nothing anew")
{
    Log log;
    log.append(acceptance(1, 0));
    const auto old = log.history.inForce().at("n");
    log.append(acceptance(2, 1));
    log.append(acceptance(3, 1, 7));
    CHECK(inForce(log.history) == reference(2, 1));

    AcceptedVersion loser{.reference = reference(3, 1, 7), .records = acceptance(3, 1, 7), .offset = 8};
    CHECK(log.append(encodeRestatement(loser)).result == RecordResult::Conflict);
    CHECK(log.append(encodeRestatement(old)).result == RecordResult::Conflict);
    auto forged = acceptance(4, 2);
    forged[1] = Team.signOff(reference(4, 2), "alice");
    CHECK(log.append(encodeRestatement({.reference = reference(4, 2), .records = forged, .offset = 8})).result
          == RecordResult::Untrusted);
    loser.offset = 1000;
    CHECK(log.append(encodeRestatement(loser)).result == RecordResult::Untrusted);
    CHECK(log.append(R"({"type": "restatement", "offset": 1})").result == RecordResult::Malformed);
    CHECK(log.append(R"({"type": "restatement", "offset": 1, "proposal": {}, "sign_off": {}, "roll_out": {}})").result
          == RecordResult::Malformed);
    CHECK(inForce(log.history) == reference(2, 1));
}

TEST_CASE("a reader of any part of the log that holds the proof knows what is in force")
{
    rc::prop("for all mixes of versions, conflicts and restatements", [] {
        Log log;
        log.append(std::vector<std::string>(3, "other"));
        log.append(acceptance(1, 0));
        std::uint64_t version = 1;
        for (const auto step : *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 4U))) {
            const auto before = log.records.size();
            if (step == 0) {
                log.append(acceptance(version + 1, version));
                ++version;
            } else if (step == 1) {
                log.restate();
                RC_ASSERT(log.history.provenFrom("n") == before);
            } else if (step == 2) {
                log.append(acceptance(version + 5, version - 1, 3));
            } else {
                log.append(std::string("other"));
            }
        }
        const auto proof = log.history.provenFrom("n");
        RC_ASSERT(proof.has_value());
        const auto first = *rc::gen::inRange<std::uint64_t>(0, log.records.size());
        const auto reader = log.readFrom(first);
        const auto known = inForce(reader);
        if (first <= *proof) {
            RC_ASSERT(known == inForce(log.history));
        }
    });
}
