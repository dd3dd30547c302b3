#include "fakestore.h"
#include "slowport.h"

using namespace Verbenadock;
using namespace Verbenadock::Fleet;
using namespace Verbenadock::Test;

namespace {

/// More than a page that one VM sends to another.
constexpr std::size_t LongConfigurationBytes = 24 * 1024;

} // namespace

// Guards against a VM that keeps an old configuration for good, because the only VMs that it hears started after the
// records that it lacks were written and send it pages without them.
TEST_CASE("a VM that lacks several versions catches up from one that read only the newest")
{
    boost::asio::io_context loop;
    Telemetry::MetricsRegistry registry;
    FakeStore store(loop);
    const auto behind = followerOfFirstVersion(loop, store, registry);
    store.write(configurationRecord(1, 2, LongConfigurationBytes));
    store.write(configurationRecord(2, 3, LongConfigurationBytes));
    const auto restarted = makeFollower(loop, store.endpoint(), registry);
    const PageServer peer(loop, [&restarted](std::string_view target) {
        return restarted->page(target);
    });
    REQUIRE(runUntil(loop, [&restarted] {
        return versionOf(*restarted) == 3;
    }));
    behind->catchUpFrom(peer.endpoint(), restarted->directory().nextConfigurationPosition(), {});
    CHECK(runUntil(loop, [&behind] {
        return versionOf(*behind) == 3;
    }));
    behind->stop();
    restarted->stop();
}

// Guards against endless reads of the same page when it holds nothing but records of other keys.
TEST_CASE("a VM catches up across a page that holds no configuration")
{
    boost::asio::io_context loop;
    Telemetry::MetricsRegistry registry;
    FakeStore store(loop);
    const auto behind = followerOfFirstVersion(loop, store, registry);
    for (std::uint64_t offset = 1; offset < 4; ++offset) {
        store.write({.offset = offset, .key = "other", .value = std::string(LongConfigurationBytes, 'x')});
    }
    store.write(configurationRecord(4, 2, LongConfigurationBytes));
    const PageServer peer(loop, [&store](std::string_view target) -> std::optional<Net::AdminPage> {
        const auto request = Platform::pageRequest(target);
        if (!request || !request->from) {
            return std::nullopt;
        }
        auto page = store.configuration().recordsFrom(*request->from);
        truncatePage(*page, LongConfigurationBytes);
        return Platform::readPage(*page);
    });
    behind->catchUpFrom(peer.endpoint(), {.offset = 5}, {});
    CHECK(runUntil(loop, [&behind] {
        return versionOf(*behind) == 2;
    }));
    behind->stop();
}

// Guards against upstreams that are never used, or never left, because a page of the store ended before their records
// on account of its size.
TEST_CASE("a page that the store ended early is continued where it ended")
{
    boost::asio::io_context loop;
    Telemetry::MetricsRegistry registry;
    FakeStore store(loop);
    const auto behind = makeFollower(loop, store.endpoint(), registry);
    REQUIRE(runUntil(loop, [&behind] {
        return behind->directory().nextUpstreamPosition().has_value();
    }));
    RecordCache upstreams;
    upstreams.append({{.offset = 0, .key = "first", .value = "{}"}, {.offset = 1, .key = "second", .value = "{}"}}, 2);
    const PageServer peer(loop, [&upstreams](std::string_view target) -> std::optional<Net::AdminPage> {
        const auto request = Platform::pageRequest(target);
        if (!request || !request->from) {
            return std::nullopt;
        }
        auto page = upstreams.recordsFrom(*request->from);
        // As the store does, the page states the end of the topic and not its own.
        page->records.resize(std::min<std::size_t>(page->records.size(), 1));
        return Platform::readPage(*page);
    });
    behind->catchUpFrom(peer.endpoint(), {}, {.offset = 2});
    CHECK(runUntil(loop, [&behind] {
        const auto known = behind->page("/v1/log-newest?topic=keyed.servers&part=0").value_or(Net::AdminPage{}).body;
        return known.find("first") != std::string::npos && known.find("second") != std::string::npos;
    }));
    behind->stop();
}

// Guards against a VM that goes on with old records although it knows of newer ones, because the VMs that have them are
// too busy to send them.
TEST_CASE("a VM that cannot get the records that it lacks from another VM reads the store")
{
    boost::asio::io_context loop;
    Telemetry::MetricsRegistry registry;
    FakeStore store(loop);
    const auto behind = followerOfFirstVersion(loop, store, registry);
    store.write(configurationRecord(1, 2, 0));
    const PageServer busy(loop, [](std::string_view) -> std::optional<Net::AdminPage> {
        return std::nullopt;
    });
    behind->catchUpFrom(busy.endpoint(), {.offset = 2}, {});
    CHECK(runUntil(loop, [&behind] {
        return versionOf(*behind) == 2;
    }));
    behind->stop();
}

// Guards against a VM that takes over from cut readers, is cut off itself, and keeps the others from reading because
// the store answered it long ago.
TEST_CASE("a VM that has not read the store since it was a reader does not count as answered by it")
{
    boost::asio::io_context loop;
    Telemetry::MetricsRegistry registry;
    FakeStore store(loop);
    const auto follower = followerOfFirstVersion(loop, store, registry);
    CHECK(runUntil(loop, [&follower] {
        return !follower->isFresh(monotonicNow());
    }));
    follower->stop();
}

