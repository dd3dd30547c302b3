// Verdicts on pooled evidence: evaluation, flooding to peers and delivery to the entry.

#include "agentstate.h"

#include <algorithm>

namespace Verbenadock::Control {

namespace {

constexpr Duration RefreshInterval = std::chrono::seconds(5);
// Keeps a message far below its size limit; more unhealthy upstreams at one collector indicate a fault elsewhere.
constexpr std::size_t MaxVerdictsPerMessage = 2000;

} // namespace

void AgentReducer::State::evaluateEvidence(TimePoint now)
{
    auto changes = this->pool.evaluate(now, this->membership.live().size() == 1);
    if (!changes.empty()) {
        this->publish(now, {.origin = {}, .sequence = 0, .complete = false, .verdicts = std::move(changes)});
    }
}

void AgentReducer::State::refreshVerdicts(TimePoint now)
{
    this->nextRefresh = now + RefreshInterval;
    std::vector<UpstreamVerdict> expired;
    this->verdicts.expire(now, expired);
    this->reportVerdicts(expired);
    std::vector<UpstreamVerdict> ownVerdicts;
    for (const auto &upstream : this->pool.unhealthy()) {
        ownVerdicts.push_back({.upstream = upstream, .sick = true});
    }
    const bool nothingToPublish = ownVerdicts.empty() && !this->publishedUnhealthy;
    this->publishedUnhealthy = !ownVerdicts.empty();
    if (!nothingToPublish) {
        this->publish(now, {.origin = {}, .sequence = 0, .complete = true, .verdicts = std::move(ownVerdicts)});
    }
}

void AgentReducer::State::publish(TimePoint now, HealthVerdicts message)
{
    message.origin = this->settings.vmId;
    message.sequence = ++this->lastSequence;
    if (message.verdicts.size() > MaxVerdictsPerMessage) {
        message.verdicts.resize(MaxVerdictsPerMessage);
    }
    std::vector<UpstreamVerdict> changes;
    this->verdicts.apply(now, message, changes);
    this->reportVerdicts(changes);
    this->flood(message, {});
}

void AgentReducer::State::receive(TimePoint now, const std::string &peer, const HealthVerdicts &message)
{
    if (message.origin == this->settings.vmId || message.origin.empty()) {
        return;
    }
    ++this->counters.verdictMessages;
    std::vector<UpstreamVerdict> changes;
    if (!this->verdicts.apply(now, message, changes)) {
        return;
    }
    this->reportVerdicts(changes);
    this->flood(message, peer);
}

void AgentReducer::State::flood(const HealthVerdicts &message, const std::string &from)
{
    for (const auto &peer : this->membership.linked()) {
        if (peer != from && peer != message.origin) {
            this->effects.emplace_back(SendToPeer{peer, message});
        }
    }
}

void AgentReducer::State::reportVerdicts(const std::vector<UpstreamVerdict> &changes)
{
    if (changes.empty()) {
        return;
    }
    for (const auto &change : changes) {
        this->effects.emplace_back(ReportAgentChange{VerdictChanged{change.upstream, change.sick}});
    }
    this->sendToEntry(HealthVerdicts{.origin = {}, .sequence = 0, .complete = false, .verdicts = changes});
}

} // namespace Verbenadock::Control
