#ifndef VERBENADOCK_PROXY_KEYHOST_H
#define VERBENADOCK_PROXY_KEYHOST_H

#include "io.h"
#include "keyanswer.h"
#include "peerlinks.h"
#include "proxymetrics.h"
#include "verbenadock/keys/keyreducer.h"
#include "verbenadock/proxy/entryserver.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Verbenadock::Proxy::internal {

class Host;

/// Connects the reducer of the idempotency keys with the requests of the host and the streams to other entries.
///
/// Usage: call start(), then submit() for each complete request with a key. The host gets exactly one
/// answerKeyedRequest() for each request that is not abandoned.
class KeyHost : public std::enable_shared_from_this<KeyHost>
{
public:
    KeyHost(Host &owner,
            asio::io_context &ioContext,
            const KeyOptions &keyOptions,
            std::function<void(Keys::EpochNumber)> onEpochMissing,
            ProxyMetrics &proxyMetrics);

    /// Throws ProxyError when the port cannot be bound.
    void start();
    void close();

    void submit(RequestId request, KeyedWork work);
    /// Drops a request whose sender has disconnected.
    void abandon(RequestId request);
    void updateEpochs(const Control::KeyEpochs &keyEpochs);

    /// Finishes the running requests and hands the key table over, then calls Host::keyHandlingStopped().
    void requestStop();
    bool stopCompleted() const;

    std::string dump() const;

private:
    /// A request that is not answered yet.
    struct PendingRequest
    {
        KeyedWork work;
        /// The stream of the entry that forwarded the request; null for a caller of this entry.
        IncomingPointer link;
        /// Id of a forwarded request at the entry that sent it.
        std::uint64_t forwardId = 0;
    };

    PeerLinks::Handlers makeHandlers();
    void handleMessage(const IncomingPointer &link, Control::Message message);
    void handleRequest(RequestId request, PendingRequest pending, std::optional<Keys::Forwarding> forwarding);
    void incomingClosed(const IncomingPointer &link);
    void handleForwardAnswer(RequestId request, Control::KeyForwardAnswer answer);
    void deliver(RequestId request, KeyAnswer answer);

    void apply(Keys::Event event);
    void carryOut(const Keys::Execute &effect);
    void carryOut(const Keys::Forward &effect);
    void carryOut(const Keys::Replay &effect);
    void carryOut(const Keys::Refuse &effect);
    void carryOut(const Keys::RefuseForward &effect);
    void carryOut(const Keys::SendFence &effect);
    void carryOut(const Keys::SendFenceReply &effect);
    void carryOut(const Keys::SendHandOver &effect);
    void carryOut(const Keys::AnswerHandOver &effect);
    void carryOut(const Keys::FetchEpochs &effect);
    void carryOut(const Keys::StopCompleted &effect);
    void scheduleDeadline();

    Host &host;
    asio::io_context &context;
    Keys::MemberId self;
    Endpoint listen;
    std::function<void(Keys::EpochNumber)> epochMissing;
    ProxyMetrics &metrics;
    Keys::KeyReducer reducer;
    std::shared_ptr<PeerLinks> links;
    asio::steady_timer timer;
    std::unordered_map<RequestId, PendingRequest> pendingRequests;
    /// Streams for the replies to fence requests, by sender and request id.
    std::map<std::pair<Keys::MemberId, std::uint64_t>, std::weak_ptr<IncomingLink>> fenceLinks;
    std::map<std::pair<Keys::MemberId, std::uint32_t>, std::weak_ptr<IncomingLink>> handOverLinks;
    std::deque<Keys::Event> pendingEvents;
    /// Last epoch that was requested from the agent, and the time of that request.
    Keys::EpochNumber requestedEpoch = 0;
    TimePoint requestedAt{};
    bool applying = false;
    bool closed = false;
    bool completed = false;
};

} // namespace Verbenadock::Proxy::internal

#endif
