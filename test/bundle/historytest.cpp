#include "verbenadock/bundle/history.h"
#include "operators.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <optional>
#include <utility>

using namespace Verbenadock::Bundles;
using namespace Verbenadock::Bundles::Testing;

namespace {

const Operators Team({"alice", "bob", "carol"});

/// A log with its fold.
struct Log
{
    History history{Team.trusted()};
    std::uint64_t next = 0;

    RecordResult append(const std::string &data)
    {
        return this->history.apply(this->next++, data).result;
    }

    void accept(std::uint64_t version, std::uint64_t replaces, unsigned variant = 0)
    {
        const auto what = reference(version, replaces, variant);
        REQUIRE(this->append(Team.proposal(content(version, variant), what, "alice")) == RecordResult::Proposed);
        REQUIRE(this->append(Team.signOff(what, "bob")) == RecordResult::SignedOff);
        REQUIRE(this->append(Team.rollOut(what, "carol")) == RecordResult::InForce);
    }

    std::uint64_t version() const
    {
        const auto position = this->history.inForce().find("n");
        return position == this->history.inForce().end() ? 0 : position->second.reference.version;
    }
};

} // namespace

TEST_CASE("a proposal that another operator signed off comes into force with its proof")
{
    Log log;
    log.accept(1, 0);
    const auto accepted = log.history.inForce().at("n");
    CHECK(accepted.reference == reference(1, 0));
    CHECK(accepted.content == content(1));
    CHECK(accepted.records.size() == 3);
    CHECK(accepted.offset == 2);
    CHECK(log.history.pending().empty());
    log.accept(5, 1);
    CHECK(log.version() == 5);
}

// Guards against one person who changes the configuration alone, also under two names.
TEST_CASE("the author cannot sign off, and nothing is rolled out without a sign-off")
{
    auto trusted = Team.trusted();
    trusted.push_back({.name = "alias", .publicKey = trusted[0].publicKey});
    History history(trusted);
    const auto what = reference(1, 0);
    CHECK(history.apply(0, Team.signOff(what, "bob")).result == RecordResult::NotAllowed);
    CHECK(history.apply(1, Team.rollOut(what, "bob")).result == RecordResult::NotAllowed);
    CHECK(history.apply(2, Team.proposal(content(1), what, "alice")).result == RecordResult::Proposed);
    CHECK(history.apply(3, Team.signOff(what, "alice")).result == RecordResult::NotAllowed);
    CHECK(history.apply(4, Team.record(SignOff{what, "alias", {}}, "alice")).result == RecordResult::NotAllowed);
    CHECK(history.apply(5, Team.rollOut(what, "bob")).result == RecordResult::NotAllowed);
    CHECK(history.inForce().empty());
    REQUIRE(history.pending("n").size() == 1);
    CHECK(history.pending("n")[0].signers.empty());
}

// Guards against operators who roll out at the same moment: exactly one version may win.
TEST_CASE("of two signed-off proposals the first roll-out wins and the other is a conflict")
{
    Log log;
    log.accept(1, 0);
    const auto first = reference(2, 1, 1);
    const auto second = reference(2, 1, 2);
    CHECK(log.append(Team.proposal(content(2, 1), first, "alice")) == RecordResult::Proposed);
    CHECK(log.append(Team.proposal(content(2, 2), second, "bob")) == RecordResult::Proposed);
    CHECK(log.append(Team.signOff(first, "carol")) == RecordResult::SignedOff);
    CHECK(log.append(Team.signOff(second, "carol")) == RecordResult::SignedOff);
    CHECK(log.history.proposal("n", 2)->reference == second);
    CHECK(log.append(Team.rollOut(second, "bob")) == RecordResult::InForce);
    CHECK(log.append(Team.rollOut(first, "alice")) == RecordResult::Conflict);
    CHECK(log.history.inForce().at("n").reference == second);
}

// Guards against a change that was made on top of a version that is no longer in force, and against going back.
TEST_CASE("a proposal that replaces another version than the one in force is a conflict")
{
    Log log;
    log.accept(3, 0);
    for (const auto &what : {reference(4, 0), reference(4, 2), reference(3, 3), reference(2, 3)}) {
        INFO("version " << what.version << " replaces " << what.replaces);
        CHECK(log.append(Team.proposal(content(what.version), what, "alice")) == RecordResult::Conflict);
    }
}

