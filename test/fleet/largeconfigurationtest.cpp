// Configurations of nearly the size that the store allows.
#include "fakestore.h"

#include <random>

using namespace Verbenadock;
using namespace Verbenadock::Fleet;
using namespace Verbenadock::Test;

namespace {

constexpr std::size_t Routes = 1200;

/// A configuration with many routes, which differ between versions in one route only. A different seed gives other
/// routes.
Platform::KeyedRecord largeConfiguration(std::uint64_t offset, std::uint64_t version, unsigned seed = 1)
{
    std::mt19937 random(seed);
    auto resources = nlohmann::json::array();
    const auto addRoute = [&](const std::string &prefix) {
        resources.push_back({{"entryKind", "routes"},
                             {"metadata", {{"name", "r-" + std::to_string(random())}}},
                             {"spec",
                              {{"host", "desk.example"},
                               {"pathPrefix", "/" + prefix + "/"},
                               {"kind", "safe"},
                               {"timeoutS", 2},
                               {"maxAttempts", 2},
                               {"service", "tabelle"}}}});
    };
    for (std::size_t route = 0; route < Routes; ++route) {
        addRoute(std::to_string(random()));
    }
    addRoute("version" + std::to_string(version));
    const nlohmann::json configuration{{"version", "r" + std::to_string(version)}, {"resources", resources}};
    return {.offset = offset, .key = std::string(Platform::ConfigurationKey), .value = configuration.dump()};
}

/// VMs that have read a large version from the store: one reads on, the other one follows it.
struct ReaderAndFollower
{
    explicit ReaderAndFollower(double readerLinkMbps = 0)
    {
        this->store.write(largeConfiguration(0, 1));
        this->reader = makeFollower(
            this->loop, this->store.endpoint(), this->registry, {.isReader = true, .linkMbps = readerLinkMbps});
        this->follower = makeFollower(this->loop, this->store.endpoint(), this->registry);
        REQUIRE(this->runUntilVersion(*this->reader, 1));
        REQUIRE(this->runUntilVersion(*this->follower, 1));
    }

    ~ReaderAndFollower()
    {
        this->reader->stop();
        this->follower->stop();
    }

    bool runUntilVersion(StoreFollower &vm, std::uint64_t version)
    {
        return runUntil(this->loop, [&vm, version] {
            return versionOf(vm) == version;
        });
    }

    boost::asio::io_context loop;
    Telemetry::MetricsRegistry registry;
    FakeStore store{loop};
    std::shared_ptr<StoreFollower> reader;
    std::shared_ptr<StoreFollower> follower;
    PageServer readerPort{loop, [this](std::string_view target) {
                              return this->reader->page(target);
                          }};
};

std::size_t sizeOf(const Platform::KeyedRecord &record)
{
    return record.value->size();
}

} // namespace

// Guards against configurations that come late because each of their versions crosses all links as a whole: 36 VMs with
// 10 Mbit/s took a version of 250 KB for a single route from one reader at the same moment, and most of them ran into
// their time-outs.
TEST_CASE("a VM that lacks the newest change of a large configuration fetches little more than the change")
{
    ReaderAndFollower vms;
    const auto changed = largeConfiguration(1, 2);
    vms.store.write(changed);
    REQUIRE(vms.runUntilVersion(*vms.reader, 2));
    vms.follower->catchUpFrom(vms.readerPort.endpoint(), vms.reader->directory().nextConfigurationPosition(), {});
    CHECK(vms.runUntilVersion(*vms.follower, 2));
    CHECK(vms.readerPort.servedBytes() < sizeOf(changed) / 50);
}

// Guards against a VM that falls behind further with each version of a series, because it fetches and applies all of
// them one after the other.
TEST_CASE("a VM that lacks several versions of a large configuration fetches the newest one only")
{
    ReaderAndFollower vms;
    std::uint64_t version = 1;
    for (std::uint64_t offset = 1; offset < 5; ++offset) {
        vms.store.write(largeConfiguration(offset, ++version));
    }
    REQUIRE(vms.runUntilVersion(*vms.reader, version));
    vms.follower->catchUpFrom(vms.readerPort.endpoint(), vms.reader->directory().nextConfigurationPosition(), {});
    CHECK(vms.runUntilVersion(*vms.follower, version));
    CHECK(vms.readerPort.servedBytes() < sizeOf(largeConfiguration(1, 2)) / 50);
}

// Guards against large configurations that a VM with a thin link cannot fetch within its time-outs when most of the
// routes are new to it.
TEST_CASE("a VM that lacks a configuration with many new routes fetches it compressed")
{
    ReaderAndFollower vms;
    const auto changed = largeConfiguration(1, 2, 2);
    vms.store.write(changed);
    REQUIRE(vms.runUntilVersion(*vms.reader, 2));
    vms.follower->catchUpFrom(vms.readerPort.endpoint(), vms.reader->directory().nextConfigurationPosition(), {});
    CHECK(vms.runUntilVersion(*vms.follower, 2));
    CHECK(vms.readerPort.servedBytes() < sizeOf(changed) / 4);
}

