#ifndef VERBENADOCK_AGENT_ENTRYLINK_H
#define VERBENADOCK_AGENT_ENTRYLINK_H

#include "verbenadock/control/message.h"
#include "verbenadock/net/messagestream.h"

#include <functional>
#include <memory>

namespace Verbenadock::Agent {

/// Accepts the message stream of this VM's entry. A restarted entry's new stream replaces the previous one.
class EntryLink
{
public:
    struct Handlers
    {
        std::function<void(const Control::Hello &)> onConnected;
        std::function<void()> onDisconnected;
        std::function<void(Control::EvidenceReport)> onEvidenceReport;
        std::function<void(Control::DrainNotice)> onDrainNotice;
        std::function<void(const Control::KeyEpochRequest &)> onKeyEpochRequest;
    };

    EntryLink(boost::asio::io_context &context,
              const Endpoint &listen,
              Control::Hello hello,
              std::shared_ptr<Net::StreamCounters> counters,
              Handlers entryHandlers);

    /// Drops the message when the entry is not connected.
    void send(const Control::Message &message);
    void stop();

    /// Messages that were invalid or unexpected, including Hellos that were not accepted.
    std::uint64_t skippedMessages() const;

private:
    void handleBytes(const std::shared_ptr<Net::MessageStream> &stream, std::string_view bytes);

    Control::Hello ownHello;
    Handlers handlers;
    /// The stream whose Hello was accepted; null when the entry is not connected.
    std::shared_ptr<Net::MessageStream> acceptedStream;
    std::uint64_t skippedCount = 0;
    Net::MessageServer server;
};

} // namespace Verbenadock::Agent

#endif
