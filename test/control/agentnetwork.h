#ifndef VERBENADOCK_TEST_CONTROL_AGENTNETWORK_H
#define VERBENADOCK_TEST_CONTROL_AGENTNETWORK_H

#include "verbenadock/control/agentreducer.h"

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace Verbenadock::Control::Test {

/// Agents on virtual time that exchange messages without delay.
///
/// Usage: `class Fleet : public AgentNetwork<Fleet>` with `void handle(const std::string &id, const AgentEffect
/// &effect)` for effects without a peer; add() the agents, then apply() events and run().
template<typename Derived>
class AgentNetwork
{
public:
    void add(const std::string &id, AgentReducerSettings settings = {})
    {
        settings.vmId = id;
        settings.address = id;
        settings.incarnation = Incarnation;
        this->agents.emplace(id, AgentReducer(settings, this->now));
    }

    /// Applies the event and all events that it causes.
    void apply(const std::string &id, const AgentEvent &event)
    {
        this->events.emplace_back(id, event);
        while (!this->events.empty()) {
            const auto [target, next] = this->events.front();
            this->events.pop_front();
            for (const auto &effect : this->agents.at(target).apply(next)) {
                this->carryOut(target, effect);
            }
        }
    }

    /// Queues an event caused by an effect.
    void post(const std::string &id, const AgentEvent &event)
    {
        this->events.emplace_back(id, event);
    }

    void run(Duration duration)
    {
        const auto end = this->now + duration;
        while (this->now < end) {
            this->now += std::chrono::milliseconds(50);
            for (const auto &[id, agent] : this->agents) {
                if (agent.nextDeadline() <= this->now) {
                    this->apply(id, AgentTimerExpired{this->now});
                }
            }
        }
    }

    static Hello hello(const std::string &id)
    {
        return {.vmId = id, .dataCentre = {}, .incarnation = Incarnation, .address = id};
    }

    TimePoint now{std::chrono::seconds(1000)};
    std::map<std::string, AgentReducer> agents;

private:
    static constexpr std::uint64_t Incarnation = 1000;

    void carryOut(const std::string &id, const AgentEffect &effect)
    {
        if (const auto *connect = std::get_if<ConnectPeer>(&effect)) {
            this->post(connect->peer, PeerConnected{this->now, hello(id)});
            this->post(id, PeerConnected{this->now, hello(connect->peer)});
        } else if (const auto *send = std::get_if<SendToPeer>(&effect)) {
            this->post(send->peer, PeerMessageReceived{this->now, id, send->message});
        } else {
            static_cast<Derived *>(this)->handle(id, effect);
        }
    }

    std::deque<std::pair<std::string, AgentEvent>> events;
};

} // namespace Verbenadock::Control::Test

#endif
