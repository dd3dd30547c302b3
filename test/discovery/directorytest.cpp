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

UpstreamsRead upstreamsRead(std::vector<UpstreamRecord> records,
                            std::uint64_t end,
                            Duration after = 0s,
                            bool complete = false)
{
    return {.at = Start + after, .records = std::move(records), .complete = complete, .end = {.offset = end}};
}

ConfigurationRead configurationRead(std::uint64_t version, std::uint64_t offset)
{
    OperatorConfiguration configuration{.version = version, .services = {{.name = "vydej"}, {.name = "katalog"}}};
    configuration.routes.push_back({.host = "h", .service = "vydej"});
    configuration.routes.push_back({.host = "k", .service = "katalog", .idempotent = true});
    return {.at = Start, .records = {{.offset = offset, .content = configuration}}, .end = {.offset = offset + 1}};
}

/// Ids of the upstreams in the current configuration.
std::vector<std::string> upstreamIds(Directory &directory)
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
    directory.apply(configurationRead(1, 0));
    directory.apply(upstreamsRead(std::move(records), end, 0s, true));
    return directory;
}

} // namespace

TEST_CASE("there is no configuration before both topics were read")
{
    Directory directory;
    directory.apply(configurationRead(1, 0));
    CHECK_FALSE(directory.changed());
    CHECK(directory.configuration() == nullptr);
    directory.apply(upstreamsRead({}, 0, 0s, true));
    CHECK(directory.changed());
    CHECK(directory.configuration() != nullptr);
    CHECK_FALSE(directory.changed());
}

TEST_CASE("an older configuration never replaces a newer one, in any order of the records")
{
    Directory directory;
    directory.apply(configurationRead(7, 5));
    CHECK(directory.apply(configurationRead(9, 4)).empty());
    CHECK(directory.apply(configurationRead(6, 8)).front().kind == Kind::ConfigurationRefused);
    CHECK(directory.operatorConfiguration()->version == 7);
    directory.apply(configurationRead(8, 9));
    CHECK(directory.operatorConfiguration()->version == 8);
}

// Guards against a reader that requests the same records again and again, because none of them is a configuration.
TEST_CASE("records without a configuration advance the offset from which the topic is read")
{
    Directory directory;
    directory.apply(configurationRead(1, 3));
    CHECK(directory.nextConfigurationPosition().offset == 4);
    CHECK(directory.apply(ConfigurationRead{.at = Start, .records = {}, .end = {.offset = 9}}).empty());
    CHECK(directory.nextConfigurationPosition().offset == 9);
    directory.apply(ConfigurationRead{.at = Start, .records = {}, .end = {.offset = 7}});
    CHECK(directory.nextConfigurationPosition().offset == 9);
    CHECK(directory.apply(configurationRead(2, 9)).front().kind == Kind::ConfigurationApplied);
}

TEST_CASE("a draining or removed upstream is not in use, and an older record does not restore it")
{
    auto directory = directoryWith(
        {{.key = "i-1", .offset = 0, .content = entry("i-1")}, {.key = "i-2", .offset = 1, .content = entry("i-2")}},
        2);
    CHECK(upstreamIds(directory) == std::vector<std::string>{"i-1@1", "i-2@1"});
    directory.apply(upstreamsRead({{.key = "i-1", .offset = 2, .content = entry("i-1", 1, true)},
                                   {.key = "i-2", .offset = 3, .content = Removed{}}},
                                  4));
    CHECK(upstreamIds(directory).empty());
    directory.apply(upstreamsRead({{.key = "i-2", .offset = 1, .content = entry("i-2")}}, 4));
    CHECK(upstreamIds(directory).empty());
    // A page from a VM with older records is ignored as a whole.
    directory.apply(upstreamsRead({{.key = "i-3", .offset = 1, .content = entry("i-3")}}, 2, 0s, true));
    CHECK(upstreamIds(directory).empty());
}

TEST_CASE("a process that restarts with the same instance name is a different upstream")
{
    auto directory = directoryWith({{.key = "i-1", .offset = 0, .content = entry("i-1", 1)}}, 1);
    directory.apply(upstreamsRead({{.key = "i-1", .offset = 1, .content = entry("i-1", 2)}}, 2));
    CHECK(upstreamIds(directory) == std::vector<std::string>{"i-1@2"});
    const auto configuration = directory.configuration();
    CHECK(configuration->bundles.front().services.front().upstreams.front().instance == "i-1");
}