// Guards against a 401 for a new key from a VM that believes an old configuration to be the newest one, and against a
// VM that never gives a 401 although the store answers it.
TEST_CASE("the configuration is confirmed by the answers of the store and not by those of other VMs")
{
    boost::asio::io_context loop;
    Telemetry::MetricsRegistry registry;
    FakeStore store(loop);
    store.write(configurationRecord(0, 1, 0));
    int confirmations = 0;
    std::uint64_t confirmedVersion = 0;
    std::shared_ptr<StoreFollower> reader;
    reader = makeFollower(loop, store.endpoint(), registry, {.isReader = true, .configurationConfirmed = [&] {
                                                                 ++confirmations;
                                                                 confirmedVersion = reader ? versionOf(*reader) : 0;
                                                             }});
    CHECK(runUntil(loop, [&] {
        return confirmations >= 3 && confirmedVersion == 1;
    }));
    store.write(configurationRecord(1, 2, 0));
    CHECK(runUntil(loop, [&] {
        return confirmedVersion == 2;
    }));
    reader->stop();
}

// Guards against a 401 from a VM that has not heard from the store.
TEST_CASE("a VM that reads only other VMs does not confirm the configuration itself")
{
    boost::asio::io_context loop;
    Telemetry::MetricsRegistry registry;
    FakeStore store(loop);
    store.write(configurationRecord(0, 1, 0));
    int confirmations = 0;
    const auto follower = makeFollower(loop, store.endpoint(), registry, {.configurationConfirmed = [&confirmations] {
                                           ++confirmations;
                                       }});
    REQUIRE(runUntil(loop, [&] {
        return versionOf(*follower) == 1 && confirmations == 1;
    }));
    RecordCache newer;
    newer.append({configurationRecord(0, 1, 0), configurationRecord(1, 2, 0)}, 2);
    const PageServer peer(loop, [&newer](std::string_view target) -> std::optional<Net::AdminPage> {
        const auto request = Platform::pageRequest(target);
        return request && request->from ? std::optional(Platform::readPage(*newer.recordsFrom(*request->from)))
                                        : std::nullopt;
    });
    follower->catchUpFrom(peer.endpoint(), {.offset = 2}, {});
    CHECK(runUntil(loop, [&] {
        return versionOf(*follower) == 2;
    }));
    CHECK(confirmations == 1);
    follower->stop();
}

// Guards against a data centre whose VMs all begin to read the store, because a long record is on its way to the VM
// that reads it for them and this VM counts as unanswered meanwhile.
TEST_CASE("a VM to which the store sends a long answer counts as answered by it")
{
    boost::asio::io_context loop;
    Telemetry::MetricsRegistry registry;
    RecordCache configuration;
    configuration.append({configurationRecord(0, 1, 0)}, 1);
    bool isSending = false;
    SlowPort store(loop, [&](std::string_view target) -> std::optional<SlowPage> {
        const auto request = Platform::pageRequest(target);
        const bool isConfiguration = request && request->topic == Platform::ConfigurationTopic;
        const bool waits = target.find("waitMs") != std::string_view::npos;
        if (!isConfiguration) {
            return SlowPage{.page = request && request->from ? Platform::readPage({}) : Platform::newestPage({}),
                            .beforeHead = waits ? 1000ms : 0ms};
        }
        if (!request->from) {
            return SlowPage{.page = Platform::newestPage(configuration.newest())};
        }
        if (*request->from == 1 && waits) {
            // The record is written shortly before the store would answer that there is none.
            configuration.append({configurationRecord(1, 2, LongConfigurationBytes)}, 2);
            isSending = true;
            return SlowPage{
                .page = Platform::readPage(*configuration.recordsFrom(1)), .beforeHead = 950ms, .body = 450ms};
        }
        return SlowPage{.page = Platform::readPage(*configuration.recordsFrom(*request->from))};
    });
    const auto reader = makeFollower(loop, store.endpoint(), registry, {.isReader = true});
    REQUIRE(runUntil(loop, [&] {
        return isSending && reader->isFresh(monotonicNow());
    }));
    bool stayedFresh = true;
    CHECK(runUntil(loop, [&] {
        stayedFresh = stayedFresh && reader->isFresh(monotonicNow());
        return versionOf(*reader) == 2;
    }));
    CHECK(stayedFresh);
    reader->stop();
}

// Guards against a VM that denies a route of a configuration of which it has only heard.
TEST_CASE("a VM reports that its configuration is superseded from when it hears of a newer one until it has it")
{
    boost::asio::io_context loop;
    Telemetry::MetricsRegistry registry;
    FakeStore store(loop);
    store.write(configurationRecord(0, 1, 0));
    std::vector<std::pair<bool, std::uint64_t>> reports;
    std::shared_ptr<StoreFollower> follower;
    follower = makeFollower(loop, store.endpoint(), registry, {.configurationSuperseded = [&](bool superseded) {
                                reports.emplace_back(superseded, versionOf(*follower));
                            }});
    REQUIRE(runUntil(loop, [&] {
        return versionOf(*follower) == 1;
    }));
    store.write(configurationRecord(1, 2, 0));
    follower->catchUpFrom(store.endpoint(), {.offset = 1}, {});
    CHECK(reports.empty());
    follower->catchUpFrom(store.endpoint(), {.offset = 2}, {});
    CHECK(runUntil(loop, [&] {
        return versionOf(*follower) == 2;
    }));
    CHECK(reports == std::vector<std::pair<bool, std::uint64_t>>{{true, 1}, {false, 2}});
    follower->stop();
}
