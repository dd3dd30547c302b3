#include "harness/fleet.h"
#include "verbenadock/net/error.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <set>

using namespace Verbenadock;
using namespace Verbenadock::Test;
using namespace std::chrono_literals;

namespace {

constexpr Duration EpochLimit = 20s;
constexpr Duration CallLimit = 20s;

class KeyedFleet : public Fleet
{
public:
    explicit KeyedFleet(unsigned vmCount)
        : Fleet(PROGRAM_DIR,
                {.services = {{.name = "vydej"}},
                 .vms = vmCount,
                 .behaviour = {{"serviceMs", 100}},
                 .entryExtra = "[shutdown]\ndrain_delay = \"200 ms\"\nlimit = \"20 s\"\n"})
    {
        this->start();
        this->rollOut(1);
        this->waitForMembers();
    }

    /// Waits until all entries know an epoch of exactly the processes that run now.
    void waitForMembers()
    {
        waitFor("an epoch of all entries", EpochLimit, [this] {
            std::set<std::uint64_t> epochs;
            for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
                const auto keys = this->entryDump(vm)["keys"];
                if (keys["members"] != this->vms.size() || !keys["is_member"].get<bool>()) {
                    return false;
                }
                epochs.insert(keys["epoch"].get<std::uint64_t>());
            }
            return epochs.size() == 1;
        });
    }

    Net::HttpResponse claim(std::size_t vm,
                            const std::string &key,
                            const std::string &body = "{}",
                            Duration limit = CallLimit,
                            const std::string &target = "/vydej/7") const
    {
        return Net::fetchBlocking(this->vms[vm].entryListen(),
                                  {.method = "POST",
                                   .target = target,
                                   .body = body,
                                   .headers = {{"X-Work-Id", key}, {"Idempotency-Key", key}}},
                                  limit);
    }

    std::size_t runs(const std::string &key) const
    {
        const auto all = this->executions();
        return static_cast<std::size_t>(std::ranges::count_if(all, [&](const Json &execution) {
            return execution["workId"] == key;
        }));
    }

    /// The VM whose table has the key's answer.
    std::size_t ownerOf(const std::string &key) const
    {
        for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
            const auto dump = this->entryDump(vm);
            for (const auto &entry : dump["keys"]["keys"]) {
                if (entry["key"] == key && entry["stage"] == "answered") {
                    return vm;
                }
            }
        }
        throw std::runtime_error("no VM has the answer of " + key);
    }

    /// Starts the entry again and waits until an epoch has the new process.
    void restartEntry(std::size_t vm)
    {
        this->startEntry(vm);
        this->waitForMembers();
        waitFor("the entry to be ready", EpochLimit, [this, vm] {
            return Net::fetchBlocking(this->vms[vm].entryAdmin(), {.target = "/ready"}, CallLimit).status == 200;
        });
    }
};

bool isReplay(const Net::HttpResponse &answer)
{
    const auto found = answer.headers.find("verbenadock-replayed");
    return answer.status == 200 && found != answer.headers.end() && found->second == "true";
}

std::string outcome(const Net::HttpResponse &answer)
{
    return answer.headers.at("verbenadock-outcome");
}

/// A UUID of version 7 of this moment.
std::string newUuid()
{
    static unsigned counter = 0;
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    std::array<char, 64> text{};
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    std::snprintf(text.data(),
                  text.size(),
                  "%08llx-%04llx-7000-8000-%012x",
                  static_cast<unsigned long long>(milliseconds) >> 16U,
                  static_cast<unsigned long long>(milliseconds) & 0xFFFFU,
                  ++counter);
    return text.data();
}

} // namespace

// Guards against a key that two VMs run at the same moment, each as if it were the only one.
TEST_CASE("the same key at all VMs at the same moment runs once and all get the same answer")
{
    KeyedFleet fleet(3);
    for (const std::string key : {"claim-a", "claim-b", "claim-c", "claim-d"}) {
        std::vector<std::future<Net::HttpResponse>> calls;
        for (std::size_t call = 0; call < 9; ++call) {
            calls.push_back(std::async(std::launch::async, [&fleet, key, call] {
                return fleet.claim(call % 3, key);
            }));
        }
        std::set<std::string> bodies;
        std::size_t replays = 0;
        for (auto &call : calls) {
            const auto answer = call.get();
            CHECK(answer.status == 200);
            CHECK(outcome(answer) == "answered");
            bodies.insert(answer.body);
            replays += isReplay(answer) ? 1 : 0;
        }
        CHECK(bodies.size() == 1);
        CHECK(replays == 8);
        CHECK(fleet.runs(key) == 1);
    }
    CHECK(fleet.doubles().empty());
}

// Guards against a key that is known only to the VM where it first arrived, and against one used for other work.
TEST_CASE("a key is replayed later at every VM, also without the log")
{
    KeyedFleet fleet(3);
    const auto first = fleet.claim(0, "claim-1");
    REQUIRE(first.status == 200);
    CHECK_FALSE(isReplay(first));
    fleet.setLog({{"outage", "refuse"}});
    for (std::size_t vm = 0; vm < 3; ++vm) {
        const auto again = fleet.claim(vm, "claim-1");
        CHECK(isReplay(again));
        CHECK(again.body == first.body);
        const auto other = fleet.claim(vm, "claim-1", "{\"other\": 1}");
        CHECK(other.status == 422);
        CHECK(outcome(other) == "not-run");
        // New keys run without the log as well.
        CHECK(fleet.claim(vm, "new-" + std::to_string(vm)).status == 200);
    }
    CHECK(fleet.runs("claim-1") == 1);
    CHECK(fleet.doubles().empty());
}

