#include "verbenadock/mesh/members.h"
#include "verbenadock/mesh/message.h"
#include "verbenadock/mesh/readerelection.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace Verbenadock;
using namespace Verbenadock::Mesh;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};

Hello makeHello(const std::string &vm, const std::string &dataCentre, std::uint64_t incarnation = 1)
{
    return {.vm = vm, .address = "10.0.0." + vm, .dataCentre = dataCentre, .incarnation = incarnation};
}

} // namespace

TEST_CASE("every message is decoded as it was encoded")
{
    const std::vector<Message> messages{
        makeHello("7", "morava-a"),
        Goodbye{.vm = "7", .incarnation = 3},
        OutcomeReport{.vm = "7",
                      .service = "vydej",
                      .upstream = "i-1@5",
                      .cause = Health::Cause::Reset,
                      .early = true,
                      .age = std::chrono::milliseconds(4)},
        StoreHeartbeat{.vm = "7",
                       .configurationEnd = {.era = 3, .offset = 12},
                       .upstreamsEnd = {.era = UINT64_MAX, .offset = UINT64_MAX}},
        VmLoads{.vm = "7", .loads = {{.upstream = UINT64_MAX, .inFlight = 3}}},
        ReserveUse{.vm = "7", .service = "vydej"},
        DataCentreLoads{.vm = "7",
                        .dataCentre = "a",
                        .services = {{.service = "vydej", .percent = 250}, {.service = "katalog", .percent = 0}}},
        UpstreamLoads{.vm = "7",
                      .dataCentre = "a",
                      .loads = {{.upstream = 1, .inFlight = 3}, {.upstream = UINT64_MAX, .inFlight = 0}}},
        StoreRecords{.vm = "7",
                     .topic = "keyed.servers",
                     .era = 2,
                     .from = 3,
                     .end = 5,
                     .records = {{.offset = 3, .data = std::string("\0a", 2)}, {.offset = 4, .data = ""}}},
        AllowanceLoan{.vm = "7", .incarnation = UINT64_MAX, .parts = {.small = 1000, .large = 600}, .credit = 2},
        AllowanceRequest{.vm = "7", .number = UINT64_MAX, .customer = customerNumber("papirna")},
        AllowanceGrant{.vm = "7",
                       .number = 3,
                       .customer = UINT64_MAX,
                       .tokens = 4,
                       .retryAfter = std::chrono::milliseconds(1500)}};
    for (const auto &message : messages) {
        CHECK(decode(encode(message)) == message);
        // A truncated message is invalid.
        auto shortened = encode(message);
        shortened.pop_back();
        CHECK_FALSE(decode(shortened));
    }
}

// A loan above the whole share would let a hub admit more than the cap.
TEST_CASE("a loan of more than a whole share is no message")
{
    CHECK_FALSE(decode(encode(AllowanceLoan{.vm = "7", .incarnation = 1, .parts = {.small = 1001, .large = 0}})));
    CHECK_FALSE(decode(encode(AllowanceLoan{.vm = "7", .incarnation = 1, .parts = {.small = 0, .large = 1001}})));
}

// A datagram in two packets is lost twice as often.
TEST_CASE("messages about allowances fit into a small packet")
{
    const std::string vm(128, 'v');
    const AllowanceParts whole{.small = 1000, .large = 1000};
    CHECK(encode(AllowanceLoan{.vm = vm, .incarnation = UINT64_MAX, .parts = whole, .credit = UINT64_MAX}).size()
          < 200);
    CHECK(encode(AllowanceRequest{.vm = vm, .number = UINT64_MAX, .customer = UINT64_MAX}).size() < 200);
    CHECK(encode(AllowanceGrant{.vm = vm,
                                .number = UINT64_MAX,
                                .customer = UINT64_MAX,
                                .tokens = 1'000'000,
                                .retryAfter = std::chrono::seconds(60)})
              .size()
          < 200);
}

// Any host that reaches the port can send any bytes.
TEST_CASE("arbitrary datagrams are decoded without a crash")
{
    // An array whose announced length exceeds the memory; RapidCheck found it.
    CHECK_FALSE(decode("\x9B"
                       "aaaaaaaa"));
    // Nested arrays without end.
    CHECK_FALSE(decode(std::string(2048, '\x81')));
    rc::check("decode() accepts any bytes", [](const std::string &bytes) {
        static_cast<void>(decode(bytes));
    });
    rc::check("a changed byte of a message gives a message or nothing", [](std::uint8_t position, char byte) {
        auto bytes = encode(OutcomeReport{.vm = "v", .service = "s", .upstream = "u", .age = Duration(1)});
        bytes[position % bytes.size()] = byte;
        static_cast<void>(decode(bytes));
    });
}

