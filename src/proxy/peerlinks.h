#ifndef VERBENADOCK_PROXY_PEERLINKS_H
#define VERBENADOCK_PROXY_PEERLINKS_H

#include "io.h"
#include "verbenadock/control/message.h"
#include "verbenadock/net/messagestream.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace Verbenadock::Proxy::internal {

/// A stream that another entry has opened. Answers are sent on the same stream and dropped once it is closed.
struct IncomingLink
{
    Net::MessageStream stream;
    bool closed = false;
    /// Unanswered requests that arrived on this stream.
    std::set<RequestId> requests;
};

using IncomingPointer = std::shared_ptr<IncomingLink>;

/// The streams between this entry and other entries. Outgoing streams are opened on demand, and closed when they are
/// idle or when the peer does not respond. Each request ends exactly once, by an answer or by a failure.
///
/// Usage: hold the object by a shared pointer and call start(), then forward(), sendFence(), handOver() and answer().
class PeerLinks : public std::enable_shared_from_this<PeerLinks>
{
public:
    struct Handlers
    {
        std::function<void(const IncomingPointer &, Control::Message)> onRequest;
        std::function<void(const IncomingPointer &)> onIncomingClosed;
        /// The answer to a forwarded request.
        std::function<void(RequestId, Control::KeyForwardAnswer)> onForwardAnswer;
        /// The request was not sent, or its answer will not arrive.
        std::function<void(RequestId, bool sent)> onForwardFailed;
        std::function<void(const Keys::FenceReply &)> onFenceReply;
        std::function<void(std::uint64_t id, const Keys::MemberId &)> onFenceFailed;
        std::function<void(const Keys::MemberId &, std::uint32_t part)> onHandOverEnded;
        std::function<void(const Control::KeyConfirmation &)> onConfirmation;
        /// Returns the confirmation of this entry, to be sent to peers.
        std::function<Control::KeyConfirmation()> confirmation;
    };

    struct Counts
    {
        std::uint64_t skippedMessages = 0;
        std::uint64_t unresponsive = 0;
        std::uint64_t opened = 0;
    };

    PeerLinks(asio::io_context &ioContext, Endpoint listenEndpoint, Handlers linkHandlers);

    /// Throws NetError when the port cannot be bound.
    void start();
    void stop();

    void forward(const Keys::EpochMember &member, Control::KeyForward message);
    void sendFence(const Keys::EpochMember &member, const Keys::FenceRequest &request);
    void handOver(const Keys::EpochMember &member, const Keys::HandOverPart &part);
    void answer(const IncomingPointer &link, const Control::Message &message);

    const Counts &counts() const;
    std::size_t outgoingCount() const;
    std::size_t incomingCount() const;

private:
    struct OutgoingLink
    {
        std::string address;
        Net::MessageStream stream;
        bool opened = false;
        bool closed = false;
        TimePoint lastReceivedAt{};
        TimePoint lastSentAt{};
        std::set<RequestId> pendingForwards;
        std::set<std::pair<std::uint64_t, Keys::MemberId>> pendingFences;
        std::set<std::pair<Keys::MemberId, std::uint32_t>> pendingHandOvers;

        bool hasPendingRequests() const
        {
            return !this->pendingForwards.empty() || !this->pendingFences.empty() || !this->pendingHandOvers.empty();
        }
    };

    using OutgoingPointer = std::shared_ptr<OutgoingLink>;

    Net::StreamHandlers accept(Net::MessageStream stream);
    void handleRequest(const IncomingPointer &link, std::string_view bytes);
    OutgoingPointer outgoingLink(const std::string &address);
    void send(const OutgoingPointer &link, const Control::Message &message);
    void handleAnswer(const OutgoingPointer &link, std::string_view bytes);
    void failLink(const OutgoingPointer &link);
    void scheduleLinkCheck();
    void checkLinks();

    asio::io_context &context;
    Endpoint listen;
    Handlers handlers;
    asio::steady_timer timer;
    std::map<std::string, OutgoingPointer> outgoing;
    std::set<IncomingPointer> incoming;
    Counts totals;
    bool stopped = false;
    std::unique_ptr<Net::MessageServer> server;
};

} // namespace Verbenadock::Proxy::internal

#endif
