// Verdicts on pooled evidence: how they are reached, flooded and given to the entry.

#include "agentstate.h"

#include <algorithm>

namespace Verbenadock::Control {

namespace {

constexpr Duration RefreshInterval = std::chrono::seconds(5);
// Keeps a message far below its limit; more sick upstreams at one collector mean that the fault is elsewhere.
constexpr std::size_t MaxVerdictsPerMessage = 2000;

} // namespace

void AgentReducer::State::judgeEvidence(TimePoint now)
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
    std::vector<UpstreamVerdict> own;
    for (const auto &upstream : this->pool.sick()) {
        own.push_back({.upstream = upstream, .sick = true});
    }
    const bool nothingToSay = own.empty() && !this->publishedSick;
    this->publishedSick = !own.empty();
    if (!nothingToSay) {
        this->publish(now, {.origin = {}, .sequence = 0, .complete = true, .verdicts = std::move(own)});
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
