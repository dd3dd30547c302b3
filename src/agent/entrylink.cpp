#include "entrylink.h"

#include <utility>

namespace Verbenadock::Agent {

EntryLink::EntryLink(boost::asio::io_context &context,
                     const Endpoint &listen,
                     Control::Hello hello,
                     std::shared_ptr<Net::StreamCounters> counters,
                     Handlers entryHandlers)
    : ownHello(std::move(hello))
    , handlers(std::move(entryHandlers))
    , server(
          context,
          listen,
          [this](Net::MessageStream accepted) {
              auto stream = std::make_shared<Net::MessageStream>(std::move(accepted));
              stream->send(Control::encode(this->ownHello));
              return Net::StreamHandlers{.onOpen = {},
                                         .onMessage =
                                             [this, stream](std::string_view bytes) {
                                                 this->handleBytes(stream, bytes);
                                             },
                                         .onClose =
                                             [this, stream](const Net::StreamClosed &) {
                                                 if (this->acceptedStream == stream) {
                                                     this->acceptedStream.reset();
                                                     this->handlers.onDisconnected();
                                                 }
                                             }};
          },
          Net::StreamOptions{.localAddress = {}, .counters = std::move(counters)})
{
}

void EntryLink::handleBytes(const std::shared_ptr<Net::MessageStream> &stream, std::string_view bytes)
{
    try {
        auto message = Control::decode(bytes);
        if (const auto *hello = std::get_if<Control::Hello>(&message)) {
            if (hello->role != Control::PeerRole::Entry || hello->protocolVersion != Control::ProtocolVersion) {
                ++this->skippedCount;
                stream->close();
                return;
            }
            const auto previous = std::exchange(this->acceptedStream, stream);
            if (previous && previous != stream) {
                previous->close();
            }
            this->handlers.onConnected(*hello);
        } else if (this->acceptedStream == stream && std::holds_alternative<Control::EvidenceReport>(message)) {
            this->handlers.onEvidenceReport(std::get<Control::EvidenceReport>(std::move(message)));
        } else if (this->acceptedStream == stream && std::holds_alternative<Control::DrainNotice>(message)) {
            this->handlers.onDrainNotice(std::get<Control::DrainNotice>(std::move(message)));
        } else if (this->acceptedStream == stream && std::holds_alternative<Control::KeyEpochRequest>(message)) {
            this->handlers.onKeyEpochRequest(std::get<Control::KeyEpochRequest>(message));
        } else {
            ++this->skippedCount;
        }
    } catch (const Control::MessageError &) {
        ++this->skippedCount;
    }
}

void EntryLink::send(const Control::Message &message)
{
    if (this->acceptedStream) {
        this->acceptedStream->send(Control::encode(message));
    }
}

void EntryLink::stop()
{
    this->acceptedStream.reset();
    this->server.stop();
}

std::uint64_t EntryLink::skippedMessages() const
{
    return this->skippedCount;
}

} // namespace Verbenadock::Agent
