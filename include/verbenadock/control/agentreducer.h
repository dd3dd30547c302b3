#ifndef VERBENADOCK_CONTROL_AGENTREDUCER_H
#define VERBENADOCK_CONTROL_AGENTREDUCER_H

#include "verbenadock/bundle/signature.h"
#include "verbenadock/control/agentevent.h"
#include "verbenadock/membership/detector.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbenadock::Control {

struct AgentReducerSettings
{
    std::string vmId;
    std::string address;
    std::string dataCentre;
    /// Increases with each start of the process.
    std::uint64_t incarnation = 0;
    std::vector<Bundles::TrustedOperator> operators;
    Duration logPollInterval = std::chrono::milliseconds(200);
    Membership::DetectorSettings membership;

    auto operator<=>(const AgentReducerSettings &) const = default;
};

/// Totals since the agent started.
struct AgentCounters
{
    /// Log records by outcome, for example "in-force" or "malformed".
    std::map<std::string, std::uint64_t> records;
    /// Gaps in the log whose records expired before they were read.
    std::uint64_t retentionGaps = 0;
    /// Versions from peers with an invalid proof or not newer than the version in force.
    std::uint64_t refusedTransfers = 0;
    /// Versions in force that this agent appended to the log again.
    std::uint64_t restatements = 0;
    std::uint64_t adoptedTransfers = 0;
    std::uint64_t evidenceReports = 0;
    /// Verdicts on pooled evidence that lacked a second observer.
    std::uint64_t unsupportedVerdicts = 0;
    std::uint64_t verdictMessages = 0;

    auto operator<=>(const AgentCounters &) const = default;
};

/// State machine of one agent: tracks the bundles in force and the health of members and upstreams, and produces the
/// messages to peers and to the entry. Does no I/O and reads no clock.
///
/// Usage: feed each event to apply() and carry out the effects in order; send AgentTimerExpired at nextDeadline().
class AgentReducer
{
public:
    AgentReducer(AgentReducerSettings settings, TimePoint now);
    ~AgentReducer();
    AgentReducer(AgentReducer &&) noexcept;
    AgentReducer &operator=(AgentReducer &&) noexcept;

    AgentEffects apply(const AgentEvent &event);

    TimePoint nextDeadline() const;

    /// True if the agent knows the bundles in force, from a peer or after reading the whole log.
    bool ready() const;

    const AgentCounters &counters() const;

    std::size_t liveMembers() const;

    /// The whole state as JSON text.
    std::string dump(TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Verbenadock::Control

#endif
