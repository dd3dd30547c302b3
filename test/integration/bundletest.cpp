#include "harness/fleet.h"
#include "harness/fleetsettings.h"
#include "verbenadock/bundle/record.h"
#include "verbenadock/bundle/signature.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <future>
#include <set>

using namespace Verbenadock;
using namespace Verbenadock::Test;

namespace {

// A version has to be in force everywhere within this time.
constexpr auto InForceLimit = std::chrono::seconds(5);
constexpr auto RecoveryLimit = std::chrono::seconds(20);

FleetSpec smallFleet(unsigned vms, bool faultProxy = false)
{
    return {.services = {{.name = "katalog", .upstreams = 1}}, .vms = vms, .faultProxy = faultProxy};
}

std::string digestIn(const Json &dump)
{
    const auto &bundles = dump.at("bundles");
    return bundles.empty() ? std::string() : bundles[0].at("digest").get<std::string>();
}

void waitForDigest(const Fleet &fleet, const std::string &digest, Duration limit = InForceLimit)
{
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        waitFor("the bundle " + digest + " at " + fleet.vms[vm].id, limit, [&] {
            return digestIn(fleet.entryDump(vm)) == digest && digestIn(fleet.agentDump(vm)) == digest;
        });
    }
}

/// Waits until every agent has read what is in the log now.
void waitForReaders(const Fleet &fleet)
{
    const auto next = fleet.logState()["streams"]["configuration"]["next"].get<std::uint64_t>();
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        waitFor("the reader at " + fleet.vms[vm].id, RecoveryLimit, [&] {
            return fleet.agentDump(vm)["log"]["next_offset"] >= next;
        });
    }
}

void checkVersions(const Fleet &fleet, std::uint64_t version)
{
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        INFO("VM " << fleet.vms[vm].id);
        CHECK(bundleVersion(fleet.entryDump(vm)) == version);
        CHECK(bundleVersion(fleet.agentDump(vm)) == version);
    }
}

void restart(Fleet &fleet, std::size_t vm)
{
    fleet.vms[vm].agent->signal(SIGKILL);
    fleet.vms[vm].entry->signal(SIGKILL);
    fleet.startAgent(vm);
    fleet.startEntry(vm);
}

/// Signs a record with an operator's key, without the checks of verbenadock-ctl.
std::string signedRecord(const Fleet &fleet, const std::string &keyOf, const Bundles::Record &record)
{
    std::ifstream file(fleet.operatorKey(keyOf));
    const std::string pem{std::istreambuf_iterator<char>(file), {}};
    const auto key = Bundles::parsePrivateKey(pem);
    return Bundles::encodeRecord(Bundles::withSignature(record, Bundles::sign(key, Bundles::signedText(record))));
}

struct Offer
{
    std::string content;
    Bundles::VersionReference reference;
};

Offer offer(const Fleet &fleet, unsigned version, const std::string &comment)
{
    const auto content = fleet.bundleText(version) + "# " + comment + "\n";
    return {
        content,
        {.name = BundleName, .version = version, .replaces = version - 1, .digest = Bundles::contentDigest(content)}};
}

CtlAnswer rollOut(Fleet &fleet, const std::string &name, const std::string &digest)
{
    return fleet.tryCtl(name, {"roll-out", BundleName, "2", "--digest", digest});
}

} // namespace

// Guards against two operators who both believe that their version is in force, and against VMs that disagree.
TEST_CASE("of two versions rolled out at the same moment one is in force on every VM and the other operator is told")
{
    Fleet fleet(PROGRAM_DIR, smallFleet(5));
    fleet.start();
    fleet.rollOut(1);
    const auto first = offer(fleet, 2, "first");
    const auto second = offer(fleet, 2, "second");
    fleet.ctl("jana", {"propose", fleet.writeText("first.toml", first.content)});
    fleet.ctl("petr", {"propose", fleet.writeText("second.toml", second.content)});
    fleet.ctl("petr", {"sign-off", BundleName, "2", "--digest", first.reference.digest});
    fleet.ctl("jana", {"sign-off", BundleName, "2", "--digest", second.reference.digest});
    // Both read the log before either of them appends.
    fleet.setLog({{"delayMs", 400}});
    auto race = std::async(std::launch::async, [&] {
        return rollOut(fleet, "jana", first.reference.digest);
    });
    const auto petr = rollOut(fleet, "petr", second.reference.digest);
    const auto jana = race.get();
    fleet.setLog({{"delayMs", 0}});

    INFO(jana.text << petr.text);
    CHECK(std::set<int>{jana.status, petr.status} == std::set<int>{0, 3});
    CHECK_THAT(jana.status == 0 ? petr.text : jana.text, Catch::Contains("conflict"));
    waitForDigest(fleet, jana.status == 0 ? first.reference.digest : second.reference.digest);
    restart(fleet, 0);
    waitForDigest(fleet, jana.status == 0 ? first.reference.digest : second.reference.digest, RecoveryLimit);
}

