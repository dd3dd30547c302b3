#include "verbenadock/control/agentlink.h"

#include "verbenadock/net/messagestream.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <random>

namespace Verbenadock::Control {

namespace asio = boost::asio;

namespace {

constexpr Duration InitialReconnectDelay = std::chrono::milliseconds(50);
// Keeps the reconnect after an agent restart well below the 5 s allowed for a configuration change.
constexpr Duration MaxReconnectDelay = std::chrono::seconds(2);

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
        // Weak, since the link owns the stream and the stream owns the handlers; a shared pointer would form a cycle.
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
                self->scheduleReconnect();
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

    // The backoff is reset only by a valid Hello, so that an agent that accepts and then closes connections is not
    // flooded with new ones.
    void handleHello(const Hello &peer)
    {
        if (peer.protocolVersion != ProtocolVersion) {
            this->stream.close();
            this->scheduleReconnect();
            return;
        }
        this->accepted = true;
        this->reconnectDelay = InitialReconnectDelay;
    }

    void scheduleReconnect()
    {
        this->accepted = false;
        if (this->stopped) {
            return;
        }
        // Jitter between 50% and 100% of the delay, so that entries do not reconnect simultaneously.
        std::uniform_int_distribution<Duration::rep> jitter(this->reconnectDelay.count() / 2,
                                                            this->reconnectDelay.count());
        this->timer.expires_after(Duration(jitter(this->random)));
        this->reconnectDelay = std::min(this->reconnectDelay * 2, MaxReconnectDelay);
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
    Duration reconnectDelay = InitialReconnectDelay;
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
