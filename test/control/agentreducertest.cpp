#include "agentnetwork.h"
#include "bundle/operators.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace Verbenadock;
using namespace Verbenadock::Control;
using namespace Verbenadock::Bundles::Testing;
using namespace std::chrono_literals;

namespace {

const Operators Team({"jana", "petr"});

/// The three records that put a version in force.
std::vector<std::string> acceptance(std::uint64_t version, std::uint64_t replaces)
{
    const auto named = reference(version, replaces);
    return {Team.proposal(content(version), named, "jana"), Team.signOff(named, "petr"), Team.rollOut(named, "jana")};
}

/// Agents around one configuration stream.
class Fleet : public Control::Test::AgentNetwork<Fleet>
{
public:
    explicit Fleet(const std::vector<std::string> &ids)
    {
        VmListRead list{.at = this->now, .members = {}, .leavingUpstreams = {"127.0.0.8"}};
        for (const auto &id : ids) {
            AgentReducerSettings settings;
            settings.operators = Team.trusted();
            this->add(id, settings);
            list.members.push_back({.id = id, .address = id, .dataCentre = {}});
        }
        for (const auto &id : ids) {
            this->apply(id, list);
        }
    }

    void handle(const std::string &id, const AgentEffect &effect)
    {
        if (const auto *toEntry = std::get_if<SendToEntry>(&effect)) {
            this->entries[id].push_back(toEntry->message);
        } else if (const auto *read = std::get_if<ReadLog>(&effect)) {
            this->reads[id].push_back(*read);
            this->answer(id, *read);
        } else if (const auto *append = std::get_if<AppendLog>(&effect)) {
            this->log.push_back(append->data);
            this->restatementTimes.push_back(this->now);
        }
    }

    void answer(const std::string &id, const ReadLog &read)
    {
        if (this->withoutLog.contains(id)) {
            this->post(id, LogUnavailable{this->now});
            return;
        }
        LogRecordsRead page{.at = this->now, .first = this->first, .next = this->log.size(), .records = {}};
        for (auto offset = std::max(read.from, this->first); offset < this->log.size(); ++offset) {
            page.records.push_back({.offset = offset, .data = this->log[offset]});
        }
        this->post(id, page);
    }

    void append(const std::vector<std::string> &records)
    {
        this->log.insert(this->log.end(), records.begin(), records.end());
    }

    /// The version that the entry was given last.
    std::uint64_t entryVersion(const std::string &id)
    {
        std::uint64_t version = 0;
        for (const auto &message : this->entries[id]) {
            if (const auto *update = std::get_if<ConfigurationUpdate>(&message)) {
                version = update->bundles.back().version;
            }
        }
        return version;
    }

    std::size_t sickReports(const std::string &id)
    {
        std::size_t count = 0;
        for (const auto &message : this->entries[id]) {
            if (const auto *verdicts = std::get_if<HealthVerdicts>(&message)) {
                count += static_cast<std::size_t>(
                    std::count_if(verdicts->verdicts.begin(), verdicts->verdicts.end(), [](const auto &verdict) {
                        return verdict.sick;
                    }));
            }
        }
        return count;
    }

    std::map<std::string, std::vector<Message>> entries;
    std::map<std::string, std::vector<ReadLog>> reads;
    std::vector<std::string> log;
    std::uint64_t first = 0;
    std::vector<TimePoint> restatementTimes;
    std::set<std::string> withoutLog;
};

} // namespace

// Guards against a VM that stays behind because the log is unavailable to it.
TEST_CASE("agents without the log get each version from their peers")
{
    Fleet fleet({"vm-1", "vm-2", "vm-3"});
    fleet.withoutLog = {"vm-2", "vm-3"};
    for (const auto &[id, agent] : fleet.agents) {
        fleet.apply(id, EntryConnected{fleet.now});
    }
    fleet.append(acceptance(1, 0));
    fleet.run(2s);
    for (const std::string id : {"vm-1", "vm-2", "vm-3"}) {
        CHECK(fleet.entryVersion(id) == 1);
        CHECK(fleet.agents.at(id).ready());
    }
    fleet.append(acceptance(2, 1));
    fleet.run(400ms);
    CHECK(fleet.entryVersion("vm-3") == 2);
    CHECK(fleet.agents.at("vm-1").counters().adoptedTransfers == 0);
    CHECK(fleet.agents.at("vm-3").counters().adoptedTransfers == 2);
}