// Guards against an append whose answer was lost: the operator repeats it, and it must neither fail nor act twice.
TEST_CASE("repeated records have no effect, before and after the version is in force")
{
    Log log;
    const auto what = reference(1, 0);
    const std::string records[]
        = {Team.proposal(content(1), what, "alice"), Team.signOff(what, "bob"), Team.rollOut(what, "carol")};
    for (const auto &record : records) {
        log.append(record);
        CHECK(log.append(record) == RecordResult::Repeated);
    }
    const auto accepted = log.history.inForce();
    log.accept(2, 1);
    for (const auto &record : records) {
        CHECK(log.append(record) == RecordResult::Repeated);
    }
    CHECK(log.version() == 2);
    // Another operator with the same roll-out was simply too late.
    CHECK(log.append(Team.rollOut(reference(2, 1), "bob")) == RecordResult::Conflict);
}

// A proposal that lost against another version may be proposed again on top of the winner, with the same content.
TEST_CASE("the same content can be proposed again with another replaced version")
{
    Log log;
    CHECK(log.append(Team.proposal(content(9), reference(9, 0), "alice")) == RecordResult::Proposed);
    log.accept(1, 0);
    log.accept(9, 1);
    CHECK(log.version() == 9);
}

TEST_CASE("records that are forged, from strangers or with other content than they claim have no effect")
{
    Log log;
    const auto what = reference(1, 0);
    const Operators strangers({"mallory"});
    CHECK(log.append(strangers.proposal(content(1), what, "mallory")) == RecordResult::Untrusted);
    CHECK(log.append(Team.record(Proposal{what, content(1), "alice", {}}, "bob")) == RecordResult::Untrusted);
    CHECK(log.append(Team.proposal(content(1, 7), what, "alice")) == RecordResult::Malformed);
    auto wrong = reference(2, 0);
    wrong.digest = contentDigest(content(1));
    CHECK(log.append(Team.proposal(content(1), wrong, "alice")) == RecordResult::Malformed);
    const std::string broken = "[bundle]\n";
    CHECK(log.append(Team.proposal(broken, {"n", 1, 0, contentDigest(broken)}, "alice")) == RecordResult::Malformed);
    CHECK(log.append("garbage") == RecordResult::Malformed);
    CHECK(log.history.pending().empty());
    for (const auto &entry : log.history.entries()) {
        CHECK_FALSE(entry.reason.empty());
    }
}

// Guards against a restarted VM that believes a peer without proof, or that goes back to an older version.
TEST_CASE("a version from a peer is taken over only with a complete proof and only if it is newer")
{
    Log log;
    log.accept(1, 0);
    const auto old = log.history.inForce().at("n");
    log.accept(2, 1);
    const auto proof = log.history.inForce().at("n");

    const auto refused = [&proof](const auto &change) {
        History fresh(Team.trusted());
        auto copy = proof;
        change(copy);
        return !fresh.adopt(copy) && fresh.inForce().empty();
    };
    CHECK(refused([](auto &version) {
        version.records.pop_back();
    }));
    CHECK(refused([](auto &version) {
        version.content += "\n";
    }));
    CHECK(refused([](auto &version) {
        version.reference.version = 3;
    }));
    CHECK(refused([&old](auto &version) {
        version.records[1] = old.records[1];
    }));
    CHECK(refused([](auto &version) {
        version.records[1] = version.records[2];
    }));
    CHECK(refused([](auto &version) {
        version.records[1] = Team.signOff(version.reference, "alice");
    }));
    CHECK(refused([](auto &version) {
        version.records[2] = Team.record(RollOut{version.reference, "carol", {}}, "bob");
    }));

    History fresh(Team.trusted());
    CHECK(fresh.adopt(proof));
    CHECK_FALSE(fresh.adopt(old));
    CHECK_FALSE(fresh.adopt(proof));
    CHECK(fresh.inForce() == log.history.inForce());
}