// Guards against a VM that never catches up with the store on a thin link, because each of its pages has several large
// versions of which all but the last were replaced.
TEST_CASE("a VM that reads several large versions from the store takes the newest one only")
{
    ReaderAndFollower vms;
    const auto servedBefore = vms.store.servedBytes();
    const PageServer busy(vms.loop, [](std::string_view) -> std::optional<Net::AdminPage> {
        return std::nullopt;
    });
    vms.reader->stop();
    std::uint64_t version = 1;
    for (std::uint64_t offset = 1; offset < 5; ++offset) {
        vms.store.write(largeConfiguration(offset, ++version));
    }
    vms.follower->catchUpFrom(busy.endpoint(), {.offset = 5}, {});
    CHECK(vms.runUntilVersion(*vms.follower, version));
    // The newest records of all keys are in base64, which adds a third.
    CHECK(vms.store.servedBytes() - servedBefore < 2 * sizeOf(largeConfiguration(1, 2)));
}

// Guards against VMs that start without a configuration while the store is away, although others have it.
TEST_CASE("a VM that starts while the store does not answer gets a large configuration compressed from another one")
{
    ReaderAndFollower vms;
    const PageServer away(vms.loop, [](std::string_view) -> std::optional<Net::AdminPage> {
        return std::nullopt;
    });
    const auto started = makeFollower(
        vms.loop, away.endpoint(), vms.registry, {.isReader = true, .peers = {vms.readerPort.endpoint()}});
    CHECK(vms.runUntilVersion(*started, 1));
    CHECK(vms.readerPort.servedBytes() < sizeOf(largeConfiguration(1, 1)) / 2);
    started->stop();
}

// Guards against VMs that wait for a reader with a thin link until all of them run into their time-outs. With 42 VMs
// and 10 Mbit/s, none had the configuration after 0.8 s, and the link was in use for 2 s.
TEST_CASE("VMs that a reader with a thin link cannot serve in time read the store at once")
{
    constexpr double ThinLinkMbps = 0.1;
    ReaderAndFollower vms(ThinLinkMbps);
    const auto other = makeFollower(vms.loop, vms.store.endpoint(), vms.registry);
    REQUIRE(vms.runUntilVersion(*other, 1));
    vms.store.write(largeConfiguration(1, 2, 2));
    REQUIRE(vms.runUntilVersion(*vms.reader, 2));
    const auto servedByStore = vms.store.servedBytes();
    const auto end = vms.reader->directory().nextConfigurationPosition();
    const auto start = monotonicNow();
    vms.follower->catchUpFrom(vms.readerPort.endpoint(), end, {});
    other->catchUpFrom(vms.readerPort.endpoint(), end, {});
    CHECK(vms.runUntilVersion(*vms.follower, 2));
    CHECK(vms.runUntilVersion(*other, 2));
    // Less than the interval at which a VM checks whether it has to read the store, and than any time-out.
    CHECK(monotonicNow() - start < 150ms);
    const auto size = sizeOf(largeConfiguration(1, 2, 2));
    CHECK(vms.readerPort.servedBytes() < size);
    CHECK(vms.store.servedBytes() - servedByStore > size);
    other->stop();
}

// Guards against a patch from each VM that reads the store because it is behind, to all others.
TEST_CASE("a VM announces a configuration that it read from the store only if it is a reader")
{
    boost::asio::io_context loop;
    Telemetry::MetricsRegistry registry;
    FakeStore store(loop);
    store.write(largeConfiguration(0, 1));
    int patchesOfReader = 0;
    int patchesOfOther = 0;
    const auto countIn = [](int &count) {
        return [&count](const Mesh::StoreRecordPatch &patch) {
            count += patch.base == 0 && patch.offset == 1 ? 1 : 0;
        };
    };
    const auto reader = makeFollower(
        loop, store.endpoint(), registry, {.isReader = true, .configurationPatched = countIn(patchesOfReader)});
    const auto other
        = makeFollower(loop, store.endpoint(), registry, {.configurationPatched = countIn(patchesOfOther)});
    REQUIRE(runUntil(loop, [&] {
        return versionOf(*reader) == 1 && versionOf(*other) == 1;
    }));
    store.write(largeConfiguration(1, 2));
    const PageServer busy(loop, [](std::string_view) -> std::optional<Net::AdminPage> {
        return std::nullopt;
    });
    other->catchUpFrom(busy.endpoint(), {.offset = 2}, {});
    CHECK(runUntil(loop, [&] {
        return versionOf(*reader) == 2 && versionOf(*other) == 2;
    }));
    CHECK(patchesOfReader == 1);
    CHECK(patchesOfOther == 0);
    reader->stop();
    other->stop();
}
