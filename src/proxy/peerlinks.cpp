#include "peerlinks.h"

#include <vector>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr Duration CheckInterval = std::chrono::seconds(1);
// A peer that says nothing for this time, although it is asked every second, is taken for gone.
constexpr Duration SilenceLimit = std::chrono::seconds(4);
constexpr Duration IdleLimit = std::chrono::seconds(60);

} // namespace

PeerLinks::PeerLinks(asio::io_context &loop, Endpoint listenAt, Handlers given)
    : context(loop)
    , listen(std::move(listenAt))
    , handlers(std::move(given))
    , timer(loop)
{
}

void PeerLinks::start()
{
    const auto weak = this->weak_from_this();
    this->server = std::make_unique<Net::MessageServer>(this->context, this->listen, [weak](Net::MessageStream stream) {
        const auto self = weak.lock();
        return self ? self->accept(std::move(stream)) : Net::StreamHandlers{};
    });
    this->scheduleCheck();
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
            self->handleQuestion(link, bytes);
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

void PeerLinks::handleQuestion(const IncomingPointer &link, std::string_view bytes)
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
            this->handlers.onQuestion(link, std::move(message));
        }
    } catch (const Control::MessageError &) {
        ++this->totals.skipped;
    }
}

void PeerLinks::answer(const IncomingPointer &link, const Control::Message &message)
{
    if (!link->closed) {
        link->stream.send(Control::encode(message));
    }
}

PeerLinks::OutgoingPointer PeerLinks::linkTo(const std::string &address)
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
    auto link = std::make_shared<Outgoing>();
    link->address = address;
    link->heardAt = monotonicNow();
    this->outgoing[address] = link;
    ++this->totals.opened;
    Net::StreamHandlers streamHandlers;
    const auto weak = this->weak_from_this();
    streamHandlers.onOpen = [link] {
        link->opened = true;
        link->heardAt = monotonicNow();
    };
    streamHandlers.onMessage = [weak, link](std::string_view bytes) {
        if (const auto self = weak.lock()) {
            self->handleAnswer(link, bytes);
        }
    };
    streamHandlers.onClose = [weak, link](const Net::StreamClosed &) {
        if (const auto self = weak.lock()) {
            self->fail(link);
        }
    };
    // Both ends of a link have the addresses of their VMs, so that a cut between two VMs looks like one.
    Net::StreamOptions options;
    options.localAddress = this->listen.address;
    link->stream = Net::MessageStream::connect(this->context, endpoint, std::move(streamHandlers), options);
    return link;
}

void PeerLinks::send(const OutgoingPointer &link, const Control::Message &message)
{
    link->usedAt = monotonicNow();
    if (!link->stream.send(Control::encode(message))) {
        // The failure is reported later, as if the stream had broken after the message was queued.
        asio::post(this->context, [weak = this->weak_from_this(), link] {
            if (const auto self = weak.lock()) {
                self->fail(link);
            }
        });
    }
}

void PeerLinks::forward(const Keys::EpochMember &member, Control::KeyForward message)
{
    const auto id = message.id;
    const auto link = this->linkTo(member.address);
    if (!link) {
        this->handlers.onForwardFailed(id, false);
        return;
    }
    link->forwards.insert(id);
    this->send(link, std::move(message));
}

void PeerLinks::askFence(const Keys::EpochMember &member, const Keys::FenceRequest &request)
{
    const auto link = this->linkTo(member.address);
    if (!link) {
        this->handlers.onFenceFailed(request.id, request.to);
        return;
    }
    link->fences.insert({request.id, request.to});
    this->send(link, request);
}

void PeerLinks::handOver(const Keys::EpochMember &member, const Keys::HandOverPart &part)
{
    const auto link = this->linkTo(member.address);
    if (!link) {
        this->handlers.onHandOverEnded(part.to, part.part);
        return;
    }
    link->handOvers.insert({part.to, part.part});
    this->send(link, part);
}

void PeerLinks::handleAnswer(const OutgoingPointer &link, std::string_view bytes)
{
    if (link->closed) {
        return;
    }
    link->heardAt = monotonicNow();
    try {
        auto message = Control::decode(bytes);
        if (auto *answer = std::get_if<Control::KeyForwardAnswer>(&message)) {
            if (link->forwards.erase(answer->id) > 0) {
                this->handlers.onForwardAnswer(answer->id, std::move(*answer));
            }
        } else if (const auto *reply = std::get_if<Keys::FenceReply>(&message)) {
            if (link->fences.erase({reply->id, reply->about}) > 0) {
                this->handlers.onFenceReply(*reply);
            }
        } else if (const auto *handOver = std::get_if<Control::KeyHandOverAnswer>(&message)) {
            const auto found = std::find_if(link->handOvers.begin(), link->handOvers.end(), [&](const auto &part) {
                return part.second == handOver->part;
            });
            if (found != link->handOvers.end()) {
                const auto ended = link->handOvers.extract(found);
                this->handlers.onHandOverEnded(ended.value().first, ended.value().second);
            }
        } else if (const auto *confirmation = std::get_if<Control::KeyConfirmation>(&message)) {
            this->handlers.onConfirmation(*confirmation);
        } else {
            ++this->totals.skipped;
        }
    } catch (const Control::MessageError &) {
        ++this->totals.skipped;
    }
}

void PeerLinks::fail(const OutgoingPointer &link)
{
    if (std::exchange(link->closed, true) || this->stopped) {
        return;
    }
    link->stream.close();
    const auto found = this->outgoing.find(link->address);
    if (found != this->outgoing.end() && found->second == link) {
        this->outgoing.erase(found);
    }
    for (const auto id : std::exchange(link->forwards, {})) {
        this->handlers.onForwardFailed(id, link->opened);
    }
    for (const auto &[id, member] : std::exchange(link->fences, {})) {
        this->handlers.onFenceFailed(id, member);
    }
    for (const auto &[member, part] : std::exchange(link->handOvers, {})) {
        this->handlers.onHandOverEnded(member, part);
    }
}

void PeerLinks::scheduleCheck()
{
    this->timer.expires_after(CheckInterval);
    this->timer.async_wait([weak = this->weak_from_this()](ErrorCode error) {
        const auto self = weak.lock();
        if (self && !error && !self->stopped) {
            self->check();
            self->scheduleCheck();
        }
    });
}

void PeerLinks::check()
{
    const auto now = monotonicNow();
    std::vector<OutgoingPointer> links;
    for (const auto &[address, link] : this->outgoing) {
        links.push_back(link);
    }
    const Control::Message confirmation = this->handlers.confirmation();
    for (const auto &link : links) {
        const bool silent = now - link->heardAt > SilenceLimit;
        this->totals.silent += silent ? 1 : 0;
        if (silent || (!link->waits() && now - link->usedAt > IdleLimit)) {
            this->fail(link);
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