// Guards against keys that a rolling restart forgets, so that a caller's repetition runs again.
TEST_CASE("after the owner stopped gracefully, its keys are replayed by the others")
{
    KeyedFleet fleet(3);
    const auto first = fleet.claim(0, "claim-1");
    REQUIRE(first.status == 200);
    const auto owner = fleet.ownerOf("claim-1");
    fleet.vms[owner].entry->signal(SIGTERM);
    REQUIRE(fleet.vms[owner].entry->waitForExit(20s) == 0);
    // Without an owner a VM either has taken the key over or says truthfully that it sent nothing.
    for (std::size_t vm = 0; vm < 3; ++vm) {
        if (vm != owner) {
            const auto again = fleet.claim(vm, "claim-1");
            INFO(again.status << " " << again.body);
            CHECK((isReplay(again) || again.status == 504));
        }
    }
    fleet.restartEntry(owner);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        const auto again = fleet.claim(vm, "claim-1");
        INFO("VM " << vm << ", owner " << owner << ": " << again.status << " " << again.body);
        CHECK(isReplay(again));
        CHECK(again.body == first.body);
    }
    CHECK(fleet.runs("claim-1") == 1);
    CHECK(fleet.doubles().empty());
}

// Guards against a successor that takes the lost table of a killed owner for an empty one.
TEST_CASE("after the owner was killed, an old key never runs again and new keys do")
{
    KeyedFleet fleet(3);
    REQUIRE(fleet.claim(0, "claim-1").status == 200);
    const auto owner = fleet.ownerOf("claim-1");
    fleet.vms[owner].entry->signal(SIGKILL);
    REQUIRE(fleet.vms[owner].entry->waitForExit(5s));
    for (std::size_t vm = 0; vm < 3; ++vm) {
        if (vm != owner) {
            CHECK(fleet.claim(vm, "claim-1").status != 200);
        }
    }
    fleet.restartEntry(owner);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        const auto again = fleet.claim(vm, "claim-1");
        CHECK(again.status == 504);
        CHECK(outcome(again) == "unknown");
    }
    CHECK(fleet.runs("claim-1") == 1);
    // Keys made after the change of epoch, plus the difference of clocks, cannot have run at the killed process.
    waitFor("new keys to run at every VM", 10s, [&fleet] {
        return fleet.claim(0, newUuid()).status == 200 && fleet.claim(1, newUuid()).status == 200
               && fleet.claim(2, newUuid()).status == 200;
    });
    CHECK(fleet.doubles().empty());
}

// Guards against work that is lost or repeated because the caller that asked for it did not wait.
TEST_CASE("a caller that gave up gets the answer of the first run when it asks again at another VM")
{
    KeyedFleet fleet(3);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        const auto key = "impatient-" + std::to_string(vm);
        CHECK_THROWS_AS(fleet.claim(vm, key, "{}", 40ms), Net::NetError);
        const auto again = fleet.claim((vm + 1) % 3, key);
        CHECK(again.status == 200);
        CHECK(fleet.runs(key) == 1);
    }
    CHECK(fleet.doubles().empty());
}

// Guards against a key that is dropped silently where it cannot be honoured, so that the work would run twice.
TEST_CASE("what cannot be kept is refused, and an answer that is not kept is not produced again")
{
    KeyedFleet fleet(2);
    const std::string large(std::size_t{2} << 20U, 'x');
    for (std::size_t vm = 0; vm < 2; ++vm) {
        const auto key = "claim-" + std::to_string(vm);
        const auto tooLarge = fleet.claim(vm, key, large);
        CHECK(tooLarge.status == 413);
        CHECK(outcome(tooLarge) == "not-run");
        const auto longKey = fleet.claim(vm, std::string(300, 'k'));
        CHECK(longKey.status == 400);
        CHECK(outcome(longKey) == "not-run");

        const auto first = fleet.claim(vm, key, "{}", CallLimit, "/vydej/7?size=400000");
        REQUIRE(first.status == 200);
        CHECK(Json::parse(first.body)["padding"].get<std::string>().size() == 400000);
        for (std::size_t other = 0; other < 2; ++other) {
            const auto again = fleet.claim(other, key, "{}", CallLimit, "/vydej/7?size=400000");
            CHECK(again.status == 504);
            CHECK(outcome(again) == "unknown");
        }
        CHECK(fleet.runs(key) == 1);
    }
}

// Guards against a successor that takes a paused owner for gone, and against an owner that runs a key twice when it
// wakes up and finds old requests.
TEST_CASE("keys of a paused owner run once, whatever their callers were told meanwhile")
{
    KeyedFleet fleet(3);
    REQUIRE(fleet.claim(0, "claim-1").status == 200);
    const auto owner = fleet.ownerOf("claim-1");
    const auto other = (owner + 1) % 3;
    fleet.vms[owner].entry->signal(SIGSTOP);
    std::vector<std::string> keys = {"claim-1"};
    for (unsigned index = 0; index < 8; ++index) {
        keys.push_back("paused-" + std::to_string(index));
    }
    std::vector<std::future<Net::HttpResponse>> calls;
    calls.reserve(keys.size());
    for (const auto &key : keys) {
        calls.push_back(std::async(std::launch::async, [&fleet, key, other] {
            return fleet.claim(other, key);
        }));
    }
    for (auto &call : calls) {
        const auto answer = call.get();
        CHECK((answer.status == 200 || outcome(answer) == "unknown"));
    }
    fleet.vms[owner].entry->signal(SIGCONT);
    for (const auto &key : keys) {
        INFO(key);
        const auto again = fleet.claim(other, key);
        CHECK(again.status == 200);
        CHECK(fleet.runs(key) == 1);
    }
    CHECK(fleet.doubles().empty());
}
