#include "keyhost.h"

#include "host.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace Verbenadock::Proxy::internal {

namespace {

Keys::WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace

KeyHost::KeyHost(Host &owner,
                 asio::io_context &ioContext,
                 const KeyOptions &keyOptions,
                 std::function<void(Keys::EpochNumber)> onEpochMissing,
                 ProxyMetrics &proxyMetrics)
    : host(owner)
    , context(ioContext)
    , self(keyOptions.self)
    , listen(keyOptions.listen)
    , epochMissing(std::move(onEpochMissing))
    , metrics(proxyMetrics)
    , reducer(Keys::KeySettings{.self = keyOptions.self})
    , timer(ioContext)
{
}

void KeyHost::start()
{
    this->links = std::make_shared<PeerLinks>(this->context, this->listen, this->makeHandlers());
    try {
        this->links->start();
    } catch (const Net::NetError &error) {
        throw ProxyError(error.what());
    }
}

void KeyHost::close()
{
    this->closed = true;
    this->timer.cancel();
    this->links->stop();
    this->pendingRequests.clear();
}

PeerLinks::Handlers KeyHost::makeHandlers()
{
    // The handlers may hold `this`: close() stops the links, which call no handler afterwards.
    PeerLinks::Handlers handlers;
    handlers.onRequest = [this](const IncomingPointer &link, Control::Message message) {
        this->handleMessage(link, std::move(message));
    };
    handlers.onIncomingClosed = [this](const IncomingPointer &link) {
        this->incomingClosed(link);
    };
    handlers.onForwardAnswer = [this](RequestId request, Control::KeyForwardAnswer answer) {
        this->handleForwardAnswer(request, std::move(answer));
    };
    handlers.onForwardFailed = [this](RequestId request, bool sent) {
        const auto result = sent ? Keys::ForwardResult::Broken : Keys::ForwardResult::NotSent;
        this->apply(Keys::ForwardEnded{.at = monotonicNow(), .request = request, .result = result});
    };
    handlers.onFenceReply = [this](const Keys::FenceReply &reply) {
        this->apply(Keys::FenceReplied{.at = monotonicNow(), .reply = reply});
    };
    handlers.onFenceFailed = [this](std::uint64_t id, const Keys::MemberId &member) {
        this->apply(Keys::FenceFailed{.at = monotonicNow(), .id = id, .member = member});
    };
    handlers.onHandOverEnded = [this](const Keys::MemberId &member, std::uint32_t part) {
        this->apply(Keys::HandOverEnded{.at = monotonicNow(), .to = member, .part = part});
    };
    handlers.onConfirmation = [this](const Control::KeyConfirmation &confirmation) {
        this->apply(
            Keys::PeerConfirmed{.at = monotonicNow(), .member = confirmation.member, .epoch = confirmation.epoch});
    };
    handlers.confirmation = [this] {
        return Control::KeyConfirmation{.member = this->self, .epoch = this->reducer.confirmedEpoch()};
    };
    return handlers;
}

void KeyHost::submit(RequestId request, KeyedWork work)
{
    this->handleRequest(
        request, PendingRequest{.work = std::move(work), .link = nullptr, .forwardId = 0}, std::nullopt);
}

void KeyHost::handleRequest(RequestId request, PendingRequest pending, std::optional<Keys::Forwarding> forwarding)
{
    Keys::KeyedRequestArrived event{.at = monotonicNow(),
                                    .wall = wallNow(),
                                    .request = request,
                                    .key = pending.work.key,
                                    .fingerprint = pending.work.fingerprint,
                                    .forwarding = std::move(forwarding)};
    this->pendingRequests.emplace(request, std::move(pending));
    this->apply(std::move(event));
}

void KeyHost::abandon(RequestId request)
{
    if (this->pendingRequests.erase(request) > 0) {
        this->apply(Keys::RequestAbandoned{.at = monotonicNow(), .request = request});
    }
}

void KeyHost::updateEpochs(const Control::KeyEpochs &keyEpochs)
{
    Keys::EpochsChanged event{.at = monotonicNow(), .epochs = {}};
    try {
        for (const auto &epoch : keyEpochs.epochs) {
            const Keys::WallTime knownBy{std::chrono::milliseconds(epoch.knownBy)};
            event.epochs.push_back({.epoch = Keys::decodeEpoch(epoch.record), .knownBy = knownBy});
        }
    } catch (const Keys::EpochError &) {
        // The agent accepts only records that it can decode, but a newer program may write records that this one
        // cannot.
        return;
    }
    if (!event.epochs.empty()) {
        this->apply(std::move(event));
    }
}

void KeyHost::requestStop()
{
    this->apply(Keys::StopRequested{.at = monotonicNow()});
}

bool KeyHost::stopCompleted() const
{
    return this->completed;
}

void KeyHost::handleMessage(const IncomingPointer &link, Control::Message message)
{
    const auto now = monotonicNow();
    if (auto *forward = std::get_if<Control::KeyForward>(&message)) {
        const auto request = this->host.nextRequestId();
        link->requests.insert(request);
        KeyedWork work{.key = std::move(forward->key),
                       .fingerprint = std::move(forward->fingerprint),
                       .callerAddress = std::move(forward->callerAddress),
                       .requestId = std::move(forward->requestId),
                       .head = std::move(forward->head),
                       .body = std::move(forward->body)};
        this->handleRequest(request,
                            PendingRequest{.work = std::move(work), .link = link, .forwardId = forward->id},
                            Keys::Forwarding{.epoch = forward->epoch, .to = forward->to});
    } else if (const auto *fence = std::get_if<Keys::FenceRequest>(&message)) {
        std::erase_if(this->fenceLinks, [](const auto &item) {
            return item.second.expired();
        });
        this->fenceLinks[{fence->from, fence->id}] = link;
        this->apply(Keys::FenceRequested{.at = now, .request = *fence});
    } else if (const auto *part = std::get_if<Keys::HandOverPart>(&message)) {
        this->handOverLinks[{part->from, part->part}] = link;
        this->apply(Keys::HandOverReceived{.at = now, .part = *part});
    }
}

void KeyHost::incomingClosed(const IncomingPointer &link)
{
    for (const auto request : std::exchange(link->requests, {})) {
        this->abandon(request);
    }
}

void KeyHost::handleForwardAnswer(RequestId request, Control::KeyForwardAnswer answer)
{
    auto result = Keys::ForwardResult::Relayed;
    if (answer.kind == Control::KeyAnswerKind::NotOwner) {
        result = Keys::ForwardResult::NotOwner;
    } else {
        KeyAnswer keyAnswer{
            .kind = answer.kind,
            .answer = {.status = answer.status, .headers = std::move(answer.headers), .body = std::move(answer.body)},
            .reason = std::move(answer.reason),
            .retryAfterSeconds = answer.retryAfterSeconds};
        this->deliver(request, std::move(keyAnswer));
    }
    this->apply(
        Keys::ForwardEnded{.at = monotonicNow(), .request = request, .result = result, .peerEpoch = answer.epoch});
}

void KeyHost::deliver(RequestId request, KeyAnswer answer)
{
    const auto found = this->pendingRequests.find(request);
    if (found == this->pendingRequests.end()) {
        return;
    }
    const auto pending = std::move(found->second);
    this->pendingRequests.erase(found);
    if (!pending.link) {
        this->host.answerKeyedRequest(request, std::move(answer));
        return;
    }
    pending.link->requests.erase(request);
    this->links->answer(pending.link,
                        Control::KeyForwardAnswer{.id = pending.forwardId,
                                                  .kind = answer.kind,
                                                  .epoch = this->reducer.confirmedEpoch(),
                                                  .status = answer.answer.status,
                                                  .headers = std::move(answer.answer.headers),
                                                  .body = std::move(answer.answer.body),
                                                  .reason = std::move(answer.reason),
                                                  .retryAfterSeconds = answer.retryAfterSeconds});
}

void KeyHost::apply(Keys::Event event)
{
    this->pendingEvents.push_back(std::move(event));
    if (this->applying || this->closed) {
        return;
    }
    this->applying = true;
    while (!this->pendingEvents.empty()) {
        const auto next = std::move(this->pendingEvents.front());
        this->pendingEvents.pop_front();
        for (const auto &effect : this->reducer.apply(next)) {
            std::visit(
                [this](const auto &specific) {
                    this->carryOut(specific);
                },
                effect);
        }
    }
    this->applying = false;
    this->scheduleDeadline();
}

void KeyHost::scheduleDeadline()
{
    const auto next = this->reducer.nextDeadline();
    if (!next) {
        this->timer.cancel();
        return;
    }
    this->timer.expires_after(timeUntil(*next));
    this->timer.async_wait([weak = this->weak_from_this()](ErrorCode error) {
        const auto keyHost = weak.lock();
        if (keyHost && !error) {
            keyHost->apply(Keys::TimerExpired{.at = monotonicNow()});
        }
    });
}

std::string KeyHost::dump() const
{
    constexpr std::size_t MaxDumpedKeys = 1000;
    auto json = nlohmann::ordered_json::parse(this->reducer.dump(monotonicNow()));
    auto &keys = json["keys"];
    json["table_size"] = keys.size();
    if (keys.size() > MaxDumpedKeys) {
        keys.erase(keys.begin() + MaxDumpedKeys, keys.end());
    }
    json["unanswered"] = this->pendingRequests.size();
    json["links"] = {{"outgoing", this->links->outgoingCount()},
                     {"incoming", this->links->incomingCount()},
                     {"opened", this->links->counts().opened},
                     {"silent", this->links->counts().unresponsive},
                     {"skipped_messages", this->links->counts().skippedMessages}};
    return json.dump();
}

} // namespace Verbenadock::Proxy::internal
