#include "peerlinks.h"

#include <vector>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr Duration CheckInterval = std::chrono::seconds(1);
// A peer counts as unreachable when it sends nothing for this time, although a confirmation is due every second.
constexpr Duration SilenceLimit = std::chrono::seconds(4);
constexpr Duration IdleLimit = std::chrono::seconds(60);

} // namespace

PeerLinks::PeerLinks(asio::io_context &ioContext, Endpoint listenEndpoint, Handlers linkHandlers)
    : context(ioContext)
    , listen(std::move(listenEndpoint))
    , handlers(std::move(linkHandlers))
    , timer(ioContext)
{
}

void PeerLinks::start()
{
    const auto weak = this->weak_from_this();
    this->server = std::make_unique<Net::MessageServer>(this->context, this->listen, [weak](Net::MessageStream stream) {
        const auto self = weak.lock();
        return self ? self->accept(std::move(stream)) : Net::StreamHandlers{};
    });
    this->scheduleLinkCheck();
}

void PeerLinks::stop()
{
    this->stopped = true;
    this->timer.cancel();
    for (const auto &[address, link] : std::exchange(this->outgoing, {})) {
        link->closed = true;
        link->stream.close();
    }
    if (this->server) {
        this->server->stop();
    }
    this->incoming.clear();
}

Net::StreamHandlers PeerLinks::accept(Net::MessageStream stream)
{
    auto link = std::make_shared<IncomingLink>();
    link->stream = std::move(stream);
    this->incoming.insert(link);
    Net::StreamHandlers streamHandlers;
    const auto weak = this->weak_from_this();
    streamHandlers.onMessage = [weak, link](std::string_view bytes) {
        if (const auto self = weak.lock()) {
            self->handleRequest(link, bytes);
        }
    };
    streamHandlers.onClose = [weak, link](const Net::StreamClosed &) {
        link->closed = true;
        const auto self = weak.lock();
        if (self && self->incoming.erase(link) > 0) {
            self->handlers.onIncomingClosed(link);
        }
    };
    return streamHandlers;
}

void PeerLinks::handleRequest(const IncomingPointer &link, std::string_view bytes)
{
    if (this->stopped) {
        return;
    }
    try {
        auto message = Control::decode(bytes);
        if (const auto *confirmation = std::get_if<Control::KeyConfirmation>(&message)) {
            this->handlers.onConfirmation(*confirmation);
            this->answer(link, this->handlers.confirmation());
        } else {
            this->handlers.onRequest(link, std::move(message));
        }
    } catch (const Control::MessageError &) {
        ++this->totals.skippedMessages;
    }
}

void PeerLinks::answer(const IncomingPointer &link, const Control::Message &message)
{
    if (!link->closed) {
        link->stream.send(Control::encode(message));
    }
}

PeerLinks::OutgoingPointer PeerLinks::outgoingLink(const std::string &address)
{
    const auto found = this->outgoing.find(address);
    if (found != this->outgoing.end()) {
        return found->second;
    }
    Endpoint endpoint;
    try {
        endpoint = parseEndpoint(address);
    } catch (const Error &) {
        return nullptr;
    }
    auto link = std::make_shared<OutgoingLink>();
    link->address = address;
    link->lastReceivedAt = monotonicNow();
    this->outgoing[address] = link;
    ++this->totals.opened;
    Net::StreamHandlers streamHandlers;
    const auto weak = this->weak_from_this();
    streamHandlers.onOpen = [link] {
        link->opened = true;
        link->lastReceivedAt = monotonicNow();
    };
    streamHandlers.onMessage = [weak, link](std::string_view bytes) {
        if (const auto self = weak.lock()) {
            self->handleAnswer(link, bytes);
        }
    };
    streamHandlers.onClose = [weak, link](const Net::StreamClosed &) {
        if (const auto self = weak.lock()) {
            self->failLink(link);
        }
    };
    // Both ends of a link use the addresses of their VMs, so that a network partition between two VMs affects it.
    Net::StreamOptions options;
    options.localAddress = this->listen.address;
    link->stream = Net::MessageStream::connect(this->context, endpoint, std::move(streamHandlers), options);
    return link;
}

void PeerLinks::send(const OutgoingPointer &link, const Control::Message &message)
{
    link->lastSentAt = monotonicNow();
    if (!link->stream.send(Control::encode(message))) {
        // The failure is reported later, as if the stream had broken after the message was queued.
        asio::post(this->context, [weak = this->weak_from_this(), link] {
            if (const auto self = weak.lock()) {
                self->failLink(link);
            }
        });
    }
}

