#include "verbenadock/control/agentlink.h"

#include "verbenadock/net/messagestream.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <random>

namespace Verbenadock::Control {

namespace asio = boost::asio;

namespace {

constexpr Duration FirstDelay = std::chrono::milliseconds(50);
// An agent that restarts has to find its entry again well before the five seconds of a configuration change.
constexpr Duration LongestDelay = std::chrono::seconds(2);

} // namespace

struct AgentLink::Implementation : std::enable_shared_from_this<AgentLink::Implementation>
{
    Implementation(asio::io_context &ioContext, Endpoint endpoint, Hello ownHello)
        : context(ioContext)
        , timer(ioContext)
        , agent(std::move(endpoint))
        , hello(std::move(ownHello))
        , random(std::random_device{}())
    {
    }

    void connect()
    {
        // The handlers do not keep the link alive: its stream holds them, and the link holds its stream.
        const auto weak = this->weak_from_this();
        Net::StreamHandlers handlers;
        handlers.onOpen = [weak] {
            if (const auto self = weak.lock()) {
                self->stream.send(encode(self->hello));
            }
        };
        handlers.onMessage = [weak](std::string_view bytes) {
            if (const auto self = weak.lock()) {
                self->handle(bytes);
            }
        };
        handlers.onClose = [weak](const Net::StreamClosed &) {
            if (const auto self = weak.lock()) {
                self->reconnectLater();
            }
        };
        this->stream = Net::MessageStream::connect(this->context, this->agent, std::move(handlers));
    }

    void handle(std::string_view bytes)
    {
        try {
            const auto message = decode(bytes);
            if (const auto *peer = std::get_if<Hello>(&message)) {
                this->handleHello(*peer);
            }
            if (this->accepted && this->onMessage) {
                this->onMessage(message);
            }
        } catch (const MessageError &) {
            ++this->skipped;
        }
    }

    // The delay starts again only when the agent has answered, so that an agent which accepts and then closes is not
    // flooded with connections.
    void handleHello(const Hello &peer)
    {
        if (peer.protocolVersion != ProtocolVersion) {
            this->stream.close();
            this->reconnectLater();
            return;
        }
        this->accepted = true;
        this->delay = FirstDelay;
    }

    void reconnectLater()
    {
        this->accepted = false;
        if (this->stopped) {
            return;
        }
        // Between half the delay and the whole, so that entries do not reconnect in step.
        std::uniform_int_distribution<Duration::rep> jitter(this->delay.count() / 2, this->delay.count());
        this->timer.expires_after(Duration(jitter(this->random)));
        this->delay = std::min(this->delay * 2, LongestDelay);
        this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
            if (!error && !self->stopped) {
                self->connect();
            }
        });
    }

    void stop()
    {
        this->stopped = true;
        this->accepted = false;
        this->timer.cancel();
        this->stream.close();
    }

    asio::io_context &context;
    asio::steady_timer timer;
    Endpoint agent;
    Hello hello;
    std::function<void(const Message &)> onMessage;
    Net::MessageStream stream;
    std::mt19937_64 random;
    Duration delay = FirstDelay;
    std::uint64_t skipped = 0;
    bool accepted = false;
    bool stopped = false;
};

AgentLink::AgentLink(asio::io_context &context,
                     const Endpoint &agent,
                     Hello hello,
                     std::function<void(const Message &)> onMessage)
    : implementation(std::make_shared<Implementation>(context, agent, std::move(hello)))
{
    this->implementation->onMessage = std::move(onMessage);
    this->implementation->connect();
}

AgentLink::~AgentLink()
{
    this->implementation->stop();
}

bool AgentLink::send(const Message &message)
{
    return this->connected() && this->implementation->stream.send(encode(message));
}

bool AgentLink::connected() const
{
    return this->implementation->accepted && this->implementation->stream.isOpen();
}

std::uint64_t AgentLink::skippedMessages() const
{
    return this->implementation->skipped;
}

void AgentLink::stop()
{
    this->implementation->stop();
}

} // namespace Verbenadock::Control