TEST_CASE("a heartbeat that changes only the remaining warm-up does not change the configuration")
{
    auto directory = directoryWith({{.key = "i-1", .offset = 0, .content = entry("i-1")}}, 1);
    static_cast<void>(directory.configuration());
    auto warm = entry("i-1");
    warm.remainingWarmUp = 1s;
    directory.apply(upstreamsRead({{.key = "i-1", .offset = 1, .content = warm}}, 2));
    CHECK_FALSE(directory.changed());
}

// Guards against a loss of all capacity: registrations of live upstreams expire during a store outage, and their
// removals are read at its end.
TEST_CASE("a removal soon after a store outage is held until live upstreams could register again")
{
    auto directory = directoryWith(
        {{.key = "i-1", .offset = 0, .content = entry("i-1")}, {.key = "i-2", .offset = 1, .content = entry("i-2")}},
        2);
    directory.apply(StoreLost{.at = Start + 1s});
    directory.apply(StoreRecovered{.at = Start + 6s});
    const auto changes = directory.apply(upstreamsRead(
        {{.key = "i-1", .offset = 2, .content = Removed{}}, {.key = "i-2", .offset = 3, .content = Removed{}}},
        4,
        6100ms));
    REQUIRE(changes.size() == 2);
    CHECK(changes.front().kind == Kind::RemovalHeld);
    CHECK(upstreamIds(directory).size() == 2);
    directory.apply(upstreamsRead({{.key = "i-1", .offset = 4, .content = entry("i-1")}}, 5, 7s));
    REQUIRE(directory.nextDeadline());
    // With a longer hold, an upstream that has left would get requests for too long.
    CHECK(*directory.nextDeadline() - (Start + 6100ms) < 2s);
    const auto due = *directory.nextDeadline();
    directory.apply(StoreLost{.at = Start + 7100ms});
    directory.apply(StoreRecovered{.at = Start + 7200ms});
    CHECK(directory.nextDeadline() == due);
    directory.apply(DeadlineReached{.at = *directory.nextDeadline()});
    CHECK(upstreamIds(directory) == std::vector<std::string>{"i-1@1"});
}

// Seen when the store refused a few VMs: they held a removal that all other VMs had applied, and sent requests to an
// upstream 2.4 s after it had left.
TEST_CASE("a removal learned from other VMs takes effect at once during a store outage")
{
    auto directory = directoryWith({{.key = "i-1", .offset = 0, .content = entry("i-1")}}, 1);
    directory.apply(StoreLost{.at = Start + 1s});
    directory.apply(upstreamsRead({}, 2, 2s, true));
    CHECK(upstreamIds(directory).empty());
}

TEST_CASE("an unreadable entry removes only its own upstream")
{
    auto directory = directoryWith(
        {{.key = "i-1", .offset = 0, .content = entry("i-1")}, {.key = "i-2", .offset = 1, .content = entry("i-2")}},
        2);
    const auto changes
        = directory.apply(upstreamsRead({{.key = "i-1", .offset = 2, .content = Unreadable{"no address"}}}, 3));
    CHECK(changes.front().kind == Kind::RecordUnreadable);
    CHECK(upstreamIds(directory) == std::vector<std::string>{"i-2@1"});
}

// Non-idempotent services have no trials, so that only the pooled state may bring an upstream back.
TEST_CASE("services use pooled detection and one budget for all attempts")
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

// Seen in the soak: an upstream that registered again as the first record after all newest ones were read was not used.
TEST_CASE("the record that follows the pages in which its key was missing is applied")
{
    auto directory = directoryWith({{.key = "i-1", .offset = 0, .content = entry("i-1")}}, 1);
    directory.apply(upstreamsRead({}, 5, 1s, true));
    CHECK(upstreamIds(directory).empty());
    directory.apply(upstreamsRead({{.key = "i-1", .offset = 5, .content = entry("i-1")}}, 6, 2s));
    CHECK(upstreamIds(directory) == std::vector<std::string>{"i-1@1"});
}

namespace {

UpstreamEntry statement(std::int64_t startedAt, std::uint64_t sequence, bool draining = false)
{
    auto result = entry("i-1", startedAt, draining);
    result.sequence = sequence;
    return result;
}

/// All records of a copy of the store, whose offsets begin anew.
UpstreamsRead copyRead(std::vector<UpstreamRecord> records, std::uint64_t end, std::uint64_t era = 1)
{
    auto event = upstreamsRead(std::move(records), end, 1s, true);
    event.end.era = era;
    return event;
}

/// A directory that read statements of one upstream before the store returned from a copy.
Directory directoryAfter(const std::vector<std::variant<UpstreamEntry, Removed, Unreadable>> &statements)
{
    auto directory = directoryWith({}, 0);
    std::uint64_t offset = 100;
    for (const auto &content : statements) {
        directory.apply(upstreamsRead({{.key = "i-1", .offset = offset, .content = content}}, offset + 1));
        ++offset;
    }
    return directory;
}

} // namespace

