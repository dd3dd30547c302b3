#include "verbenadock/discovery/directory.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Verbenadock;
using namespace Verbenadock::Discovery;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};
using Kind = DirectoryChange::Kind;

UpstreamEntry entry(const std::string &instance, std::int64_t startedAt = 1, bool draining = false)
{
    return {.instance = instance,
            .service = "vydej",
            .endpoint = {.address = "10.0.0.1", .port = 80},
            .dataCentre = "a",
            .slots = 4,
            .draining = draining,
            .startedAt = startedAt};
}

UpstreamsRead read(std::vector<UpstreamRecord> records, std::uint64_t end, Duration after = 0s, bool complete = false)
{
    return {.at = Start + after, .records = std::move(records), .complete = complete, .end = end};
}

ConfigurationRead configured(std::uint64_t version, std::uint64_t offset)
{
    OperatorConfiguration configuration{.version = version, .services = {{.name = "vydej"}, {.name = "katalog"}}};
    configuration.routes.push_back({.host = "h", .service = "vydej"});
    configuration.routes.push_back({.host = "k", .service = "katalog", .idempotent = true});
    return {.at = Start, .record = {.offset = offset, .content = configuration}};
}

/// Ids of the upstreams in force.
std::vector<std::string> upstreams(Directory &directory)
{
    std::vector<std::string> ids;
    const auto configuration = directory.configuration();
    REQUIRE(configuration);
    for (const auto &upstream : configuration->bundles.front().services.front().upstreams) {
        ids.push_back(upstream.id);
    }
    return ids;
}

Directory directoryWith(std::vector<UpstreamRecord> records, std::uint64_t end)
{
    Directory directory;
    directory.apply(configured(1, 0));
    directory.apply(read(std::move(records), end, 0s, true));
    return directory;
}

} // namespace

TEST_CASE("nothing is served before both the configuration and the upstreams were read")
{
    Directory directory;
    directory.apply(configured(1, 0));
    CHECK_FALSE(directory.changed());
    CHECK(directory.configuration() == nullptr);
    directory.apply(read({}, 0, 0s, true));
    CHECK(directory.changed());
    CHECK(directory.configuration() != nullptr);
    CHECK_FALSE(directory.changed());
}

TEST_CASE("a configuration never goes back, whatever order the records come in")
{
    Directory directory;
    directory.apply(configured(7, 5));
    CHECK(directory.apply(configured(9, 4)).empty());
    CHECK(directory.apply(configured(6, 8)).front().kind == Kind::ConfigurationRefused);
    CHECK(directory.operatorConfiguration()->version == 7);
    directory.apply(configured(8, 9));
    CHECK(directory.operatorConfiguration()->version == 8);
}

TEST_CASE("an upstream that drains or was removed gets no work, and an older record does not bring it back")
{
    auto directory = directoryWith(
        {{.key = "i-1", .offset = 0, .content = entry("i-1")}, {.key = "i-2", .offset = 1, .content = entry("i-2")}},
        2);
    CHECK(upstreams(directory) == std::vector<std::string>{"i-1@1", "i-2@1"});
    directory.apply(read({{.key = "i-1", .offset = 2, .content = entry("i-1", 1, true)},
                          {.key = "i-2", .offset = 3, .content = Removed{}}},
                         4));
    CHECK(upstreams(directory).empty());
    directory.apply(read({{.key = "i-2", .offset = 1, .content = entry("i-2")}}, 4));
    CHECK(upstreams(directory).empty());
    // A page from a VM that is behind is not taken at all.
    directory.apply(read({{.key = "i-3", .offset = 1, .content = entry("i-3")}}, 2, 0s, true));
    CHECK(upstreams(directory).empty());
}

TEST_CASE("a process that returns under its name is another upstream")
{
    auto directory = directoryWith({{.key = "i-1", .offset = 0, .content = entry("i-1", 1)}}, 1);
    directory.apply(read({{.key = "i-1", .offset = 1, .content = entry("i-1", 2)}}, 2));
    CHECK(upstreams(directory) == std::vector<std::string>{"i-1@2"});
    const auto configuration = directory.configuration();
    CHECK(configuration->bundles.front().services.front().upstreams.front().instance == "i-1");
}

