#ifndef VERBENADOCK_CONTROL_BUNDLESYNC_H
#define VERBENADOCK_CONTROL_BUNDLESYNC_H

#include "restater.h"
#include "verbenadock/bundle/history.h"
#include "verbenadock/control/agentreducer.h"

#include <optional>

namespace Verbenadock::Control::internal {

/// Knows which bundles are in force, from the log and from peers.
class BundleSync
{
public:
    BundleSync(const AgentReducerSettings &settings, AgentCounters &agentCounters, TimePoint now);

    /// Each returns the names of the bundles that changed.
    std::vector<std::string> handle(const LogRecordsRead &event, std::size_t liveMembers, AgentEffects &effects);
    void handle(const LogUnavailable &event, AgentEffects &effects);
    void handle(TimePoint now, const std::string &from, const ConfigurationDigest &digest, AgentEffects &effects);
    void handle(const std::string &from, const BundleRequest &request, AgentEffects &effects) const;
    std::vector<std::string> handle(TimePoint now,
                                    const std::string &from,
                                    const BundleTransfer &transfer,
                                    AgentEffects &effects);

    /// Sends the periodic digest to the peers and reads the log when it is time.
    void expire(TimePoint now, const std::vector<std::string> &peers, AgentEffects &effects);
    TimePoint nextDeadline() const;

    /// What is in force, for the entry and for digests; everything without names.
    std::vector<BundleInForce> bundles(const std::vector<std::string> &names = {}) const;
    ConfigurationDigest digest(const std::vector<std::string> &names, bool complete) const;

    struct LogState
    {
        std::uint64_t nextOffset = 0;
        bool available = false;
        bool readToEnd = false;
        std::optional<TimePoint> lastContact;
    };

    const LogState &log() const;
    const std::map<std::string, TimePoint> &inForceSince() const;

private:
    void noteChange(TimePoint now, const std::string &name, const std::string &source, AgentEffects &effects);
    void setAvailable(bool available, AgentEffects &effects);
    std::uint64_t summary() const;

    Bundles::History history;
    AgentCounters &counters;
    Restater restater;
    Duration pollInterval;
    Duration pollDelay;
    LogState logState;
    bool availabilityKnown = false;
    bool reading = false;
    TimePoint nextRead;
    TimePoint nextDigest;
    std::map<std::string, TimePoint> since;
    /// When a bundle was last asked for, so that one change does not fetch it from every neighbour.
    std::map<std::string, TimePoint> requested;
    std::map<std::string, TimePoint> answered;
};

} // namespace Verbenadock::Control::internal

#endif
