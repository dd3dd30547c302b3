#include "verbenadock/fleet/storefollower.h"

#include "verbenadock/net/adminserver.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Fleet;
using namespace std::chrono_literals;

namespace {

constexpr Duration TestLimit = 10s;
/// Serves pages of the store's topics.
class PageServer
{
public:
    PageServer(boost::asio::io_context &loop, std::function<std::optional<std::string>(std::string_view)> page)
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
    std::optional<std::string> page(std::string_view target) const
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

/// A follower that reads the store once and then only other VMs.
std::shared_ptr<StoreFollower> makeFollower(boost::asio::io_context &loop,
                                            const Endpoint &store,
                                            Telemetry::MetricsRegistry &registry)
{
    auto follower = std::make_shared<StoreFollower>(loop,
                                                    Settings::StoreSettings{.endpoint = store},
                                                    registry,
                                                    StoreFollower::Handlers{.directoryChanged = [] {},
                                                                            .peerEndpoints =
                                                                                [] {
                                                                                    return std::vector<Endpoint>();
                                                                                },
                                                                            .readsStore =
                                                                                [] {
                                                                                    return false;
                                                                                },
                                                                            .recordsRead = [](auto...) {}});
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

} // namespace

// Guards against upstreams that are never used, or never left, because a page of the store ended before their records
// on account of its size.
TEST_CASE("a page that the store ended early is continued where it ended")
{
    boost::asio::io_context loop;
    Telemetry::MetricsRegistry registry;
    FakeStore store(loop);
    const auto behind = makeFollower(loop, store.endpoint(), registry);
    REQUIRE(runUntil(loop, [&behind] {
        return behind->directory().nextUpstreamOffset().has_value();
    }));
    RecordCache upstreams;
    upstreams.append({{.offset = 0, .key = "first", .value = "{}"}, {.offset = 1, .key = "second", .value = "{}"}}, 2);
    const PageServer peer(loop, [&upstreams](std::string_view target) -> std::optional<std::string> {
        const auto request = Platform::pageRequest(target);
        if (!request || !request->from) {
            return std::nullopt;
        }
        auto page = upstreams.recordsFrom(*request->from);
        // As the store does, the page states the end of the topic and not its own.
        page->records.resize(std::min<std::size_t>(page->records.size(), 1));
        return Platform::readPage(*page);
    });
    behind->catchUpFrom(peer.endpoint(), 0, 2);
    CHECK(runUntil(loop, [&behind] {
        const auto known = behind->page("/v1/log-newest?topic=keyed.servers&part=0").value_or("");
        return known.find("first") != std::string::npos && known.find("second") != std::string::npos;
    }));
    behind->stop();
}