void PeerLinks::forward(const Keys::EpochMember &member, Control::KeyForward message)
{
    const auto id = message.id;
    const auto link = this->outgoingLink(member.address);
    if (!link) {
        this->handlers.onForwardFailed(id, false);
        return;
    }
    link->pendingForwards.insert(id);
    this->send(link, std::move(message));
}

void PeerLinks::sendFence(const Keys::EpochMember &member, const Keys::FenceRequest &request)
{
    const auto link = this->outgoingLink(member.address);
    if (!link) {
        this->handlers.onFenceFailed(request.id, request.to);
        return;
    }
    link->pendingFences.insert({request.id, request.to});
    this->send(link, request);
}

void PeerLinks::handOver(const Keys::EpochMember &member, const Keys::HandOverPart &part)
{
    const auto link = this->outgoingLink(member.address);
    if (!link) {
        this->handlers.onHandOverEnded(part.to, part.part);
        return;
    }
    link->pendingHandOvers.insert({part.to, part.part});
    this->send(link, part);
}

void PeerLinks::handleAnswer(const OutgoingPointer &link, std::string_view bytes)
{
    if (link->closed) {
        return;
    }
    link->lastReceivedAt = monotonicNow();
    try {
        auto message = Control::decode(bytes);
        if (auto *answer = std::get_if<Control::KeyForwardAnswer>(&message)) {
            if (link->pendingForwards.erase(answer->id) > 0) {
                this->handlers.onForwardAnswer(answer->id, std::move(*answer));
            }
        } else if (const auto *reply = std::get_if<Keys::FenceReply>(&message)) {
            if (link->pendingFences.erase({reply->id, reply->about}) > 0) {
                this->handlers.onFenceReply(*reply);
            }
        } else if (const auto *handOver = std::get_if<Control::KeyHandOverAnswer>(&message)) {
            const auto found
                = std::find_if(link->pendingHandOvers.begin(), link->pendingHandOvers.end(), [&](const auto &part) {
                      return part.second == handOver->part;
                  });
            if (found != link->pendingHandOvers.end()) {
                const auto ended = link->pendingHandOvers.extract(found);
                this->handlers.onHandOverEnded(ended.value().first, ended.value().second);
            }
        } else if (const auto *confirmation = std::get_if<Control::KeyConfirmation>(&message)) {
            this->handlers.onConfirmation(*confirmation);
        } else {
            ++this->totals.skippedMessages;
        }
    } catch (const Control::MessageError &) {
        ++this->totals.skippedMessages;
    }
}

void PeerLinks::failLink(const OutgoingPointer &link)
{
    if (std::exchange(link->closed, true) || this->stopped) {
        return;
    }
    link->stream.close();
    const auto found = this->outgoing.find(link->address);
    if (found != this->outgoing.end() && found->second == link) {
        this->outgoing.erase(found);
    }
    for (const auto id : std::exchange(link->pendingForwards, {})) {
        this->handlers.onForwardFailed(id, link->opened);
    }
    for (const auto &[id, member] : std::exchange(link->pendingFences, {})) {
        this->handlers.onFenceFailed(id, member);
    }
    for (const auto &[member, part] : std::exchange(link->pendingHandOvers, {})) {
        this->handlers.onHandOverEnded(member, part);
    }
}

void PeerLinks::scheduleLinkCheck()
{
    this->timer.expires_after(CheckInterval);
    this->timer.async_wait([weak = this->weak_from_this()](ErrorCode error) {
        const auto self = weak.lock();
        if (self && !error && !self->stopped) {
            self->checkLinks();
            self->scheduleLinkCheck();
        }
    });
}

void PeerLinks::checkLinks()
{
    const auto now = monotonicNow();
    std::vector<OutgoingPointer> links;
    for (const auto &[address, link] : this->outgoing) {
        links.push_back(link);
    }
    const Control::Message confirmation = this->handlers.confirmation();
    for (const auto &link : links) {
        const bool unresponsive = now - link->lastReceivedAt > SilenceLimit;
        this->totals.unresponsive += unresponsive ? 1 : 0;
        if (unresponsive || (!link->hasPendingRequests() && now - link->lastSentAt > IdleLimit)) {
            this->failLink(link);
        } else if (link->opened) {
            link->stream.send(Control::encode(confirmation));
        }
    }
}

const PeerLinks::Counts &PeerLinks::counts() const
{
    return this->totals;
}

std::size_t PeerLinks::outgoingCount() const
{
    return this->outgoing.size();
}

std::size_t PeerLinks::incomingCount() const
{
    return this->incoming.size();
}

} // namespace Verbenadock::Proxy::internal