TEST_CASE("members keep the newest incarnation of a VM and ignore the Goodbye of an earlier one")
{
    Members members(makeHello("1", "a"));
    CHECK(members.update(makeHello("2", "b", 5)));
    CHECK_FALSE(members.update(makeHello("2", "b", 4)));
    CHECK_FALSE(members.update(makeHello("1", "a", 9)));
    CHECK(members.update(makeHello("3", "a")));
    CHECK(members.addresses() == std::vector<std::string>{"10.0.0.3", "10.0.0.2"});
    CHECK(members.localAddresses() == std::vector<std::string>{"10.0.0.3"});
    members.remove({.vm = "2", .incarnation = 4});
    CHECK(members.size() == 3);
    members.remove({.vm = "2", .incarnation = 5});
    CHECK(members.size() == 2);
}

// Each call to the store has a cost, and a data centre needs each record only once.
TEST_CASE("two of twelve VMs that hear each other read the store")
{
    std::vector<std::string> names;
    std::vector<ReaderElection> elections;
    for (int number = 1; number <= 12; ++number) {
        names.push_back("front-morava-a-" + std::to_string(number));
        elections.emplace_back(names.back());
    }
    for (int round = 0; round < 3; ++round) {
        const auto now = Start + round * 400ms;
        for (std::size_t sender = 0; sender < names.size(); ++sender) {
            for (std::size_t receiver = 0; elections[sender].isReader(now) && receiver < names.size(); ++receiver) {
                if (receiver != sender) {
                    elections[receiver].noteHeartbeat(names[sender], true, now);
                }
            }
        }
    }
    const auto readerCount = [&elections](TimePoint now) {
        return std::count_if(elections.begin(), elections.end(), [now](const auto &election) {
            return election.isReader(now);
        });
    };
    CHECK(readerCount(Start + 900ms) == 2);
    // When the readers fall silent, every VM reads for itself, early enough for a change to be in force within 2 s.
    CHECK(readerCount(Start + 1900ms) == 12);
}

// Seen when the links of a data centre lost packets: both readers had the new configuration but lost an answer about
// the upstreams and stopped their heartbeats, and the other VMs had the configuration only after 2.3 s.
TEST_CASE("a reader that the store does not answer sends heartbeats, and further VMs read")
{
    ReaderElection election("front-c-1");
    for (const std::string reader : {"front-c-2", "front-c-3", "front-c-4", "front-c-5", "front-c-6", "front-c-7"}) {
        election.noteHeartbeat(reader, true, Start);
        election.noteHeartbeat(reader, false, Start + 100ms);
    }
    CHECK(election.isReader(Start + 100ms));
    const StoreHeartbeat heartbeat{
        .vm = "7", .configurationEnd = {.offset = 2}, .upstreamsEnd = {.offset = 30}, .fresh = false};
    CHECK(decode(encode(heartbeat)) == Message(heartbeat));
}

// Guards against calls of all VMs during a store outage. With 134 VMs on the grown site, each called the store twice a
// second for 8 s, which cost more than all other calls of the day.
TEST_CASE("a store that answers no VM is called by few VMs of a data centre")
{
    constexpr int Vms = 44;
    std::vector<std::string> names;
    for (int number = 1; number <= Vms; ++number) {
        names.push_back("front-a-" + std::to_string(number));
    }
    int readerCount = 0;
    for (const auto &name : names) {
        ReaderElection election(name);
        for (const auto &other : names) {
            if (other != name) {
                election.noteHeartbeat(other, false, Start);
            }
        }
        readerCount += election.isReader(Start) ? 1 : 0;
    }
    CHECK(readerCount >= 4);
    CHECK(readerCount <= 10);
}