// Guards against an operator whose repeated command has a second effect, and against VMs that go back to a version when
// its records appear in the log again.
TEST_CASE("records that stand in the log twice have no second effect and never make a VM go back")
{
    Fleet fleet(PROGRAM_DIR, smallFleet(3));
    fleet.start();
    fleet.setLog({{"loseAppendAnswers", 3}});
    fleet.rollOut(1);
    CHECK(fleet.logState()["streams"]["configuration"]["next"] == 3);
    CHECK(fleet.tryCtl("jana", {"roll-out", BundleName, "1"}).status == 0);
    CHECK(fleet.logState()["streams"]["configuration"]["next"] == 3);
    fleet.rollOut(2);
    for (const auto &record : fleet.records()) {
        fleet.appendRecord(record);
    }
    waitForReaders(fleet);
    checkVersions(fleet, 2);
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        const auto dump = fleet.agentDump(vm);
        INFO(dump["records"]);
        // A version may arrive from a peer before its roll-out record is read.
        CHECK(dump["records"].value("in-force", 0) + dump["adopted_transfers"].get<int>() == 2);
    }
    std::map<std::string, int> results;
    const auto history = Json::parse(fleet.ctl("petr", {"--json", "history"}));
    for (const auto &entry : history["entries"]) {
        ++results[entry["result"]];
    }
    CHECK(results == std::map<std::string, int>{{"proposed", 2}, {"signed-off", 2}, {"in-force", 2}, {"repeated", 6}});
    restart(fleet, 1);
    waitForReaders(fleet);
    waitFor("the restarted entry", RecoveryLimit, [&] {
        return bundleVersion(fleet.entryDump(1)) != 0;
    });
    checkVersions(fleet, 2);
}

// Guards against a VM that cannot serve because it was replaced while the log is away.
TEST_CASE("a VM that restarts while the log is away gets the bundle from its peers and serves")
{
    Fleet fleet(PROGRAM_DIR, smallFleet(3));
    fleet.start();
    fleet.rollOut(1);
    const auto outage = GENERATE(as<std::string>(), "refuse", "hang");
    fleet.setLog({{"outage", outage}});
    restart(fleet, 0);
    waitFor("an answer of the restarted VM", RecoveryLimit, [&] {
        return Net::fetchBlocking(fleet.vms[0].entryListen(), {.target = "/katalog/1"}, RecoveryLimit).status == 200;
    });
    checkVersions(fleet, 1);
    const auto dump = fleet.agentDump(0);
    CHECK(dump["adopted_transfers"] == 1);
    CHECK(dump["log"]["next_offset"] == 0);
    fleet.setLog({{"outage", "none"}});
    fleet.rollOut(2);
}

// Guards against a version in force that one person alone, or nobody who is trusted, has decided on.
TEST_CASE("an unsigned, self-approved or broken record is skipped, counted and shown")
{
    Fleet fleet(PROGRAM_DIR, smallFleet(3));
    fleet.start();
    fleet.rollOut(1);
    const auto [content, reference] = offer(fleet, 2, "alone");
    const Bundles::SignOff signOff{reference, "petr", {}};
    const Bundles::RollOut rollOut{reference, "jana", {}};
    fleet.appendRecord(signedRecord(fleet, "jana", Bundles::Proposal{reference, content, "jana", {}}));
    fleet.appendRecord(signedRecord(fleet, "jana", rollOut));
    fleet.appendRecord(signedRecord(fleet, "jana", Bundles::SignOff{reference, "jana", {}}));
    fleet.appendRecord(signedRecord(fleet, "jana", signOff));
    fleet.appendRecord(Bundles::encodeRecord(Bundles::Record(signOff)));
    fleet.appendRecord(signedRecord(fleet, "jana", rollOut));
    fleet.appendRecord("{\"type\": \"roll-out\", \"name\": ");
    waitForReaders(fleet);
    checkVersions(fleet, 1);
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        const auto dump = fleet.agentDump(vm);
        const auto &records = dump["records"];
        CHECK(records.value("in-force", 0) + dump["adopted_transfers"].get<int>() == 1);
        CHECK(records["not-allowed"] == 3);
        CHECK(records["untrusted"] == 2);
        CHECK(records["malformed"] == 1);
    }
    const auto entries = Json::parse(fleet.ctl("petr", {"--json", "history"}))["entries"];
    REQUIRE(entries.size() == 10);
    CHECK(entries[9]["result"] == "malformed");
    CHECK_THAT(entries[9]["reason"].get<std::string>(), Catch::Contains("JSON"));
    CHECK_THAT(fleet.ctl("petr", {"history"}), Catch::Contains("malformed") && Catch::Contains("untrusted"));
    // The proposal is still open, and the right way still leads to force.
    CHECK(fleet.tryCtl("petr", {"sign-off", BundleName, "2"}).status == 0);
    CHECK(fleet.tryCtl("jana", {"roll-out", BundleName, "2", "--wait", "--wait-seconds", "5"}).status == 0);
    waitForDigest(fleet, reference.digest);
}

