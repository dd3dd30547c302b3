#ifndef VERBENADOCK_AGENT_PEERS_H
#define VERBENADOCK_AGENT_PEERS_H

#include "verbenadock/control/message.h"
#include "verbenadock/net/messagestream.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Verbenadock::Agent {

/// Messages that were not understood or not allowed.
struct PeerCounters
{
    std::uint64_t skippedMessages = 0;
    std::uint64_t refusedHellos = 0;
};

/// The streams to other agents, by the id of their VM. A peer may have one that it opened and one that this agent
/// opened; a message goes out on either.
class Peers
{
public:
    struct Handlers
    {
        std::function<void(const Control::Hello &)> onHello;
        std::function<void(const std::string &peer, Control::Message)> onMessage;
        std::function<void(const std::string &peer)> onGone;
    };

    Peers(boost::asio::io_context &ioContext,
          const Endpoint &listen,
          std::uint16_t peerPort,
          Control::Hello hello,
          std::shared_ptr<Net::StreamCounters> counters,
          Handlers peerHandlers);

    void connect(const std::string &peer, const std::string &address);
    void disconnect(const std::string &peer);
    void send(const std::string &peer, const Control::Message &message);
    void stop();

    const PeerCounters &counters() const;

private:
    struct Link
    {
        Net::MessageStream stream;
        /// Empty until the peer's Hello has come.
        std::string peer;
        /// The peer that this agent wanted to reach; empty for an accepted stream.
        std::string expected;
        bool closed = false;
    };

    using LinkPointer = std::shared_ptr<Link>;

    struct Peer
    {
        LinkPointer outgoing;
        LinkPointer incoming;
    };

    Net::StreamHandlers handlersFor(const LinkPointer &link);
    void handleBytes(const LinkPointer &link, std::string_view bytes);
    void handleHello(const LinkPointer &link, const Control::Hello &hello);
    void handleClosed(const LinkPointer &link);
    void close(const LinkPointer &link);

    boost::asio::io_context &context;
    std::uint16_t port;
    Control::Hello ownHello;
    Handlers handlers;
    PeerCounters totals;
    Net::StreamOptions options;
    std::map<std::string, Peer> peers;
    std::optional<Net::MessageServer> server;
};

} // namespace Verbenadock::Agent

#endif
