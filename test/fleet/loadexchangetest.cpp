#include "verbenadock/fleet/loadexchange.h"

#include "verbenadock/discovery/directory.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <random>

using namespace Verbenadock;
using namespace Verbenadock::Fleet;
using namespace std::chrono_literals;

namespace {

const TimePoint Now{std::chrono::hours(1)};
const std::string Service = "katalog";

std::string nameOf(unsigned number)
{
    return "u" + std::to_string(number);
}

Mesh::UpstreamNumber numberOf(const std::string &upstream)
{
    return Mesh::upstreamNumber(Service, upstream);
}

Core::ReportLoad requestsAt(const std::string &upstream, const std::string &dataCentre, unsigned inFlight)
{
    return {.upstream = {.bundle = std::string(Discovery::PlatformBundle), .service = Service, .upstream = upstream},
            .inFlight = inFlight,
            .dataCentre = dataCentre};
}

Mesh::DataCentreLoads hubOf(const std::string &dataCentre, const std::string &vm)
{
    return {.vm = vm, .dataCentre = dataCentre, .services = {{.service = Service, .percent = 40}}};
}

/// One service with upstreams u0, u1, ... of two slots in data centre b.
Core::Configuration upstreamsInB(unsigned count)
{
    Bundles::Service service;
    service.name = Service;
    for (unsigned number = 0; number < count; ++number) {
        service.upstreams.push_back({.id = nameOf(number), .dataCentre = "b", .slots = 2});
    }
    Core::Configuration configuration;
    configuration.bundles.push_back(
        {.name = "platform", .version = 1, .services = {service}, .routes = {}, .callerLimits = {}});
    return configuration;
}

LoadExchange exchangeOf(const std::string &vm, const std::string &dataCentre, unsigned upstreams = 3)
{
    LoadExchange exchange(vm, dataCentre);
    exchange.configure(upstreamsInB(upstreams));
    return exchange;
}

template<typename Message>
std::vector<Message> messagesTo(const std::string &vm, const std::vector<OutgoingMessage> &outgoing)
{
    std::vector<Message> messages;
    for (const auto &one : outgoing) {
        if (one.vm == vm) {
            messages.push_back(std::get<Message>(one.message));
        }
    }
    return messages;
}

} // namespace

// Pattern: a service with two or three upstreams in each data centre under high load. More than half of its requests go
// to other data centres, whose upstreams looked idle and were full: a third of them was shed.
TEST_CASE("requests at an upstream elsewhere become known beside it and in the sender's data centre")
{
    auto sender = exchangeOf("a-1", "a");
    auto hub = exchangeOf("b-1", "b");
    auto besideHub = exchangeOf("b-2", "b");
    auto hubOfSender = exchangeOf("a-2", "a");
    sender.handle(hubOf("b", "b-1"), Now);
    hub.handle(hubOf("a", "a-2"), Now);

    sender.observe(requestsAt("u1", "b", 2));
    const auto told = sender.report({"a-2"}, Now);
    REQUIRE(told.size() == 1);
    CHECK(told.front().vm == "b-1");
    const auto atHub = hub.handle(std::get<Mesh::VmLoads>(told.front().message), Now);
    REQUIRE(atHub.changes.size() == 1);
    CHECK(atHub.changes.front().othersInFlight == 2);
    hub.observe(requestsAt("u1", "b", 1));
    hub.observe(requestsAt("u2", "b", 1));

    const auto summary = hub.summarize(Now);
    const auto near = messagesTo<Mesh::UpstreamLoads>("", summary);
    REQUIRE(near.size() == 1);
    const auto beside = besideHub.handle(near.front(), false, Now);
    REQUIRE(beside.changes.size() == 2);
    for (const auto &change : beside.changes) {
        CHECK(change.includesOwn);
        CHECK(change.othersInFlight == (change.upstream.upstream == "u1" ? 3 : 1));
    }
    CHECK(beside.outgoing.empty());

    const auto far = messagesTo<Mesh::UpstreamLoads>("a-2", summary);
    REQUIRE(far.size() == 1);
    // u2 has a free slot.
    CHECK(far.front().loads.size() == 1);
    const auto back = hubOfSender.handle(far.front(), true, Now);
    REQUIRE(back.changes.size() == 1);
    CHECK(back.changes.front().upstream.upstream == "u1");
    CHECK(back.changes.front().othersInFlight == 3);
    CHECK(back.changes.front().includesOwn);
    CHECK(back.outgoing.size() == 1);
}

