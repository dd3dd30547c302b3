#include "verbenadock/control/agentreducer.h"

#include "agentstate.h"
#include "membershipmessages.h"
#include "verbenadock/bundle/parser.h"
#include "verbenadock/membership/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Verbenadock::Control {

namespace {

constexpr Duration VerdictRefreshInterval = std::chrono::seconds(5);
constexpr Duration CleanupInterval = std::chrono::seconds(1);
// Idle time after which streams to collectors and to targets of indirect probes are closed.
constexpr Duration IdleStreamTime = std::chrono::seconds(10);
constexpr std::size_t CollectorsPerService = 2;
// Size at which an update is sent; leaves room below the message size limit for the largest bundle.
constexpr std::size_t UpdateFlushBytes = std::size_t{4} << 20U;

} // namespace

AgentReducer::State::State(AgentReducerSettings newSettings, TimePoint now)
    : settings(std::move(newSettings))
    , membership(settings.membership,
                 {.id = settings.vmId, .address = settings.address, .dataCentre = settings.dataCentre},
                 settings.incarnation,
                 now)
    , bundles(settings, counters, now)
    , epochs(settings, now)
    , pool(counters)
    , lastSequence(settings.incarnation)
    , nextRefresh(now + VerdictRefreshInterval)
    , nextCleanup(now + CleanupInterval)
{
}

void AgentReducer::State::handle(const LogRecordsRead &event)
{
    this->bundlesChanged(this->bundles.handle(event, this->membership.live().size(), this->effects));
}

void AgentReducer::State::handle(const LogUnavailable &event)
{
    this->bundles.handle(event, this->effects);
}

void AgentReducer::State::handle(const VmListRead &event)
{
    this->carryOut(this->membership.list(event.at, event.members));
    // An empty list indicates a platform fault and must not remove every member from the key epochs.
    if (!event.members.empty()) {
        this->epochs.list(event.members);
    }
    auto addresses = event.leavingUpstreams;
    std::sort(addresses.begin(), addresses.end());
    if (addresses != this->leavingUpstreams) {
        this->leavingUpstreams = std::move(addresses);
        this->sendLeavingUpdate();
    }
}

void AgentReducer::State::sendLeavingUpdate()
{
    LeavingUpdate update{.addresses = this->leavingUpstreams};
    const auto endpoints = this->drains.endpoints();
    update.addresses.insert(update.addresses.end(), endpoints.begin(), endpoints.end());
    this->sendToEntry(std::move(update));
}

void AgentReducer::State::mergeDrains(TimePoint now, const DrainNotice &notice, const std::string &from)
{
    const auto added = this->drains.merge(now, notice);
    if (added.upstreams.empty()) {
        return;
    }
    this->sendLeavingUpdate();
    for (const auto &peer : this->membership.linked()) {
        if (peer != from) {
            this->effects.emplace_back(SendToPeer{peer, added});
        }
    }
}

void AgentReducer::State::handle(const PeerConnected &event)
{
    this->streamLastUsed[event.hello.vmId] = event.at;
    const Membership::Identity identity{
        .id = event.hello.vmId, .address = event.hello.address, .dataCentre = event.hello.dataCentre};
    this->carryOut(this->membership.introduce(event.at, identity, event.hello.incarnation));
    // A restarted VM needs the bundles in force immediately, even when the log is unavailable.
    this->effects.emplace_back(SendToPeer{event.hello.vmId, this->bundles.digest({}, true)});
    if (auto notice = this->drains.notice(event.at); !notice.upstreams.empty()) {
        this->effects.emplace_back(SendToPeer{event.hello.vmId, std::move(notice)});
    }
    this->epochs.peerConnected(event.hello.vmId, this->effects);
}

void AgentReducer::State::handle(const PeerMessageReceived &event)
{
    if (const auto message = internal::toMembership(event.message)) {
        this->carryOut(this->membership.receive(event.at, event.peer, *message));
    } else if (const auto *digest = std::get_if<ConfigurationDigest>(&event.message)) {
        this->bundles.handle(event.at, event.peer, *digest, this->effects);
    } else if (const auto *request = std::get_if<BundleRequest>(&event.message)) {
        this->bundles.handle(event.peer, *request, this->effects);
    } else if (const auto *transfer = std::get_if<BundleTransfer>(&event.message)) {
        this->bundlesChanged(this->bundles.handle(event.at, event.peer, *transfer, this->effects));
    } else if (const auto *report = std::get_if<EvidenceReport>(&event.message)) {
        this->pool.add(event.at, *report);
        this->evaluateEvidence(event.at);
    } else if (const auto *healthVerdicts = std::get_if<HealthVerdicts>(&event.message)) {
        this->receive(event.at, event.peer, *healthVerdicts);
    } else if (const auto *notice = std::get_if<DrainNotice>(&event.message)) {
        this->mergeDrains(event.at, *notice, event.peer);
    } else {
        this->receiveEpochMessage(event);
    }
}

