#include "verbenadock/control/agentlink.h"
#include "verbenadock/net/messagestream.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace Verbenadock;
using namespace Verbenadock::Control;

namespace {

/// Test agent that answers every Hello with its own Hello.
class Agent
{
public:
    Agent(boost::asio::io_context &context, const Endpoint &endpoint, std::uint32_t version = ProtocolVersion)
        : server(context, endpoint, [this, version](Net::MessageStream newStream) {
            this->stream = std::move(newStream);
            ++this->accepted;
            return Net::StreamHandlers{.onOpen = {},
                                       .onMessage =
                                           [this, version](std::string_view bytes) {
                                               this->received.push_back(decode(bytes));
                                               if (std::holds_alternative<Hello>(this->received.back())) {
                                                   this->stream.send(encode(Hello{
                                                       .protocolVersion = version, .vmId = "vm-1", .dataCentre = {}}));
                                               }
                                           },
                                       .onClose = {}};
        })
    {
    }

    Net::MessageStream stream;
    int accepted = 0;
    std::vector<Message> received;
    Net::MessageServer server;
};

template<typename Condition>
bool runUntil(boost::asio::io_context &context, const Condition &condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < limit) {
        context.run_one_for(std::chrono::milliseconds(10));
    }
    return condition();
}

const Hello EntryHello{.role = PeerRole::Entry, .vmId = "vm-1", .dataCentre = "cz-1", .incarnation = 7};

} // namespace

// Guards against an entry that does not reconnect after a restart of its agent.
TEST_CASE("the link sends Hello first and reconnects after an agent restart")
{
    boost::asio::io_context context;
    std::optional<Agent> agent;
    agent.emplace(context, Endpoint{"127.0.0.1", 0});
    const auto endpoint = agent->server.endpoint();
    std::vector<Message> messages;
    AgentLink link(context, endpoint, EntryHello, [&](const Message &message) {
        messages.push_back(message);
    });
    CHECK_FALSE(link.send(LeavingUpdate{}));
    REQUIRE(runUntil(context, [&] {
        return link.connected();
    }));
    CHECK(agent->received.front() == Message(EntryHello));

    agent.reset();
    REQUIRE(runUntil(context, [&] {
        return !link.connected();
    }));
    CHECK_FALSE(link.send(LeavingUpdate{}));
    agent.emplace(context, endpoint);
    REQUIRE(runUntil(context, [&] {
        return link.connected();
    }));
    CHECK(link.send(BundleRequest{{"moka"}}));
    agent->stream.send("garbage");
    agent->stream.send(encode(LeavingUpdate{{"127.0.0.9"}}));
    REQUIRE(runUntil(context, [&] {
        return agent->received.size() == 2 && messages.size() == 3;
    }));
    CHECK(messages.back() == Message(LeavingUpdate{{"127.0.0.9"}}));
    CHECK(link.skippedMessages() == 1);
}

// Guards against reconnecting without a delay and against messages whose meaning differs between versions.
TEST_CASE("the link backs off from an agent with another protocol version")
{
    boost::asio::io_context context;
    Agent agent(context, {"127.0.0.1", 0}, ProtocolVersion + 1);
    AgentLink link(context, agent.server.endpoint(), EntryHello, {});
    const auto start = std::chrono::steady_clock::now();
    REQUIRE(runUntil(context, [&] {
        return agent.accepted == 4;
    }));
    // The delays before the fourth connection are at least 25, 50 and 100 ms.
    CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(175));
    CHECK_FALSE(link.connected());
}