// Pattern: 59 VMs in a data centre with 132 upstreams and 273 requests a second, some VMs with a tenth of a core. When
// each request was told to every VM, each VM sent and received 540 datagrams a second, however few callers it had.
TEST_CASE("what an entry sends and receives grows neither with the requests nor with the entries")
{
    constexpr unsigned Upstreams = 132;
    constexpr int Vms = 59;
    constexpr auto Step = 33ms;
    constexpr int StepsPerSummary = 3;
    std::deque<LoadExchange> entries;
    for (int vm = 0; vm < Vms; ++vm) {
        entries.push_back(exchangeOf("b-" + std::to_string(vm), "b", Upstreams));
    }
    std::mt19937 random(7);
    std::map<unsigned, unsigned> inFlight;
    std::size_t told = 0;
    std::size_t summarized = 0;
    auto now = Now;
    for (int step = 0; step < 90; ++step) {
        now += Step;
        for (int request = 0; request < 9; ++request) {
            const auto vm = random() % Vms;
            const auto upstream = random() % Upstreams;
            entries[vm].observe(requestsAt(nameOf(upstream), "b", random() % 2));
        }
        for (std::size_t vm = 1; vm < entries.size(); ++vm) {
            for (const auto &one : entries[vm].report({"b-0"}, now)) {
                told += 1;
                entries[0].handle(std::get<Mesh::VmLoads>(one.message), now);
            }
        }
        if (step % StepsPerSummary == 0) {
            for (const auto &one : entries[0].summarize(now)) {
                ++summarized;
                CHECK(Mesh::encode(one.message).size() < 1500);
            }
        }
    }
    // Of 3 s: each VM tells about each of its requests twice at most, and hears of all of them together 10 to 20 times
    // a second.
    CHECK(told <= 2 * 9 * 90 + 3 * Vms);
    CHECK(summarized <= 60);
}

TEST_CASE("every VM knows the requests of all others within one summary")
{
    auto hub = exchangeOf("b-1", "b", 40);
    auto second = exchangeOf("b-2", "b", 40);
    auto entry = exchangeOf("b-3", "b", 40);
    auto other = exchangeOf("b-4", "b", 40);
    for (unsigned number = 0; number < 40; ++number) {
        entry.observe(requestsAt(nameOf(number), "b", 1 + number % 2));
    }
    for (const auto &one : entry.report({"b-1", "b-2"}, Now)) {
        auto &receiver = one.vm == "b-1" ? hub : second;
        receiver.handle(std::get<Mesh::VmLoads>(one.message), Now);
    }
    std::size_t known = 0;
    for (const auto &message : messagesTo<Mesh::UpstreamLoads>("", hub.summarize(Now))) {
        for (const auto &change : other.handle(message, false, Now).changes) {
            ++known;
            CHECK(change.othersInFlight == 1 + std::stoul(change.upstream.upstream.substr(1)) % 2);
        }
    }
    CHECK(known == 40);
    // The first hub falls silent, and the second one has it all.
    CHECK(messagesTo<Mesh::UpstreamLoads>("", second.summarize(Now + 50ms)).front().loads.size() == 40);
    CHECK(hub.sample(Now).at(Service) == Approx(60.0 / 80));
    CHECK(other.sample(Now).at(Service) == Approx(60.0 / 80));
}

TEST_CASE("a hub that was not one before is told everything, and no VM tells itself")
{
    auto entry = exchangeOf("b-3", "b");
    entry.observe(requestsAt("u1", "b", 1));
    CHECK(entry.report({"b-1", "b-2"}, Now).size() == 2);
    CHECK(entry.report({"b-1", "b-2"}, Now + 50ms).empty());
    const auto again = entry.report({"b-2", "b-3"}, Now + 100ms);
    REQUIRE(again.size() == 1);
    CHECK(again.front().vm == "b-2");
    CHECK(entry.report({"b-3"}, Now + 3s).empty());
}

