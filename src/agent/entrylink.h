#ifndef VERBENADOCK_AGENT_ENTRYLINK_H
#define VERBENADOCK_AGENT_ENTRYLINK_H

#include "verbenadock/control/message.h"
#include "verbenadock/net/messagestream.h"

#include <functional>
#include <memory>

namespace Verbenadock::Agent {

/// The stream to the entry of this VM. When the entry has restarted, its new stream replaces the old one.
class EntryLink
{
public:
    struct Handlers
    {
        std::function<void(const Control::Hello &)> onConnected;
        std::function<void()> onDisconnected;
        std::function<void(Control::EvidenceReport)> onEvidence;
        std::function<void(Control::DrainNotice)> onDrains;
        std::function<void(const Control::KeyEpochRequest &)> onEpochWanted;
    };

    EntryLink(boost::asio::io_context &context,
              const Endpoint &listen,
              Control::Hello hello,
              std::shared_ptr<Net::StreamCounters> counters,
              Handlers entryHandlers);

    void send(const Control::Message &message);
    void stop();

    std::uint64_t skippedMessages() const;

private:
    void handleBytes(const std::shared_ptr<Net::MessageStream> &stream, std::string_view bytes);

    Control::Hello ownHello;
    Handlers handlers;
    /// The stream whose Hello was accepted; null when the entry is not connected.
    std::shared_ptr<Net::MessageStream> current;
    std::uint64_t skipped = 0;
    Net::MessageServer server;
};

} // namespace Verbenadock::Agent

#endif
