#ifndef VERBENADOCK_CONTROL_AGENTLINK_H
#define VERBENADOCK_CONTROL_AGENTLINK_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/control/message.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace Verbenadock::Control {

/// The entry's connection to the agent of its VM. It sends its Hello first, and reconnects by itself with exponential
/// back-off and jitter for as long as it exists. An agent with another protocol version is not accepted.
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

    /// Sends the message when connected; drops it otherwise and returns false.
    bool send(const Message &message);

    /// Whether the stream is open and the agent has sent its Hello.
    bool connected() const;

    /// Messages that could not be decoded.
    std::uint64_t skippedMessages() const;

    void stop();

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace Verbenadock::Control

#endif
