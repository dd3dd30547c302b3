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

/// A stream that another entry has opened. Answers go back on it; they are dropped once it is closed.
struct IncomingLink
{
    Net::MessageStream stream;
    bool closed = false;
    /// Requests that came on it and are not answered.
    std::set<RequestId> requests;
};

using IncomingPointer = std::shared_ptr<IncomingLink>;

/// The streams between this entry and others. Streams to others are opened on demand, and closed when nothing was sent
/// for a while or when the peer is silent. Each question ends exactly once: by an answer or by a failure.
///
/// Usage: `links->start();`, then ask() and answer(); it is held by a shared pointer.
class PeerLinks : public std::enable_shared_from_this<PeerLinks>
{
public:
    struct Handlers
    {
        std::function<void(const IncomingPointer &, Control::Message)> onQuestion;
        std::function<void(const IncomingPointer &)> onIncomingClosed;
        /// The answer to a forwarded request.
        std::function<void(RequestId, Control::KeyForwardAnswer)> onForwardAnswer;
        /// The request was not sent, or its answer will not come.
        std::function<void(RequestId, bool sent)> onForwardFailed;
        std::function<void(const Keys::FenceReply &)> onFenceReply;
        std::function<void(std::uint64_t id, const Keys::MemberId &)> onFenceFailed;
        std::function<void(const Keys::MemberId &, std::uint32_t part)> onHandOverEnded;
        std::function<void(const Control::KeyConfirmation &)> onConfirmation;
        /// The own confirmation for peers.
        std::function<Control::KeyConfirmation()> confirmation;
    };

    struct Counts
    {
        std::uint64_t skipped = 0;
        std::uint64_t silent = 0;
        std::uint64_t opened = 0;
    };

    PeerLinks(asio::io_context &loop, Endpoint listenAt, Handlers given);

    /// Throws NetError when the port cannot be bound.
    void start();
    void stop();

    void forward(const Keys::EpochMember &member, Control::KeyForward message);
    void askFence(const Keys::EpochMember &member, const Keys::FenceRequest &request);
    void handOver(const Keys::EpochMember &member, const Keys::HandOverPart &part);
    void answer(const IncomingPointer &link, const Control::Message &message);

    const Counts &counts() const;
    std::size_t outgoingCount() const;
    std::size_t incomingCount() const;

private:
    struct Outgoing
    {
        std::string address;
        Net::MessageStream stream;
        bool opened = false;
        bool closed = false;
        TimePoint heardAt{};
        TimePoint usedAt{};
        std::set<RequestId> forwards;
        std::set<std::pair<std::uint64_t, Keys::MemberId>> fences;
        std::set<std::pair<Keys::MemberId, std::uint32_t>> handOvers;

        bool waits() const
        {
            return !this->forwards.empty() || !this->fences.empty() || !this->handOvers.empty();
        }
    };

    using OutgoingPointer = std::shared_ptr<Outgoing>;

    Net::StreamHandlers accept(Net::MessageStream stream);
    void handleQuestion(const IncomingPointer &link, std::string_view bytes);
    OutgoingPointer linkTo(const std::string &address);
    void send(const OutgoingPointer &link, const Control::Message &message);
    void handleAnswer(const OutgoingPointer &link, std::string_view bytes);
    void fail(const OutgoingPointer &link);
    void scheduleCheck();
    void check();

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
