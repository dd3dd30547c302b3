// A store and VMs in one process, for tests of StoreFollower.
#ifndef VERBENADOCK_TEST_FLEET_FAKESTORE_H
#define VERBENADOCK_TEST_FLEET_FAKESTORE_H

#include "verbenadock/fleet/storefollower.h"
#include "verbenadock/net/adminserver.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace Verbenadock::Test {

using namespace std::chrono_literals;
using Fleet::RecordCache;
using Fleet::StoreFollower;

inline constexpr Duration TestLimit = 10s;
inline Platform::KeyedRecord configurationRecord(std::uint64_t offset, std::uint64_t version, std::size_t bytes)
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
                  .page =
                      [this, page = std::move(page)](std::string_view target) {
                          auto answer = page(target);
                          this->bytes += answer ? answer->body.size() : 0;
                          return answer;
                      }})
    {
    }

    Endpoint endpoint() const
    {
        return this->server.endpoint();
    }

    /// Bytes of all pages that were served.
    std::size_t servedBytes() const
    {
        return this->bytes;
    }

private:
    std::size_t bytes = 0;
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

    std::size_t servedBytes() const
    {
        return this->server.servedBytes();
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

struct FollowerOptions
{
    /// Whether the follower reads the store all the time, or once and then only other VMs.
    bool isReader = false;
    std::function<void()> configurationConfirmed = {};
    std::function<void(bool)> configurationSuperseded = {};
    std::function<void(const Mesh::StoreRecordPatch &)> configurationPatched = [](auto &) {};
    std::vector<Endpoint> peers = {};
    double linkMbps = 0;
};

inline std::shared_ptr<StoreFollower> makeFollower(boost::asio::io_context &loop,
                                                   const Endpoint &store,
                                                   Telemetry::MetricsRegistry &registry,
                                                   FollowerOptions options = {})
{
    Settings::StoreSettings settings;
    settings.endpoint = store;
    settings.linkMbps = options.linkMbps;
    auto follower = std::make_shared<StoreFollower>(
        loop,
        settings,
        registry,
        StoreFollower::Handlers{.directoryChanged = [] {},
                                .peerEndpoints =
                                    [peers = std::move(options.peers)] {
                                        return peers;
                                    },
                                .readsStore =
                                    [isReader = options.isReader] {
                                        return isReader;
                                    },
                                .recordsRead = [](auto...) {},
                                .configurationPatched = std::move(options.configurationPatched),
                                .freshnessChanged = [] {},
                                .eraBegun = [](auto) {},
                                .configurationConfirmed = std::move(options.configurationConfirmed),
                                .configurationSuperseded = std::move(options.configurationSuperseded)});
    follower->start();
    return follower;
}

inline bool runUntil(boost::asio::io_context &loop, const std::function<bool()> &condition)
{
    const auto end = monotonicNow() + TestLimit;
    while (!condition() && monotonicNow() < end) {
        loop.run_for(10ms);
    }
    return condition();
}

inline std::uint64_t versionOf(StoreFollower &follower)
{
    const auto &configuration = follower.directory().operatorConfiguration();
    return configuration ? configuration->version : 0;
}

/// A follower that has read version 1, which it writes to the store before.
inline std::shared_ptr<StoreFollower> followerOfFirstVersion(boost::asio::io_context &loop,
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

} // namespace Verbenadock::Test

#endif
