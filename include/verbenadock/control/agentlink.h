#ifndef VERBENADOCK_CONTROL_AGENTLINK_H
#define VERBENADOCK_CONTROL_AGENTLINK_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/control/message.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace Verbenadock::Control {

/// The entry's connection to the agent of its VM. The link sends its Hello first, and reconnects with exponential
/// backoff and jitter until it is stopped or destroyed. Closes connections to an agent with another protocol version.
///
/// Usage: `AgentLink link(context, settings.agent, hello, [](const Message &message) { ... });`
class AgentLink
{
public:
    AgentLink(boost::asio::io_context &context,
              const Endpoint &agent,
              Hello hello,
              std::function<void(const Message &)> onMessage);
    ~AgentLink();

    /// Returns false and drops the message when not connected.
    bool send(const Message &message);

    /// Whether the stream is open and the agent has sent its Hello.
    bool connected() const;

    /// Number of received messages that could not be decoded.
    std::uint64_t skippedMessages() const;

    void stop();

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace Verbenadock::Control

#endif