void AgentReducer::State::receiveEpochMessage(const PeerMessageReceived &event)
{
    const auto linked = this->membership.linked();
    if (const auto *keyEpochs = std::get_if<KeyEpochs>(&event.message)) {
        this->epochs.handle(event.at, event.peer, *keyEpochs, linked, this->effects);
    } else if (const auto *epochRequest = std::get_if<KeyEpochRequest>(&event.message)) {
        this->epochs.handle(event.peer, *epochRequest, this->effects);
    } else if (const auto *keyMembers = std::get_if<KeyMembers>(&event.message)) {
        this->epochs.handle(event.peer, *keyMembers, linked, this->effects);
    }
}

void AgentReducer::State::handle(const EpochWanted &event)
{
    this->epochs.handle(event, this->membership.linked(), this->effects);
}

void AgentReducer::State::handle(const EpochRecordsRead &event)
{
    this->epochs.handle(event, this->membership.linked(), this->effects);
}

void AgentReducer::State::handle(const EpochsUnavailable &event)
{
    this->epochs.handle(event);
}

void AgentReducer::State::handle(const EpochAppendEnded &event)
{
    this->epochs.handle(event);
}

void AgentReducer::State::handle(const PeerDisconnected &event)
{
    this->streamLastUsed.erase(event.peer);
}

void AgentReducer::State::handle(const EntryConnected &event)
{
    this->entryConnected = true;
    this->sendConfiguration({});
    this->sendLeavingUpdate();
    this->sendToEntry(HealthVerdicts{.origin = {}, .complete = true, .verdicts = this->verdicts.unhealthy(event.at)});
    this->sendToEntry(this->epochs.known());
    this->epochs.introduceEntry(event.hello, this->membership.linked(), this->effects);
}

void AgentReducer::State::handle(const EntryDisconnected & /*event*/)
{
    this->entryConnected = false;
}

void AgentReducer::State::handle(const EvidenceReceived &event)
{
    const auto live = this->membership.live();
    std::map<std::string, EvidenceReport> byCollector;
    std::map<internal::ServiceKey, std::vector<std::string>> collectors;
    for (const auto &evidence : event.report.upstreams) {
        const internal::ServiceKey key{evidence.upstream.bundle, evidence.upstream.service};
        auto &serviceCollectors = collectors[key];
        if (serviceCollectors.empty()) {
            serviceCollectors = Membership::rendezvous(key.bundle + '/' + key.service, live, CollectorsPerService);
        }
        for (const auto &collector : serviceCollectors) {
            byCollector[collector].upstreams.push_back(evidence);
        }
    }
    for (auto &[collector, report] : byCollector) {
        report.observer = this->settings.vmId;
        if (collector == this->settings.vmId) {
            this->pool.add(event.at, report);
        } else {
            this->effects.emplace_back(SendToPeer{collector, std::move(report)});
        }
    }
    this->evaluateEvidence(event.at);
}

void AgentReducer::State::handle(const DrainsReceived &event)
{
    this->mergeDrains(event.at, event.notice, {});
}

void AgentReducer::State::handle(const AgentTimerExpired &event)
{
    this->carryOut(this->membership.expire(event.at));
    this->bundles.expire(event.at, this->membership.linked(), this->effects);
    this->epochs.expire(event.at, this->membership.linked(), this->membership.live(), this->effects);
    this->evaluateEvidence(event.at);
    if (this->nextRefresh <= event.at) {
        this->refreshVerdicts(event.at);
    }
    if (this->nextCleanup <= event.at) {
        this->disconnectIdlePeers(event.at);
        if (this->drains.expire(event.at)) {
            this->sendLeavingUpdate();
        }
    }
}

void AgentReducer::State::bundlesChanged(const std::vector<std::string> &names)
{
    if (names.empty()) {
        return;
    }
    for (const auto &bundle : this->bundles.bundles(names)) {
        try {
            this->pool.configure(Bundles::parseBundle(bundle.content));
        } catch (const Bundles::InvalidBundle &) {
            // Only bundles that parse are accepted, but a newer release may sign off content that this one cannot
            // parse.
            ++this->counters.records["unreadable"];
        }
    }
    this->sendConfiguration(names);
    for (const auto &peer : this->membership.linked()) {
        this->effects.emplace_back(SendToPeer{peer, this->bundles.digest(names, false)});
    }
}

