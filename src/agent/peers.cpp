#include "peers.h"

#include <utility>

namespace Verbenadock::Agent {

Peers::Peers(boost::asio::io_context &ioContext,
             const Endpoint &listen,
             std::uint16_t peerPort,
             Control::Hello hello,
             std::shared_ptr<Net::StreamCounters> counters,
             Handlers peerHandlers)
    : context(ioContext)
    , port(peerPort)
    , ownHello(std::move(hello))
    , handlers(std::move(peerHandlers))
{
    // Streams leave from the address that other agents know, so that both directions of a VM look alike to a network.
    this->options.localAddress = listen.address;
    this->options.counters = std::move(counters);
    this->server.emplace(
        ioContext,
        listen,
        [this](Net::MessageStream stream) {
            auto link = std::make_shared<Link>();
            link->stream = std::move(stream);
            link->stream.send(Control::encode(this->ownHello));
            return this->handlersFor(link);
        },
        this->options);
}

Net::StreamHandlers Peers::handlersFor(const LinkPointer &link)
{
    return {.onOpen = {},
            .onMessage =
                [this, link](std::string_view bytes) {
                    this->handleBytes(link, bytes);
                },
            .onClose =
                [this, link](const Net::StreamClosed &) {
                    this->handleClosed(link);
                }};
}

void Peers::connect(const std::string &peer, const std::string &address)
{
    auto &entry = this->peers[peer];
    if (entry.outgoing) {
        return;
    }
    auto link = std::make_shared<Link>();
    link->expected = peer;
    entry.outgoing = link;
    link->stream
        = Net::MessageStream::connect(this->context, {address, this->port}, this->handlersFor(link), this->options);
    link->stream.send(Control::encode(this->ownHello));
}

void Peers::disconnect(const std::string &peer)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) {
        return;
    }
    const Peer entry = found->second;
    this->peers.erase(found);
    for (const auto &link : {entry.outgoing, entry.incoming}) {
        if (link) {
            this->close(link);
        }
    }
}

void Peers::send(const std::string &peer, const Control::Message &message)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) {
        return;
    }
    const auto &link = found->second.outgoing ? found->second.outgoing : found->second.incoming;
    link->stream.send(Control::encode(message));
}

void Peers::handleBytes(const LinkPointer &link, std::string_view bytes)
{
    if (link->closed) {
        return;
    }
    try {
        auto message = Control::decode(bytes);
        if (const auto *hello = std::get_if<Control::Hello>(&message)) {
            this->handleHello(link, *hello);
        } else if (!link->peer.empty()) {
            this->handlers.onMessage(link->peer, std::move(message));
        } else {
            ++this->totals.skippedMessages;
        }
    } catch (const Control::MessageError &) {
        ++this->totals.skippedMessages;
    }
}

void Peers::handleHello(const LinkPointer &link, const Control::Hello &hello)
{
    const bool wrongPeer = !link->expected.empty() && hello.vmId != link->expected;
    const bool refused = wrongPeer || !link->peer.empty() || hello.vmId.empty() || hello.vmId == this->ownHello.vmId
                         || hello.address.empty() || hello.role != Control::PeerRole::Agent
                         || hello.protocolVersion != Control::ProtocolVersion;
    if (refused) {
        ++this->totals.refusedHellos;
        this->close(link);
        this->handleClosed(link);
        return;
    }
    link->peer = hello.vmId;
    if (link->expected.empty()) {
        const auto previous = std::exchange(this->peers[hello.vmId].incoming, link);
        if (previous) {
            this->close(previous);
        }
    }
    this->handlers.onHello(hello);
}

void Peers::handleClosed(const LinkPointer &link)
{
    link->closed = true;
    const std::string peer = link->expected.empty() ? link->peer : link->expected;
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) {
        return;
    }
    auto &entry = found->second;
    if (entry.outgoing != link && entry.incoming != link) {
        return;
    }
    (entry.outgoing == link ? entry.outgoing : entry.incoming).reset();
    if (!entry.outgoing && !entry.incoming) {
        this->peers.erase(found);
        this->handlers.onGone(peer);
    }
}

void Peers::close(const LinkPointer &link)
{
    link->closed = true;
    link->stream.close();
}

void Peers::stop()
{
    this->server->stop();
    for (const auto &[peer, entry] : std::exchange(this->peers, {})) {
        for (const auto &link : {entry.outgoing, entry.incoming}) {
            if (link) {
                this->close(link);
            }
        }
    }
}

const PeerCounters &Peers::counters() const
{
    return this->totals;
}

} // namespace Verbenadock::Agent