// Guards against requests to upstreams whose leaving the restored copy does not know.
TEST_CASE("an older entry in a restored copy does not replace what an upstream said later")
{
    for (const bool removed : {false, true}) {
        INFO("removed " << removed);
        auto directory = directoryAfter({statement(1, 5), statement(1, 6, true)});
        if (removed) {
            directory.apply(upstreamsRead({{.key = "i-1", .offset = 200, .content = Removed{}}}, 201));
        }
        const auto changes = directory.apply(copyRead({{.key = "i-1", .offset = 3, .content = statement(1, 5)}}, 4));
        CHECK(changes.back().kind == Kind::OutdatedEntryKept);
        CHECK(upstreamIds(directory).empty());
        REQUIRE(directory.nextDeadline());
        directory.apply(DeadlineReached{.at = *directory.nextDeadline()});
        CHECK(upstreamIds(directory).empty());
    }
}

// Guards against upstreams that stay out of use after their registration expired in an outage, because they write the
// same entry as before.
TEST_CASE("a removed upstream is used again if the restored store still lists it after entries have expired")
{
    auto directory = directoryAfter({statement(1, 5), Removed{}});
    directory.apply(copyRead({{.key = "i-1", .offset = 3, .content = statement(1, 5)}}, 4));
    CHECK(upstreamIds(directory).empty());
    REQUIRE(directory.nextDeadline());
    directory.apply(DeadlineReached{.at = *directory.nextDeadline()});
    CHECK(upstreamIds(directory) == std::vector<std::string>{"i-1@1"});
}

TEST_CASE("a newer entry in a restored copy is used at once, also one of another process")
{
    for (const auto &newer : {statement(1, 7), statement(2, 1)}) {
        auto directory = directoryAfter({statement(1, 5), Removed{}});
        directory.apply(copyRead({{.key = "i-1", .offset = 3, .content = newer}}, 4));
        CHECK(upstreamIds(directory).size() == 1);
    }
}

TEST_CASE("records that are written after the store's return count by their offsets in the new era")
{
    auto directory = directoryAfter({statement(1, 5)});
    directory.apply(copyRead({{.key = "i-1", .offset = 3, .content = statement(1, 5)}}, 4));
    auto leaving = upstreamsRead({{.key = "i-1", .offset = 4, .content = statement(1, 6, true)}}, 5, 2s);
    leaving.end.era = 1;
    directory.apply(leaving);
    CHECK(upstreamIds(directory).empty());
    CHECK(directory.nextUpstreamPosition() == StorePosition{.era = 1, .offset = 5});
    // A VM that has not heard of the return still has the offsets of before.
    directory.apply(upstreamsRead({{.key = "i-1", .offset = 300, .content = statement(1, 5)}}, 301, 3s, true));
    CHECK(upstreamIds(directory).empty());
}

TEST_CASE("an upstream that a restored copy does not list is used for the time in which it registers again")
{
    auto directory = directoryAfter({statement(1, 5)});
    CHECK(directory.apply(copyRead({}, 4)).back().kind == Kind::RemovalHeld);
    CHECK(upstreamIds(directory).size() == 1);
    REQUIRE(directory.nextDeadline());
    CHECK(*directory.nextDeadline() - (Start + 1s) <= 2s);
    directory.apply(DeadlineReached{.at = *directory.nextDeadline()});
    CHECK(upstreamIds(directory).empty());
}

// Guards against the loss of the records between the end of the copy and the page.
TEST_CASE("a page of a new era is ignored until all newest records were read")
{
    auto directory = directoryAfter({statement(1, 5)});
    auto event = copyRead({{.key = "i-1", .offset = 200, .content = statement(1, 6, true)}}, 201);
    event.complete = false;
    CHECK(directory.apply(event).front().kind == Kind::PageIgnored);
    CHECK(directory.nextUpstreamPosition()->era == 0);
}

TEST_CASE("an older configuration of a restored copy is refused, and a newer one is taken at a lower offset")
{
    Directory directory;
    directory.apply(configurationRead(7, 50));
    auto copy = configurationRead(5, 2);
    copy.end.era = 1;
    CHECK(directory.apply(copy).front().kind == Kind::ConfigurationRefused);
    CHECK(directory.operatorConfiguration()->version == 7);
    auto newer = configurationRead(8, 3);
    newer.end.era = 1;
    CHECK(directory.apply(newer).front().kind == Kind::ConfigurationApplied);
    CHECK(directory.nextConfigurationPosition() == StorePosition{.era = 1, .offset = 4});
}