// Guards against memory that grows with the log.
TEST_CASE("the history keeps the newest 1000 entries")
{
    Log log;
    log.accept(1, 0);
    for (unsigned count = 0; count < 1200; ++count) {
        log.append("garbage");
    }
    REQUIRE(log.history.entries().size() == 1000);
    CHECK(log.history.entries().back().offset == 1202);
    CHECK(log.history.entries("n").empty());
    CHECK(log.history.inForce().size() == 1);
}

namespace {

struct Step
{
    unsigned kind = 0;
    /// The version and the one that it replaces.
    std::pair<std::uint64_t, std::uint64_t> versions;
    unsigned variant = 0;
    unsigned person = 0;

    auto operator<=>(const Step &) const = default;
};

std::string recordOf(const Step &step)
{
    static const std::vector<std::string> Names = {"alice", "bob", "carol"};
    const auto what = reference(step.versions.first, step.versions.second, step.variant);
    const auto &name = Names[step.person];
    return step.kind == 0   ? Team.proposal(content(step.versions.first, step.variant), what, name)
           : step.kind == 1 ? Team.signOff(what, name)
                            : Team.rollOut(what, name);
}

/// Records in which proposals, sign-offs and roll-outs of few versions meet in random order.
std::vector<std::string> randomRecords()
{
    // Mostly versions that replace the one before, so that many of them come into force. Small sizes would give
    // little but proposals, hence the nominal size.
    const auto versions = rc::gen::weightedElement<std::pair<std::uint64_t, std::uint64_t>>(
        {{4, {1, 0}}, {4, {2, 1}}, {2, {3, 2}}, {1, {2, 0}}, {1, {3, 1}}, {1, {1, 1}}});
    const auto step = rc::gen::construct<Step>(rc::gen::inRange(0u, 3u),
                                               versions,
                                               rc::gen::weightedElement<unsigned>({{3, 0}, {1, 1}}),
                                               rc::gen::inRange(0u, 3u));
    std::vector<std::string> records;
    for (const auto &item : *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<Step>>(60, step))) {
        records.push_back(recordOf(item));
    }
    return records;
}

/// Whether another operator than the author had signed the version off before the offset of its roll-out.
bool hasSignOff(const std::vector<std::string> &records, const AcceptedVersion &version)
{
    const auto author = operatorOf(decodeRecord(version.records[0]));
    for (std::uint64_t offset = 0; offset < version.offset; ++offset) {
        const auto record = decodeRecord(records[offset]);
        if (kindOf(record) == "sign-off" && referenceOf(record) == version.reference && operatorOf(record) != author) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("in any order of records the version in force rises only, always with a sign-off by another operator")
{
    unsigned acceptances = 0;
    rc::prop("rises with sign-offs", [&acceptances]() {
        const auto records = randomRecords();
        Log log;
        std::uint64_t highest = 0;
        for (const auto &record : records) {
            const auto result = log.append(record);
            RC_ASSERT((result == RecordResult::InForce) == (log.version() > highest));
            RC_ASSERT(log.version() >= highest);
            highest = log.version();
            if (result == RecordResult::InForce) {
                RC_ASSERT(hasSignOff(records, log.history.inForce().at("n")));
                ++acceptances;
            }
        }
    });
    // Without acceptances the property would hold trivially.
    CHECK(acceptances > 50);
}

// Guards against VMs that disagree because one read the whole log and the other joined through a peer.
TEST_CASE("folds agree, whether they read the whole log or take over a version first and read on from anywhere before")
{
    rc::prop("folds agree", []() {
        const auto records = randomRecords();
        const auto split = *rc::gen::inRange<std::size_t>(0, records.size() + 1);
        Log whole;
        std::optional<AcceptedVersion> accepted;
        for (std::size_t offset = 0; offset < records.size(); ++offset) {
            whole.append(records[offset]);
            if (offset < split && whole.version() > 0) {
                accepted = whole.history.inForce().at("n");
            }
        }
        Log joined;
        if (accepted) {
            RC_ASSERT(joined.history.adopt(*accepted));
            joined.next = *rc::gen::inRange<std::uint64_t>(0, accepted->offset + 2);
        }
        while (joined.next < records.size()) {
            joined.append(records[joined.next]);
        }
        RC_ASSERT(joined.history.inForce() == whole.history.inForce());
        RC_ASSERT(joined.history.pending() == whole.history.pending());
    });
}