TEST_CASE("a hub tells what changed at once, what stays once a second, and the end once")
{
    auto hub = exchangeOf("b-1", "b");
    hub.observe(requestsAt("u1", "b", 2));
    CHECK(hub.summarize(Now).size() == 1);
    CHECK(hub.summarize(Now + 200ms).empty());
    CHECK(hub.summarize(Now + 1100ms).size() == 1);
    hub.observe(requestsAt("u1", "b", 0));
    const auto last = hub.summarize(Now + 1300ms);
    REQUIRE(last.size() == 1);
    CHECK(std::get<Mesh::UpstreamLoads>(last.front().message).loads.front().inFlight == 0);
    CHECK(hub.summarize(Now + 1500ms).empty());
}

// A hub that is killed, cut off or paused must not leave its last numbers behind for good, nor be told for good.
TEST_CASE("what a silent hub told ends after some seconds, and nothing is sent to it")
{
    auto entry = exchangeOf("a-1", "a");
    entry.handle(hubOf("b", "b-1"), Now);
    entry.handle(
        Mesh::UpstreamLoads{.vm = "b-1", .dataCentre = "b", .loads = {{.upstream = numberOf("u1"), .inFlight = 4}}},
        false,
        Now);
    CHECK(entry.expire(Now + 2s).empty());
    const auto ended = entry.expire(Now + 3s);
    REQUIRE(ended.size() == 1);
    CHECK(ended.front().othersInFlight == 0);
    entry.observe(requestsAt("u1", "b", 1));
    CHECK(entry.report({}, Now + 3s).size() == 1);
    entry.observe(requestsAt("u1", "b", 2));
    CHECK(entry.report({}, Now + 5s).empty());
}

// A VM that is killed or cut off leaves its requests behind at the hub.
TEST_CASE("the requests of a VM that fell silent end at the hub after some seconds")
{
    auto hub = exchangeOf("b-1", "b");
    hub.handle(Mesh::VmLoads{.vm = "b-2", .loads = {{.upstream = numberOf("u1"), .inFlight = 2}}}, Now);
    CHECK(hub.expire(Now + 2s).empty());
    const auto ended = hub.expire(Now + 3s);
    REQUIRE(ended.size() == 1);
    CHECK(ended.front().othersInFlight == 0);
}

// A hub that was paused for seconds goes on where it was: its timer for the next summary is due before anything else.
TEST_CASE("a hub that was paused tells nothing of what it was told before")
{
    auto hub = exchangeOf("b-1", "b");
    hub.handle(Mesh::VmLoads{.vm = "b-2", .loads = {{.upstream = numberOf("u1"), .inFlight = 2}}}, Now);
    hub.observe(requestsAt("u2", "b", 1));
    CHECK(hub.summarize(Now).size() == 1);
    const auto afterPause = hub.summarize(Now + 10s);
    REQUIRE(afterPause.size() == 1);
    for (const auto &load : std::get<Mesh::UpstreamLoads>(afterPause.front().message).loads) {
        CHECK(load.inFlight == (load.upstream == numberOf("u2") ? 1 : 0));
    }
    CHECK(hub.sample(Now + 10s).at(Service) < 0.5);
}

// Two VMs may take themselves for the hub for a moment; the numbers are totals, so that both may tell them.
TEST_CASE("totals told twice count once, and a data centre takes no numbers of its own upstreams from others")
{
    auto entry = exchangeOf("a-1", "a");
    const Mesh::UpstreamLoads loads{
        .vm = "b-1", .dataCentre = "b", .loads = {{.upstream = numberOf("u1"), .inFlight = 4}}};
    entry.handle(loads, false, Now);
    CHECK(entry.handle(loads, false, Now).changes.front().othersInFlight == 4);
    auto own = loads;
    own.dataCentre = "a";
    CHECK(entry.handle(own, true, Now).changes.empty());
}

TEST_CASE("the loads of hundreds of upstreams go into several messages of bounded size")
{
    auto hub = exchangeOf("b-1", "b", 400);
    hub.handle(hubOf("a", "a-1"), Now);
    for (unsigned number = 0; number < 400; ++number) {
        hub.observe(requestsAt(nameOf(number), "b", 2));
    }
    std::size_t told = 0;
    for (const auto &message : messagesTo<Mesh::UpstreamLoads>("a-1", hub.summarize(Now))) {
        CHECK(Mesh::encode(message).size() < 1500);
        told += message.loads.size();
    }
    CHECK(told == 400);
}
