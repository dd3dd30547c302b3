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
    // Outgoing streams bind to the address that other agents connect to, so that the network sees the same address of
    // a VM in both directions.
    this->streamOptions.localAddress = listen.address;
    this->streamOptions.counters = std::move(counters);
    this->server.emplace(
        ioContext,
        listen,
        [this](Net::MessageStream stream) {
            auto link = std::make_shared<Link>();
            link->stream = std::move(stream);
            link->stream.send(Control::encode(this->ownHello));
            return this->makeStreamHandlers(link);
        },
        this->streamOptions);
}

Net::StreamHandlers Peers::makeStreamHandlers(const LinkPointer &link)
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

void Peers::connect(const std::string &peerId, const std::string &address)
{
    auto &links = this->linksByPeerId[peerId];
    if (links.outgoing) {
        return;
    }
    auto link = std::make_shared<Link>();
    link->expectedPeerId = peerId;
    links.outgoing = link;
    link->stream = Net::MessageStream::connect(
        this->context, {address, this->port}, this->makeStreamHandlers(link), this->streamOptions);
    link->stream.send(Control::encode(this->ownHello));
}

void Peers::disconnect(const std::string &peerId)
{
    const auto found = this->linksByPeerId.find(peerId);
    if (found == this->linksByPeerId.end()) {
        return;
    }
    const PeerLinks links = found->second;
    this->linksByPeerId.erase(found);
    for (const auto &link : {links.outgoing, links.incoming}) {
        if (link) {
            this->close(link);
        }
    }
}

void Peers::send(const std::string &peerId, const Control::Message &message)
{
    const auto found = this->linksByPeerId.find(peerId);
    if (found == this->linksByPeerId.end()) {
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
        } else if (!link->peerId.empty()) {
            this->handlers.onMessage(link->peerId, std::move(message));
        } else {
            ++this->peerCounters.skippedMessages;
        }
    } catch (const Control::MessageError &) {
        ++this->peerCounters.skippedMessages;
    }
}

void Peers::handleHello(const LinkPointer &link, const Control::Hello &hello)
{
    const bool unexpectedPeer = !link->expectedPeerId.empty() && hello.vmId != link->expectedPeerId;
    const bool refused = unexpectedPeer || !link->peerId.empty() || hello.vmId.empty()
                         || hello.vmId == this->ownHello.vmId || hello.address.empty()
                         || hello.role != Control::PeerRole::Agent || hello.protocolVersion != Control::ProtocolVersion;
    if (refused) {
        ++this->peerCounters.refusedHellos;
        this->close(link);
        this->handleClosed(link);
        return;
    }
    link->peerId = hello.vmId;
    if (link->expectedPeerId.empty()) {
        const auto previous = std::exchange(this->linksByPeerId[hello.vmId].incoming, link);
        if (previous) {
            this->close(previous);
        }
    }
    this->handlers.onHello(hello);
}

void Peers::handleClosed(const LinkPointer &link)
{
    link->closed = true;
    const std::string peerId = link->expectedPeerId.empty() ? link->peerId : link->expectedPeerId;
    const auto found = this->linksByPeerId.find(peerId);
    if (found == this->linksByPeerId.end()) {
        return;
    }
    auto &links = found->second;
    if (links.outgoing != link && links.incoming != link) {
        return;
    }
    (links.outgoing == link ? links.outgoing : links.incoming).reset();
    if (!links.outgoing && !links.incoming) {
        this->linksByPeerId.erase(found);
        this->handlers.onDisconnected(peerId);
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
    for (const auto &[peerId, links] : std::exchange(this->linksByPeerId, {})) {
        for (const auto &link : {links.outgoing, links.incoming}) {
            if (link) {
                this->close(link);
            }
        }
    }
}

const PeerCounters &Peers::counters() const
{
    return this->peerCounters;
}

} // namespace Verbenadock::Agent