// Guards against a peer that brings back an old version or gives one that nobody signed off.
TEST_CASE("old and unproven versions from a peer are refused")
{
    Fleet fleet({"vm-1"});
    fleet.apply("vm-1", EntryConnected{fleet.now});
    const auto transfer = [](std::uint64_t version, const std::vector<std::string> &records) {
        return BundleTransfer{{{.name = "n",
                                .version = version,
                                .digest = reference(version, version - 1).digest,
                                .content = content(version),
                                .records = records,
                                .offset = 2,
                                .replaces = version - 1}}};
    };
    const auto give = [&](const BundleTransfer &message) {
        fleet.apply("vm-1", PeerMessageReceived{fleet.now, "vm-2", message});
        return fleet.entryVersion("vm-1");
    };
    CHECK(give(transfer(2, acceptance(2, 1))) == 2);
    CHECK(give(transfer(1, acceptance(1, 0))) == 2);
    auto unsignedOff = acceptance(3, 2);
    unsignedOff.erase(unsignedOff.begin() + 1);
    CHECK(give(transfer(3, unsignedOff)) == 2);
    auto changed = transfer(3, acceptance(3, 2));
    changed.bundles[0].content += "# changed\n";
    CHECK(give(changed) == 2);
    CHECK(fleet.agents.at("vm-1").counters().refusedTransfers == 3);
    CHECK(give(transfer(3, acceptance(3, 2))) == 3);
}

TEST_CASE("reading continues after a retention gap and skips broken records")
{
    Fleet fleet({"vm-1"});
    fleet.append(acceptance(1, 0));
    fleet.run(1s);
    fleet.append({"lost", "lost", "broken"});
    fleet.first = 5;
    fleet.append(acceptance(2, 1));
    fleet.apply("vm-1", EntryConnected{fleet.now});
    fleet.run(1s);
    CHECK(fleet.entryVersion("vm-1") == 2);
    const auto &counters = fleet.agents.at("vm-1").counters();
    CHECK(counters.retentionGaps == 1);
    CHECK(counters.records.at("malformed") == 1);
    // The version is appended again, since the one that it replaces has expired.
    CHECK(fleet.log.size() >= 9);
    CHECK(fleet.reads["vm-1"].back().from == fleet.log.size());
}

// Guards against a version that is lost with its records, and against a fleet that floods the log with restatements.
TEST_CASE("a version is appended again before it expires, and a VM that has only the log gets it")
{
    Fleet fleet({"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8"});
    fleet.append(acceptance(1, 0));
    fleet.run(60s);
    CHECK(fleet.restatementTimes.empty());
    fleet.append(std::vector<std::string>(97, "other"));
    fleet.run(60s);
    CHECK_FALSE(fleet.restatementTimes.empty());
    CHECK(fleet.restatementTimes.size() <= 2);
    fleet.first = 90;

    Fleet fresh({"vm-9"});
    fresh.log = fleet.log;
    fresh.first = fleet.first;
    fresh.apply("vm-9", EntryConnected{fresh.now});
    fresh.run(1s);
    CHECK(fresh.entryVersion("vm-9") == 1);
    fresh.append(acceptance(2, 1));
    fresh.run(1s);
    CHECK(fresh.entryVersion("vm-9") == 2);
}

// Guards against restatements that push each other out of a log without a pause.
TEST_CASE("a log that retains less than one version gets a bounded number of restatements")
{
    Fleet fleet({"vm-1", "vm-2", "vm-3"});
    fleet.append(acceptance(1, 0));
    fleet.run(2s);
    for (int second = 0; second < 60; ++second) {
        fleet.append({"other", "other"});
        fleet.first = fleet.log.size() - 2;
        fleet.run(1s);
    }
    CHECK(fleet.restatementTimes.size() >= 4);
    CHECK(fleet.restatementTimes.size() <= 24);
}

