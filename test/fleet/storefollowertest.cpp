#include "verbenadock/fleet/storefollower.h"

#include "verbenadock/net/adminserver.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Fleet;
using namespace std::chrono_literals;

namespace {

constexpr Duration TestLimit = 10s;
/// More than a page that one VM sends to another.
constexpr std::size_t LongConfigurationBytes = 24 * 1024;

Platform::KeyedRecord configurationRecord(std::uint64_t offset, std::uint64_t version, std::size_t bytes)
{
    const nlohmann::json configuration{{"version", "r" + std::to_string(version)},
                                       {"resources", nlohmann::json::array()},
                                       {"padding", std::string(bytes, 'x')}};
    return {.offset = offset, .key = std::string(Platform::ConfigurationKey), .value = configuration.dump()};
}

/// Serves pages of the store's topics.
class PageServer
{
public:
    PageServer(boost::asio::io_context &loop, std::function<std::optional<Net::AdminPage>(std::string_view)> page)
        : server(loop,
                 {.address = "127.0.6.1", .port = 0},
                 {.ready =
                      [] {
                          return true;
                      },
                  .metrics =
                      [] {
                          return std::string();
                      },
                  .dump =
                      [] {
                          return std::string();
                      },
                  .page = std::move(page)})
    {
    }

    Endpoint endpoint() const
    {
        return this->server.endpoint();
    }

private:
    Net::AdminServer server;
};

/// A store with the given configuration records and no upstreams.
class FakeStore
{
public:
    explicit FakeStore(boost::asio::io_context &loop)
        : server(loop, [this](std::string_view target) {
            return this->page(target);
        })
    {
    }

    void write(const Platform::KeyedRecord &record)
    {
        this->records.append({record}, record.offset + 1);
    }

    const RecordCache &configuration() const
    {
        return this->records;
    }

    Endpoint endpoint() const
    {
        return this->server.endpoint();
    }

private:
    std::optional<Net::AdminPage> page(std::string_view target) const
    {
        const auto request = Platform::pageRequest(target);
        const RecordCache empty;
        const auto &topic = request && request->topic == Platform::ConfigurationTopic ? this->records : empty;
        if (!request || !request->from) {
            return Platform::newestPage(topic.newest());
        }
        const auto page = topic.recordsFrom(*request->from);
        return page ? std::optional(Platform::readPage(*page)) : std::nullopt;
    }

    RecordCache records;
    PageServer server;
};

/// A follower that reads the store once and then only other VMs, or all the time as a reader.
std::shared_ptr<StoreFollower> makeFollower(boost::asio::io_context &loop,
                                            const Endpoint &store,
                                            Telemetry::MetricsRegistry &registry,
                                            bool isReader = false,
                                            std::function<void()> configurationConfirmed = {})
{
    Settings::StoreSettings settings;
    settings.endpoint = store;
    auto follower = std::make_shared<StoreFollower>(
        loop,
        settings,
        registry,
        StoreFollower::Handlers{.directoryChanged = [] {},
                                .peerEndpoints =
                                    [] {
                                        return std::vector<Endpoint>();
                                    },
                                .readsStore =
                                    [isReader] {
                                        return isReader;
                                    },
                                .recordsRead = [](auto...) {},
                                .freshnessChanged = [] {},
                                .eraBegun = [](auto) {},
                                .configurationConfirmed = std::move(configurationConfirmed)});
    follower->start();
    return follower;
}

bool runUntil(boost::asio::io_context &loop, const std::function<bool()> &condition)
{
    const auto end = monotonicNow() + TestLimit;
    while (!condition() && monotonicNow() < end) {
        loop.run_for(10ms);
    }
    return condition();
}

std::uint64_t versionOf(StoreFollower &follower)
{
    const auto &configuration = follower.directory().operatorConfiguration();
    return configuration ? configuration->version : 0;
}

/// A follower that has read version 1, which it writes to the store before.
std::shared_ptr<StoreFollower> followerOfFirstVersion(boost::asio::io_context &loop,
                                                      FakeStore &store,
                                                      Telemetry::MetricsRegistry &registry)
{
    store.write(configurationRecord(0, 1, 0));
    auto follower = makeFollower(loop, store.endpoint(), registry);
    REQUIRE(runUntil(loop, [&follower] {
        return versionOf(*follower) == 1;
    }));
    return follower;
}

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
    reader = makeFollower(loop, store.endpoint(), registry, true, [&] {
        ++confirmations;
        confirmedVersion = reader ? versionOf(*reader) : 0;
    });
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
    const auto follower = makeFollower(loop, store.endpoint(), registry, false, [&confirmations] {
        ++confirmations;
    });
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