// Guards against a burst of calls after one of two readers stops: all other VMs would call the store until they hear
// its successor.
TEST_CASE("the VMs of a data centre take over from a silent reader one after the other")
{
    constexpr int Vms = 44;
    std::vector<std::string> names;
    for (int number = 1; number <= Vms; ++number) {
        names.push_back("front-a-" + std::to_string(number));
    }
    int earlyReaders = 0;
    int lateReaders = 0;
    for (const auto &name : names) {
        std::map<std::string, std::uint64_t> others;
        for (const auto &other : names) {
            if (other != name) {
                others.emplace(other, 0);
            }
        }
        ReaderElection election(name);
        election.setPeers(others);
        for (const auto &other : names) {
            if (other != name) {
                election.noteHeartbeat(other, true, Start);
            }
        }
        earlyReaders += election.isReader(Start + 1030ms) ? 1 : 0;
        lateReaders += election.isReader(Start + 1500ms) ? 1 : 0;
    }
    CHECK(earlyReaders >= 1);
    CHECK(earlyReaders <= 4);
    CHECK(lateReaders == Vms);
}

// Guards against a burst of calls after a single answer of the store was lost: all other VMs would call the store until
// the reader is answered again.
TEST_CASE("the VMs of a data centre take over from unanswered readers one after the other")
{
    constexpr int Vms = 44;
    std::map<std::string, std::uint64_t> processors;
    for (int number = 1; number <= Vms; ++number) {
        processors.emplace("front-a-" + std::to_string(number), 0);
    }
    std::vector<std::string> readers;
    for (const auto &[name, processor] : processors) {
        ReaderElection election(name);
        for (const auto &[other, otherProcessor] : processors) {
            election.noteHeartbeat(other, true, Start);
        }
        if (election.isReader(Start)) {
            readers.push_back(name);
        }
    }
    REQUIRE(readers.size() == 2);
    int earlyReaders = 0;
    int lateReaders = 0;
    for (const auto &[name, processor] : processors) {
        ReaderElection election(name);
        auto others = processors;
        others.erase(name);
        election.setPeers(others);
        for (const auto &reader : readers) {
            election.noteHeartbeat(reader, true, Start);
            election.noteHeartbeat(reader, false, Start + 100ms);
        }
        earlyReaders += election.isReader(Start + 230ms) ? 1 : 0;
        lateReaders += election.isReader(Start + 600ms) ? 1 : 0;
    }
    CHECK(earlyReaders >= 3);
    CHECK(earlyReaders <= 6);
    CHECK(lateReaders == Vms);
}

// Guards against weak readers. With VMs of 0.1 to 0.5 cores, 41 VMs fetched a new configuration at once from a reader
// with a tenth of a core, which answered none of them in time: they had it 3 s after the store.
TEST_CASE("the VMs with the largest processor share read the store")
{
    std::map<std::string, std::uint64_t> processors;
    for (int number = 1; number <= 40; ++number) {
        processors.emplace("front-a-" + std::to_string(number), number % 10 == 0 ? 50 : 10);
    }
    for (const auto &[name, processor] : processors) {
        INFO(name);
        auto others = processors;
        others.erase(name);
        ReaderElection election(name, processor);
        election.setPeers(others);
        for (const auto &other : others) {
            election.noteHeartbeat(other.first, true, Start);
        }
        CHECK((!election.isReader(Start) || processor == 50));
    }
    // VMs with equal shares have a fixed order, and a VM that reports no share comes last.
    ReaderElection weakElection("front-a-1", 10);
    weakElection.setPeers({{"front-a-2", 50}, {"front-a-3", 50}});
    weakElection.noteHeartbeat("front-a-2", true, Start);
    CHECK(weakElection.isReader(Start));
    weakElection.noteHeartbeat("front-a-3", true, Start);
    CHECK_FALSE(weakElection.isReader(Start));
    CHECK_FALSE(weakElection.isFirst(Start));
}

// A hub that takes over must already have the reports that the earlier hub had. The hubs are the first readers in the
// order of precedence.
TEST_CASE("all VMs of a data centre name the same two hubs")
{
    std::map<std::string, std::uint64_t> processors;
    for (int number = 1; number <= 12; ++number) {
        processors.emplace("front-a-" + std::to_string(number), number > 9 ? 50 : 10);
    }
    std::set<std::vector<std::string>> hubLists;
    for (const auto &[name, processor] : processors) {
        auto others = processors;
        others.erase(name);
        ReaderElection election(name, processor);
        election.setPeers(others);
        for (const auto reader : {"front-a-10", "front-a-11", "front-a-12"}) {
            if (reader != name) {
                election.noteHeartbeat(reader, true, Start);
            }
        }
        hubLists.insert(election.hubs(Start));
    }
    REQUIRE(hubLists.size() == 1);
    CHECK(hubLists.begin()->size() == 2);
}