// Guards against a fleet that overloads a log which is about to recover.
TEST_CASE("reads of an unavailable log are spaced out and resume")
{
    Fleet fleet({"vm-1"});
    fleet.withoutLog = {"vm-1"};
    fleet.run(60s);
    const auto during = fleet.reads["vm-1"].size();
    CHECK(during >= 10);
    CHECK(during <= 20);
    CHECK_FALSE(fleet.agents.at("vm-1").ready());
    fleet.withoutLog.clear();
    fleet.run(6s);
    CHECK(fleet.agents.at("vm-1").ready());
    CHECK(fleet.reads["vm-1"].size() >= during + 3);
}

TEST_CASE("an entry gets the whole state when it connects")
{
    Fleet fleet({"vm-1"});
    fleet.append(acceptance(1, 0));
    fleet.run(1s);
    CHECK(fleet.entries["vm-1"].empty());
    fleet.apply("vm-1", EntryConnected{fleet.now});
    const auto &messages = fleet.entries["vm-1"];
    REQUIRE(messages.size() == 4);
    CHECK(std::get<ConfigurationUpdate>(messages[0]).bundles.at(0).content == content(1));
    CHECK(messages[1] == Message(LeavingUpdate{{"127.0.0.8"}}));
    CHECK(std::get<HealthVerdicts>(messages[2]).complete);
    CHECK(messages[3] == Message(KeyEpochs{true, {}}));
}

// Guards against entries that go on sending work to a draining upstream because they rarely hear from it, and against a
// notice that circulates or holds for ever.
TEST_CASE("a drain that one entry heard of reaches every entry once and ends")
{
    const std::vector<std::string> ids{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8"};
    Fleet fleet(ids);
    fleet.run(2s);
    for (const auto &id : ids) {
        fleet.apply(id, EntryConnected{fleet.now});
        fleet.entries[id].clear();
    }
    const DrainNotice notice{{{.endpoint = "127.0.1.1:8000", .age = 1s}}};
    fleet.apply("vm-3", DrainsReceived{fleet.now, notice});
    fleet.apply("vm-3", DrainsReceived{fleet.now, notice});
    const Message leaving = LeavingUpdate{{"127.0.0.8", "127.0.1.1:8000"}};
    for (const auto &id : ids) {
        INFO(id);
        CHECK(fleet.entries[id] == std::vector{leaving});
    }
    fleet.run(61s);
    for (const auto &id : ids) {
        INFO(id);
        CHECK(fleet.entries[id] == std::vector{leaving, Message(LeavingUpdate{{"127.0.0.8"}})});
    }
}

// Guards against verdicts that do not leave the collectors, and against one VM that decides alone.
TEST_CASE("evidence of two VMs reaches every entry as a verdict")
{
    const std::vector<std::string> ids{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8"};
    Fleet fleet(ids);
    // Siblings are the reference, so the service needs several upstreams.
    std::string text = "[bundle]\nname = \"n\"\nversion = 1\n[services.s]\n";
    for (const std::string upstream : {"a", "b", "c", "d"}) {
        text += "[[services.s.upstreams]]\nid = \"" + upstream
                + "\"\nendpoint = \"127.0.0.1:" + std::to_string(upstream.front()) + "\"\ndata_centre = \"d\"\n";
    }
    text += "[[routes]]\nservice = \"s\"\nidempotent = true\n";
    const Bundles::VersionReference named{
        .name = "n", .version = 1, .replaces = 0, .digest = Bundles::contentDigest(text)};
    fleet.append({Team.proposal(text, named, "jana"), Team.signOff(named, "petr"), Team.rollOut(named, "jana")});
    for (const auto &id : ids) {
        fleet.apply(id, EntryConnected{fleet.now});
    }
    fleet.run(2s);
    REQUIRE(fleet.entryVersion("vm-8") == 1);
    EvidenceReport report;
    for (const std::string upstream : {"a", "b", "c", "d"}) {
        const auto cause = upstream == "a" ? Health::Cause::Reset : Health::Cause::Success;
        report.upstreams.push_back({.upstream = {"n", "s", upstream}, .counts = {{cause, 30}}, .latencySum = 30000});
    }
    fleet.apply("vm-1", EvidenceReceived{fleet.now, report});
    for (const auto &id : ids) {
        CHECK(fleet.sickReports(id) == 0);
    }
    fleet.apply("vm-2", EvidenceReceived{fleet.now, report});
    for (const auto &id : ids) {
        INFO("entry of " << id);
        CHECK(fleet.sickReports(id) == 1);
    }
}
