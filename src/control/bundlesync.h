#ifndef VERBENADOCK_CONTROL_BUNDLESYNC_H
#define VERBENADOCK_CONTROL_BUNDLESYNC_H

#include "restater.h"
#include "verbenadock/bundle/history.h"
#include "verbenadock/control/agentreducer.h"

#include <optional>

namespace Verbenadock::Control::internal {

/// Keeps the bundle versions in force up to date from the log and from peers.
class BundleSync
{
public:
    BundleSync(const AgentReducerSettings &settings, AgentCounters &agentCounters, TimePoint now);

    /// The overloads that return a list return the names of the bundles that changed.
    std::vector<std::string> handle(const LogRecordsRead &event, std::size_t liveMembers, AgentEffects &effects);
    void handle(const LogUnavailable &event, AgentEffects &effects);
    void handle(TimePoint now, const std::string &from, const ConfigurationDigest &digest, AgentEffects &effects);
    void handle(const std::string &from, const BundleRequest &request, AgentEffects &effects) const;
    std::vector<std::string> handle(TimePoint now,
                                    const std::string &from,
                                    const BundleTransfer &transfer,
                                    AgentEffects &effects);

    /// Sends the periodic digest to the peers, reads the log and appends restatements when they are due.
    void expire(TimePoint now, const std::vector<std::string> &peers, AgentEffects &effects);
    TimePoint nextDeadline() const;

    /// The versions in force of the named bundles; of all bundles when the list is empty.
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
    void recordChange(TimePoint now, const std::string &name, const std::string &source, AgentEffects &effects);
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
    std::map<std::string, TimePoint> inForceTimes;
    /// Time of the last request by bundle name, so that a change is not fetched from every neighbour.
    std::map<std::string, TimePoint> lastRequested;
    std::map<std::string, TimePoint> lastDigestAnswers;
};

} // namespace Verbenadock::Control::internal

#endif
