#include "agentnetwork.h"
#include "verbenadock/keys/epochlog.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Verbenadock;
using namespace Verbenadock::Control;
using namespace std::chrono_literals;

namespace {

/// Agents that share one key-epochs stream.
class Agents : public Control::Test::AgentNetwork<Agents>
{
public:
    explicit Agents(const std::vector<std::string> &all)
        : ids(all)
    {
        for (const auto &id : this->ids) {
            this->add(id);
        }
        this->publish(this->ids);
    }

    void publish(const std::vector<std::string> &listed)
    {
        VmListRead list{.at = this->now, .members = {}, .leavingUpstreams = {}};
        for (const auto &id : listed) {
            list.members.push_back({.id = id, .address = id, .dataCentre = {}});
        }
        for (const auto &id : this->ids) {
            this->apply(id, list);
        }
    }

    void connectEntry(const std::string &id, std::uint64_t incarnation)
    {
        Hello hello;
        hello.role = PeerRole::Entry;
        hello.vmId = id;
        hello.incarnation = incarnation;
        hello.address = "127.0.0.1:9105";
        hello.dataCentre = "d";
        this->apply(id, EntryConnected{this->now, hello});
    }

    /// The newest epoch that was sent to the entry.
    std::optional<Keys::Epoch> epochAt(const std::string &id) const
    {
        const auto found = this->entryEpochs.find(id);
        if (found == this->entryEpochs.end() || found->second.epochs.empty()) {
            return std::nullopt;
        }
        return Keys::decodeEpoch(found->second.epochs.back().record);
    }

    std::set<Keys::MemberId> membersAt(const std::string &id) const
    {
        std::set<Keys::MemberId> members;
        if (const auto epoch = this->epochAt(id)) {
            for (const auto &member : epoch->members) {
                members.insert(member.id());
            }
        }
        return members;
    }

    std::vector<std::string> ids;
    std::vector<std::string> stream;
    std::set<std::string> withoutLog;
    /// Append attempts, failed ones included; the reducer receives the same event for both.
    std::size_t appends = 0;

    void handle(const std::string &id, const AgentEffect &effect)
    {
        if (const auto *toEntry = std::get_if<SendToEntry>(&effect)) {
            if (const auto *epochs = std::get_if<KeyEpochs>(&toEntry->message)) {
                this->entryEpochs[id] = *epochs;
            }
        } else if (std::holds_alternative<ReadLog>(effect)) {
            this->post(id, LogRecordsRead{.at = this->now, .records = {}});
        } else if (const auto *read = std::get_if<ReadEpochs>(&effect)) {
            this->answer(id, *read);
        } else if (const auto *append = std::get_if<AppendEpoch>(&effect)) {
            ++this->appends;
            if (!this->withoutLog.contains(id)) {
                this->stream.push_back(append->record);
            }
            this->post(id, EpochAppendEnded{this->now});
        }
    }

private:
    void answer(const std::string &id, const ReadEpochs &read)
    {
        if (this->withoutLog.contains(id)) {
            this->post(id, EpochsUnavailable{this->now});
            return;
        }
        EpochRecordsRead page{.at = this->now, .wall = {}, .first = 0, .next = this->stream.size(), .records = {}};
        for (auto offset = read.from; offset < this->stream.size(); ++offset) {
            page.records.push_back({.offset = offset, .data = this->stream[offset]});
        }
        this->post(id, page);
    }

    std::map<std::string, KeyEpochs> entryEpochs;
};

const std::vector<std::string> Ids{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"};

Agents agentsWithFirstEpoch()
{
    Agents agents(Ids);
    for (const auto &id : Ids) {
        agents.connectEntry(id, 7);
    }
    agents.run(5s);
    return agents;
}

} // namespace

// Guards against one append per VM when the whole fleet starts, and against entries with different member sets.
TEST_CASE("entries that start simultaneously need few epochs and all receive the newest")
{
    auto agents = agentsWithFirstEpoch();
    for (const auto &id : Ids) {
        CHECK(agents.membersAt(id).size() == Ids.size());
    }
    CHECK(agents.appends <= 4);
    const auto settled = agents.appends;
    agents.run(60s);
    CHECK(agents.appends == settled);
}

// Guards against an entry without epochs on a VM that cannot reach the log.
TEST_CASE("a VM without access to the log receives epochs from its peers")
{
    Agents agents(Ids);
    agents.withoutLog = {"vm-1", "vm-2", "vm-3"};
    for (const auto &id : Ids) {
        agents.connectEntry(id, 7);
    }
    agents.run(15s);
    CHECK(agents.membersAt("vm-1").size() == Ids.size());
    CHECK(agents.epochAt("vm-1") == agents.epochAt("vm-5"));
}

// Guards against key ownership that moves because of a suspicion or a platform fault.
TEST_CASE("members change only by the VM list or a newer process")
{
    auto agents = agentsWithFirstEpoch();
    const auto before = agents.epochAt("vm-1");
    REQUIRE(before);
    SECTION("a disconnected entry stays a member")
    {
        agents.apply("vm-2", EntryDisconnected{agents.now});
        agents.run(30s);
        CHECK(agents.epochAt("vm-1") == before);
    }
    SECTION("an empty VM list removes no member")
    {
        agents.publish({});
        agents.run(30s);
        CHECK(agents.epochAt("vm-1") == before);
    }
    SECTION("a Hello with an older incarnation is ignored")
    {
        agents.connectEntry("vm-2", 6);
        agents.run(30s);
        CHECK(agents.epochAt("vm-1") == before);
    }
    SECTION("a VM that is missing from the VM list is removed")
    {
        agents.publish({"vm-1", "vm-2", "vm-3", "vm-4"});
        agents.run(15s);
        CHECK_FALSE(agents.membersAt("vm-1").contains({"vm-5", 7}));
        CHECK(agents.membersAt("vm-1").size() == 4);
    }
    SECTION("a process with a newer incarnation replaces the older one")
    {
        agents.connectEntry("vm-2", 8);
        agents.run(15s);
        CHECK(agents.membersAt("vm-1").contains({"vm-2", 8}));
        CHECK_FALSE(agents.membersAt("vm-1").contains({"vm-2", 7}));
        CHECK(agents.epochAt("vm-1")->replaces == before->number);
    }
}

// Guards against a lost membership change when the preferred appenders cannot reach the log.
TEST_CASE("other members append when the preferred appenders cannot")
{
    for (const auto &reachable : Ids) {
        Agents agents(Ids);
        for (const auto &id : Ids) {
            if (id != reachable) {
                agents.withoutLog.insert(id);
            }
            agents.connectEntry(id, 7);
        }
        agents.run(20s);
        INFO("the log is reachable from " << reachable);
        CHECK(agents.membersAt("vm-1").size() == Ids.size());
    }
}