// Guards against a version that is lost when its records expire from the log.
TEST_CASE("a VM that has only the log gets the version in force after its records have expired")
{
    Fleet fleet(PROGRAM_DIR, smallFleet(3));
    fleet.start();
    fleet.rollOut(1);
    fleet.setLog({{"retain", 8}});
    for (int count = 0; count < 10; ++count) {
        fleet.appendRecord("{}");
    }
    waitFor("a restatement in the log", RecoveryLimit, [&fleet] {
        return std::ranges::any_of(fleet.records(), [](const std::string &record) {
            return record.find("restatement") != std::string::npos;
        });
    });
    for (const auto &vm : fleet.vms) {
        vm.agent->signal(SIGKILL);
        REQUIRE(vm.agent->waitForExit(RecoveryLimit));
    }
    restart(fleet, 0);
    waitFor("an answer of the only VM", RecoveryLimit, [&] {
        return Net::fetchBlocking(fleet.vms[0].entryListen(), {.target = "/katalog/1"}, RecoveryLimit).status == 200;
    });
    const auto dump = fleet.agentDump(0);
    CHECK(dump["adopted_transfers"] == 0);
    CHECK(dump["bundles"][0]["version"] == 1);
    fleet.startAgent(1);
    fleet.startAgent(2);
    fleet.rollOut(2);
}

// Guards against an operator who builds on what a log without its oldest records shows, and is told that a version is
// accepted which every agent refuses.
TEST_CASE("while the log does not show what is in force, nothing is proposed")
{
    Fleet fleet(PROGRAM_DIR, smallFleet(2));
    fleet.start();
    fleet.rollOut(1);
    const auto propose = [&fleet] {
        return fleet.tryCtl("jana", {"propose", fleet.writeText("two.toml", fleet.bundleText(2))});
    };
    for (const auto &vm : fleet.vms) {
        vm.agent->signal(SIGSTOP);
    }
    fleet.setLog({{"retain", 2}});
    const auto refused = propose();
    INFO(refused.text);
    CHECK(refused.status == 4);
    CHECK(fleet.logState()["streams"]["configuration"]["next"] == 3);
    for (const auto &vm : fleet.vms) {
        vm.agent->signal(SIGCONT);
    }
    fleet.setLog({{"retain", 20}});
    const auto accepted = propose();
    INFO(accepted.text);
    CHECK(accepted.status == 0);
    CHECK_THAT(fleet.records().back(), Catch::Contains("\"replaces\":1"));
}

// Guards against an operator who is told that a version is in force everywhere while some VM serves another one.
TEST_CASE("status and --wait tell VMs that differ or cannot be reached")
{
    Fleet fleet(PROGRAM_DIR, smallFleet(3, true));
    fleet.start();
    fleet.rollOut(1);
    const auto status = [&fleet] {
        auto answer = fleet.tryCtl("petr", {"--json", "status"});
        INFO(answer.text);
        auto processes = Json::parse(answer.text)["processes"];
        std::set<std::string> faults;
        for (const auto &process : processes) {
            if (!process["reachable"].get<bool>()) {
                faults.insert("unreachable " + process["endpoint"].get<std::string>());
            } else if (process["bundles"][0]["differs"].get<bool>()) {
                faults.insert("differs " + process["endpoint"].get<std::string>());
            }
        }
        return std::pair(answer.status, faults);
    };
    const std::vector<std::string> wait = {"roll-out", BundleName, "2", "--wait", "--wait-seconds", "1"};
    using Faults = std::set<std::string>;
    CHECK(status() == std::pair(0, Faults()));

    fleet.setRoutes({{"freeze", true}}, {"link-vm-01"});
    fleet.ctl("jana", {"propose", fleet.writeText("two.toml", fleet.bundleText(2))});
    fleet.ctl("petr", {"sign-off", BundleName, "2"});
    const auto lagging = fleet.tryCtl("jana", wait);
    CHECK(lagging.status == 5);
    CHECK_THAT(lagging.text, Catch::Contains(toString(fleet.vms[0].entryAdmin()) + ": version 1"));
    CHECK(status() == std::pair(5, Faults{"differs " + toString(fleet.vms[0].entryAdmin())}));
    fleet.setRoutes({{"freeze", false}});
    waitForDigest(fleet, Bundles::contentDigest(fleet.bundleText(2)), RecoveryLimit);
    CHECK(fleet.tryCtl("jana", wait).status == 0);

    fleet.vms[1].agent->signal(SIGSTOP);
    const auto stopped = fleet.tryCtl("jana", wait);
    CHECK(stopped.status == 5);
    CHECK_THAT(stopped.text, Catch::Contains(toString(fleet.vms[1].agentAdmin()) + ": unreachable"));
    CHECK(status() == std::pair(4, Faults{"unreachable " + toString(fleet.vms[1].agentAdmin())}));
    fleet.vms[1].agent->signal(SIGCONT);
    CHECK(status() == std::pair(0, Faults()));
    fleet.setLog({{"outage", "refuse"}});
    CHECK(status() == std::pair(4, Faults()));
}