TEST_CASE("a heartbeat that changes nothing but the warm-up leaves the configuration as it is")
{
    auto directory = directoryWith({{.key = "i-1", .offset = 0, .content = entry("i-1")}}, 1);
    static_cast<void>(directory.configuration());
    auto warm = entry("i-1");
    warm.remainingWarmUp = 1s;
    directory.apply(read({{.key = "i-1", .offset = 1, .content = warm}}, 2));
    CHECK_FALSE(directory.changed());
}

// The entries of live upstreams lapse while the store is away. Dropping them all at its return would leave no capacity.
TEST_CASE("a removal right after an outage of the store is held until live upstreams had time to register again")
{
    auto directory = directoryWith(
        {{.key = "i-1", .offset = 0, .content = entry("i-1")}, {.key = "i-2", .offset = 1, .content = entry("i-2")}},
        2);
    directory.apply(StoreLost{.at = Start + 1s});
    directory.apply(StoreRecovered{.at = Start + 6s});
    const auto changes = directory.apply(
        read({{.key = "i-1", .offset = 2, .content = Removed{}}, {.key = "i-2", .offset = 3, .content = Removed{}}},
             4,
             6100ms));
    REQUIRE(changes.size() == 2);
    CHECK(changes.front().kind == Kind::RemovalHeld);
    CHECK(upstreams(directory).size() == 2);
    directory.apply(read({{.key = "i-1", .offset = 4, .content = entry("i-1")}}, 5, 7s));
    REQUIRE(directory.nextDeadline());
    // Held for longer, an upstream that has left would get work after its time.
    CHECK(*directory.nextDeadline() - (Start + 6100ms) < 2s);
    const auto due = *directory.nextDeadline();
    directory.apply(StoreLost{.at = Start + 7100ms});
    directory.apply(StoreRecovered{.at = Start + 7200ms});
    CHECK(directory.nextDeadline() == due);
    directory.apply(DeadlineReached{.at = *directory.nextDeadline()});
    CHECK(upstreams(directory) == std::vector<std::string>{"i-1@1"});
}

// Seen on a day on which the store turned a few VMs away: they held a removal that all others had carried out, and sent
// work to an upstream 2.4 s after it had left.
TEST_CASE("a VM that other VMs told of a removal carries it out at once, whether it reaches the store or not")
{
    auto directory = directoryWith({{.key = "i-1", .offset = 0, .content = entry("i-1")}}, 1);
    directory.apply(StoreLost{.at = Start + 1s});
    directory.apply(read({}, 2, 2s, true));
    CHECK(upstreams(directory).empty());
}

TEST_CASE("an entry that names no server takes its upstream out and harms no other")
{
    auto directory = directoryWith(
        {{.key = "i-1", .offset = 0, .content = entry("i-1")}, {.key = "i-2", .offset = 1, .content = entry("i-2")}},
        2);
    const auto changes = directory.apply(read({{.key = "i-1", .offset = 2, .content = Unreadable{"no address"}}}, 3));
    CHECK(changes.front().kind == Kind::RecordUnreadable);
    CHECK(upstreams(directory) == std::vector<std::string>{"i-2@1"});
}

// Non-idempotent services have no trial requests, so that only the pooled verdicts may bring an upstream back.
TEST_CASE("services are judged on pooled evidence and retried within one budget")
{
    auto directory = directoryWith({}, 0);
    const auto configuration = directory.configuration();
    for (const auto &service : configuration->bundles.front().services) {
        CHECK(service.detection.poolDecides);
        CHECK(service.budgets.coversAllAttempts);
        CHECK(service.prefersOwnDataCentre);
        CHECK((service.detection.trialPatience == 0) == (service.name == "vydej"));
    }
}
