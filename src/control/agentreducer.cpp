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
// Streams to collectors and to targets of indirect probes are closed when they were not used for this time.
constexpr Duration IdleStreamTime = std::chrono::seconds(10);
constexpr std::size_t Collectors = 2;
// Leaves room below the limit of a message for the largest bundle.
constexpr std::size_t UpdateBytes = std::size_t{4} << 20U;

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
    // An empty list is taken for a fault of the platform: it must not take the keys away from every member.
    if (!event.members.empty()) {
        this->epochs.list(event.members);
    }
    auto addresses = event.leavingUpstreams;
    std::sort(addresses.begin(), addresses.end());
    if (addresses != this->leaving) {
        this->leaving = std::move(addresses);
        this->sendLeaving();
    }
}

void AgentReducer::State::sendLeaving()
{
    LeavingUpdate update{.addresses = this->leaving};
    const auto endpoints = this->drains.endpoints();
    update.addresses.insert(update.addresses.end(), endpoints.begin(), endpoints.end());
    this->sendToEntry(std::move(update));
}

void AgentReducer::State::learnDrains(TimePoint now, const DrainNotice &notice, const std::string &from)
{
    const auto news = this->drains.take(now, notice);
    if (news.upstreams.empty()) {
        return;
    }
    this->sendLeaving();
    for (const auto &peer : this->membership.linked()) {
        if (peer != from) {
            this->effects.emplace_back(SendToPeer{peer, news});
        }
    }
}

void AgentReducer::State::handle(const PeerConnected &event)
{
    this->streams[event.hello.vmId] = event.at;
    const Membership::Identity identity{
        .id = event.hello.vmId, .address = event.hello.address, .dataCentre = event.hello.dataCentre};
    this->carryOut(this->membership.introduce(event.at, identity, event.hello.incarnation));
    // A restarted VM has to get what is in force even when the log is unavailable, and at once.
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
        this->judgeEvidence(event.at);
    } else if (const auto *news = std::get_if<HealthVerdicts>(&event.message)) {
        this->receive(event.at, event.peer, *news);
    } else if (const auto *notice = std::get_if<DrainNotice>(&event.message)) {
        this->learnDrains(event.at, *notice, event.peer);
    } else {
        this->receiveAboutKeys(event);
    }
}

void AgentReducer::State::receiveAboutKeys(const PeerMessageReceived &event)
{
    const auto linked = this->membership.linked();
    if (const auto *known = std::get_if<KeyEpochs>(&event.message)) {
        this->epochs.handle(event.at, event.peer, *known, linked, this->effects);
    } else if (const auto *wanted = std::get_if<KeyEpochRequest>(&event.message)) {
        this->epochs.handle(event.peer, *wanted, this->effects);
    } else if (const auto *announced = std::get_if<KeyMembers>(&event.message)) {
        this->epochs.handle(event.peer, *announced, linked, this->effects);
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
    this->streams.erase(event.peer);
}

void AgentReducer::State::handle(const EntryConnected &event)
{
    this->entryConnected = true;
    this->sendConfiguration({});
    this->sendLeaving();
    this->sendToEntry(HealthVerdicts{.origin = {}, .complete = true, .verdicts = this->verdicts.sick(event.at)});
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
        auto &chosen = collectors[key];
        if (chosen.empty()) {
            chosen = Membership::rendezvous(key.bundle + '/' + key.service, live, Collectors);
        }
        for (const auto &collector : chosen) {
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
    this->judgeEvidence(event.at);
}

void AgentReducer::State::handle(const DrainsReceived &event)
{
    this->learnDrains(event.at, event.notice, {});
}

void AgentReducer::State::handle(const AgentTimerExpired &event)
{
    this->carryOut(this->membership.expire(event.at));
    this->bundles.expire(event.at, this->membership.linked(), this->effects);
    this->epochs.expire(event.at, this->membership.linked(), this->membership.live(), this->effects);
    this->judgeEvidence(event.at);
    if (this->nextRefresh <= event.at) {
        this->refreshVerdicts(event.at);
    }
    if (this->nextCleanup <= event.at) {
        this->dropIdlePeers(event.at);
        if (this->drains.expire(event.at)) {
            this->sendLeaving();
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
            // The fold accepts only bundles that parse. A newer program may have signed off what this one cannot read.
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
        if (bytes >= UpdateBytes) {
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

void AgentReducer::State::dropIdlePeers(TimePoint now)
{
    this->nextCleanup = now + CleanupInterval;
    const auto linked = this->membership.linked();
    for (const auto &[peer, lastUse] : this->streams) {
        const bool isLinked = std::find(linked.begin(), linked.end(), peer) != linked.end();
        if (!isLinked && now - lastUse >= IdleStreamTime) {
            this->effects.emplace_back(DisconnectPeer{peer});
        }
    }
}

AgentEffects AgentReducer::State::withConnections(TimePoint now)
{
    AgentEffects result;
    for (auto &effect : std::exchange(this->effects, {})) {
        if (const auto *send = std::get_if<SendToPeer>(&effect)) {
            const auto identity = this->membership.identity(send->peer);
            const bool connected = this->streams.contains(send->peer);
            if (!connected && !identity) {
                continue;
            }
            if (!connected) {
                result.emplace_back(ConnectPeer{send->peer, identity->address});
            }
            this->streams[send->peer] = now;
        } else if (const auto *disconnect = std::get_if<DisconnectPeer>(&effect)) {
            this->streams.erase(disconnect->peer);
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
            return this->state->withConnections(body.at);
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