void AgentReducer::State::sendConfiguration(const std::vector<std::string> &names)
{
    ConfigurationUpdate update;
    std::size_t bytes = 0;
    for (auto &bundle : this->bundles.bundles(names)) {
        bytes += bundle.content.size();
        update.bundles.push_back(std::move(bundle));
        if (bytes >= UpdateFlushBytes) {
            this->sendToEntry(std::exchange(update, {}));
            bytes = 0;
        }
    }
    if (!update.bundles.empty()) {
        this->sendToEntry(std::move(update));
    }
}

void AgentReducer::State::sendToEntry(Message message)
{
    if (this->entryConnected) {
        this->effects.emplace_back(SendToEntry{std::move(message)});
    }
}

void AgentReducer::State::carryOut(const Membership::Effects &memberEffects)
{
    for (const auto &effect : memberEffects) {
        if (const auto *send = std::get_if<Membership::SendMessage>(&effect)) {
            this->effects.emplace_back(SendToPeer{send->to, internal::fromMembership(send->message)});
        } else if (const auto *reset = std::get_if<Membership::ResetConnection>(&effect)) {
            this->effects.emplace_back(DisconnectPeer{reset->peer});
        } else if (const auto *changed = std::get_if<Membership::MemberChanged>(&effect)) {
            this->effects.emplace_back(ReportAgentChange{MemberStateChanged{changed->update}});
            if (changed->update.state == Membership::State::Dead) {
                this->effects.emplace_back(DisconnectPeer{changed->update.member.id});
            }
        }
    }
}

void AgentReducer::State::disconnectIdlePeers(TimePoint now)
{
    this->nextCleanup = now + CleanupInterval;
    const auto linked = this->membership.linked();
    for (const auto &[peer, lastUse] : this->streamLastUsed) {
        const bool isLinked = std::find(linked.begin(), linked.end(), peer) != linked.end();
        if (!isLinked && now - lastUse >= IdleStreamTime) {
            this->effects.emplace_back(DisconnectPeer{peer});
        }
    }
}

AgentEffects AgentReducer::State::takeEffects(TimePoint now)
{
    AgentEffects result;
    for (auto &effect : std::exchange(this->effects, {})) {
        if (const auto *send = std::get_if<SendToPeer>(&effect)) {
            const auto identity = this->membership.identity(send->peer);
            const bool connected = this->streamLastUsed.contains(send->peer);
            if (!connected && !identity) {
                continue;
            }
            if (!connected) {
                result.emplace_back(ConnectPeer{send->peer, identity->address});
            }
            this->streamLastUsed[send->peer] = now;
        } else if (const auto *disconnect = std::get_if<DisconnectPeer>(&effect)) {
            this->streamLastUsed.erase(disconnect->peer);
        }
        result.push_back(std::move(effect));
    }
    return result;
}

AgentReducer::AgentReducer(AgentReducerSettings settings, TimePoint now)
    : state(std::make_unique<State>(std::move(settings), now))
{
}

AgentReducer::~AgentReducer() = default;
AgentReducer::AgentReducer(AgentReducer &&) noexcept = default;
AgentReducer &AgentReducer::operator=(AgentReducer &&) noexcept = default;

AgentEffects AgentReducer::apply(const AgentEvent &event)
{
    return std::visit(
        [this](const auto &body) {
            this->state->handle(body);
            return this->state->takeEffects(body.at);
        },
        event);
}

TimePoint AgentReducer::nextDeadline() const
{
    const auto &current = *this->state;
    TimePoint earliest = std::min({current.membership.nextDeadline(),
                                   current.bundles.nextDeadline(),
                                   current.epochs.nextDeadline(),
                                   current.nextRefresh,
                                   current.nextCleanup});
    const auto pool = current.pool.nextDeadline();
    return pool ? std::min(earliest, *pool) : earliest;
}

bool AgentReducer::ready() const
{
    return this->state->bundles.log().readToEnd || !this->state->bundles.inForceSince().empty();
}

const AgentCounters &AgentReducer::counters() const
{
    return this->state->counters;
}

std::size_t AgentReducer::liveMembers() const
{
    return this->state->membership.live().size();
}

} // namespace Verbenadock::Control
