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
    const auto versionReference = reference(version, replaces);
    return {Team.proposal(content(version), versionReference, "jana"),
            Team.signOff(versionReference, "petr"),
            Team.rollOut(versionReference, "jana")};
}

/// Agents that share one configuration stream.
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
        if (this->agentsWithoutLog.contains(id)) {
            this->post(id, LogUnavailable{this->now});
            return;
        }
        LogRecordsRead page{.at = this->now, .first = this->firstRetained, .next = this->log.size(), .records = {}};
        for (auto offset = std::max(read.from, this->firstRetained); offset < this->log.size(); ++offset) {
            page.records.push_back({.offset = offset, .data = this->log[offset]});
        }
        this->post(id, page);
    }

    void append(const std::vector<std::string> &records)
    {
        this->log.insert(this->log.end(), records.begin(), records.end());
    }

    /// Version in the last configuration update to the entry.
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

    std::size_t unhealthyVerdicts(const std::string &id)
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
    std::uint64_t firstRetained = 0;
    std::vector<TimePoint> restatementTimes;
    std::set<std::string> agentsWithoutLog;
};

} // namespace

// Guards against a VM that misses versions because it cannot read the log.
TEST_CASE("agents without the log get each version from their peers")
{
    Fleet fleet({"vm-1", "vm-2", "vm-3"});
    fleet.agentsWithoutLog = {"vm-2", "vm-3"};
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

// Guards against a peer that sends an old version or a version without a sign-off.
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
    const auto deliver = [&](const BundleTransfer &message) {
        fleet.apply("vm-1", PeerMessageReceived{fleet.now, "vm-2", message});
        return fleet.entryVersion("vm-1");
    };
    CHECK(deliver(transfer(2, acceptance(2, 1))) == 2);
    CHECK(deliver(transfer(1, acceptance(1, 0))) == 2);
    auto unsignedOff = acceptance(3, 2);
    unsignedOff.erase(unsignedOff.begin() + 1);
    CHECK(deliver(transfer(3, unsignedOff)) == 2);
    auto changed = transfer(3, acceptance(3, 2));
    changed.bundles[0].content += "# changed\n";
    CHECK(deliver(changed) == 2);
    CHECK(fleet.agents.at("vm-1").counters().refusedTransfers == 3);
    CHECK(deliver(transfer(3, acceptance(3, 2))) == 3);
}

TEST_CASE("reading continues after a retention gap and skips broken records")
{
    Fleet fleet({"vm-1"});
    fleet.append(acceptance(1, 0));
    fleet.run(1s);
    fleet.append({"lost", "lost", "broken"});
    fleet.firstRetained = 5;
    fleet.append(acceptance(2, 1));
    fleet.apply("vm-1", EntryConnected{fleet.now});
    fleet.run(1s);
    CHECK(fleet.entryVersion("vm-1") == 2);
    const auto &counters = fleet.agents.at("vm-1").counters();
    CHECK(counters.retentionGaps == 1);
    CHECK(counters.records.at("malformed") == 1);
    // The version is appended again, because the version that it replaces has expired.
    CHECK(fleet.log.size() >= 9);
    CHECK(fleet.reads["vm-1"].back().from == fleet.log.size());
}

// Guards against the loss of a version when its records expire, and against a flood of restatements in the log.
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
    fleet.firstRetained = 90;

    Fleet newFleet({"vm-9"});
    newFleet.log = fleet.log;
    newFleet.firstRetained = fleet.firstRetained;
    newFleet.apply("vm-9", EntryConnected{newFleet.now});
    newFleet.run(1s);
    CHECK(newFleet.entryVersion("vm-9") == 1);
    newFleet.append(acceptance(2, 1));
    newFleet.run(1s);
    CHECK(newFleet.entryVersion("vm-9") == 2);
}

// Guards against an endless series of restatements, each of which makes the log drop the one before.
TEST_CASE("a log that retains less than one version gets a bounded number of restatements")
{
    Fleet fleet({"vm-1", "vm-2", "vm-3"});
    fleet.append(acceptance(1, 0));
    fleet.run(2s);
    for (int second = 0; second < 60; ++second) {
        fleet.append({"other", "other"});
        fleet.firstRetained = fleet.log.size() - 2;
        fleet.run(1s);
    }
    CHECK(fleet.restatementTimes.size() >= 4);
    CHECK(fleet.restatementTimes.size() <= 24);
}

// Guards against overload of a recovering log by reads.
TEST_CASE("reads of an unavailable log back off and resume")
{
    Fleet fleet({"vm-1"});
    fleet.agentsWithoutLog = {"vm-1"};
    fleet.run(60s);
    const auto readsWhileUnavailable = fleet.reads["vm-1"].size();
    CHECK(readsWhileUnavailable >= 10);
    CHECK(readsWhileUnavailable <= 20);
    CHECK_FALSE(fleet.agents.at("vm-1").ready());
    fleet.agentsWithoutLog.clear();
    fleet.run(6s);
    CHECK(fleet.agents.at("vm-1").ready());
    CHECK(fleet.reads["vm-1"].size() >= readsWhileUnavailable + 3);
}

TEST_CASE("an entry receives the whole state when it connects")
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

// Guards against entries that keep sending requests to a draining upstream because they rarely receive its responses,
// and against a notice that circulates or never expires.
TEST_CASE("a drain notice from one entry reaches every entry once and expires")
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

// Guards against verdicts that are not forwarded by the collectors, and against a verdict by a single VM.
TEST_CASE("evidence of two VMs reaches every entry as a verdict")
{
    const std::vector<std::string> ids{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8"};
    Fleet fleet(ids);
    // The detector compares an upstream with its siblings, so the service needs several upstreams.
    std::string text = "[bundle]\nname = \"n\"\nversion = 1\n[services.s]\n";
    for (const std::string upstream : {"a", "b", "c", "d"}) {
        text += "[[services.s.upstreams]]\nid = \"" + upstream
                + "\"\nendpoint = \"127.0.0.1:" + std::to_string(upstream.front()) + "\"\ndata_centre = \"d\"\n";
    }
    text += "[[routes]]\nservice = \"s\"\nidempotent = true\n";
    const Bundles::VersionReference versionReference{
        .name = "n", .version = 1, .replaces = 0, .digest = Bundles::contentDigest(text)};
    fleet.append({Team.proposal(text, versionReference, "jana"),
                  Team.signOff(versionReference, "petr"),
                  Team.rollOut(versionReference, "jana")});
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
        CHECK(fleet.unhealthyVerdicts(id) == 0);
    }
    fleet.apply("vm-2", EvidenceReceived{fleet.now, report});
    for (const auto &id : ids) {
        INFO("entry of " << id);
        CHECK(fleet.unhealthyVerdicts(id) == 1);
    }
}
