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
/// Usage: start() it, then submit() each whole request with a key; the host gets exactly one answerKeyed() for each
/// that is not abandoned.
class KeyHost : public std::enable_shared_from_this<KeyHost>
{
public:
    KeyHost(Host &owner,
            asio::io_context &loop,
            const KeyOptions &given,
            std::function<void(Keys::EpochNumber)> wanted,
            ProxyMetrics &proxyMetrics);

    /// Throws ProxyError when the port cannot be bound.
    void start();
    void close();

    void submit(RequestId request, KeyedWork work);
    /// The caller waits no longer.
    void abandon(RequestId request);
    void learn(const Control::KeyEpochs &known);

    /// Finishes the running keys and hands the table over; the host is told by keysStopped().
    void requestStop();
    bool stopCompleted() const;

    std::string dump() const;

private:
    /// A request that is not answered yet.
    struct Open
    {
        KeyedWork work;
        /// Null for a caller of this entry.
        IncomingPointer from;
        /// The sender's id, for a request that was forwarded.
        std::uint64_t sentAs = 0;
    };

    PeerLinks::Handlers makeHandlers();
    void receive(const IncomingPointer &link, Control::Message message);
    void arrive(RequestId request, Open open, std::optional<Keys::Forwarding> forwarding);
    void incomingClosed(const IncomingPointer &link);
    void relay(RequestId request, Control::KeyForwardAnswer answer);
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
    std::function<void(Keys::EpochNumber)> epochWanted;
    ProxyMetrics &metrics;
    Keys::KeyReducer reducer;
    std::shared_ptr<PeerLinks> links;
    asio::steady_timer timer;
    std::unordered_map<RequestId, Open> open;
    /// Where the reply to a question goes: by its sender and id.
    std::map<std::pair<Keys::MemberId, std::uint64_t>, std::weak_ptr<IncomingLink>> fenceLinks;
    std::map<std::pair<Keys::MemberId, std::uint32_t>, std::weak_ptr<IncomingLink>> handOverLinks;
    std::deque<Keys::Event> pendingEvents;
    /// The last epoch that the agent was asked for, and when.
    Keys::EpochNumber wantedEpoch = 0;
    TimePoint wantedAt{};
    bool applying = false;
    bool closed = false;
    bool completed = false;
};

} // namespace Verbenadock::Proxy::internal

#endif
