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

/// Messages that were invalid or came before a Hello, and Hellos that were refused.
struct PeerCounters
{
    std::uint64_t skippedMessages = 0;
    std::uint64_t refusedHellos = 0;
};

/// Message streams to other agents, by VM id. A peer can have both an incoming and an outgoing stream; messages are
/// sent on the outgoing stream if there is one.
class Peers
{
public:
    struct Handlers
    {
        std::function<void(const Control::Hello &)> onHello;
        std::function<void(const std::string &peerId, Control::Message)> onMessage;
        std::function<void(const std::string &peerId)> onDisconnected;
    };

    Peers(boost::asio::io_context &ioContext,
          const Endpoint &listen,
          std::uint16_t peerPort,
          Control::Hello hello,
          std::shared_ptr<Net::StreamCounters> counters,
          Handlers peerHandlers);

    void connect(const std::string &peerId, const std::string &address);
    void disconnect(const std::string &peerId);
    /// Drops the message when the peer has no stream.
    void send(const std::string &peerId, const Control::Message &message);
    void stop();

    const PeerCounters &counters() const;

private:
    struct Link
    {
        Net::MessageStream stream;
        /// Empty until the peer's Hello was accepted.
        std::string peerId;
        /// The peer that this agent connected to; empty for an incoming stream.
        std::string expectedPeerId;
        bool closed = false;
    };

    using LinkPointer = std::shared_ptr<Link>;

    struct PeerLinks
    {
        LinkPointer outgoing;
        LinkPointer incoming;
    };

    Net::StreamHandlers makeStreamHandlers(const LinkPointer &link);
    void handleBytes(const LinkPointer &link, std::string_view bytes);
    void handleHello(const LinkPointer &link, const Control::Hello &hello);
    void handleClosed(const LinkPointer &link);
    void close(const LinkPointer &link);

    boost::asio::io_context &context;
    std::uint16_t port;
    Control::Hello ownHello;
    Handlers handlers;
    PeerCounters peerCounters;
    Net::StreamOptions streamOptions;
    std::map<std::string, PeerLinks> linksByPeerId;
    std::optional<Net::MessageServer> server;
};

} // namespace Verbenadock::Agent

#endif
