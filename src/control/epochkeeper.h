#ifndef VERBENADOCK_CONTROL_EPOCHKEEPER_H
#define VERBENADOCK_CONTROL_EPOCHKEEPER_H

#include "verbenadock/control/agentreducer.h"
#include "verbenadock/keys/epochlog.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Verbenadock::Control::internal {

/// Maintains the epochs of the idempotency keys from the stream key-epochs and from peers. Appends a new epoch when an
/// entry process has started or a VM has left the VM list; a suspicion does not suffice. `linked` are the peers that
/// receive updates, `live` all live members.
class EpochKeeper
{
public:
    EpochKeeper(const AgentReducerSettings &settings, TimePoint now);

    void handle(const EpochRecordsRead &event, const std::vector<std::string> &linked, AgentEffects &effects);
    void handle(const EpochsUnavailable &event);
    void handle(const EpochAppendEnded &event);
    void handle(const EpochWanted &event, const std::vector<std::string> &linked, AgentEffects &effects);
    void handle(TimePoint now,
                const std::string &from,
                const KeyEpochs &message,
                const std::vector<std::string> &linked,
                AgentEffects &effects);
    void handle(const std::string &from, const KeyEpochRequest &request, AgentEffects &effects) const;
    void handle(const std::string &from,
                const KeyMembers &message,
                const std::vector<std::string> &linked,
                AgentEffects &effects);

    /// Sets the VMs of the VM list, which must not be empty.
    void list(const std::vector<Membership::Identity> &members);
    void introduceEntry(const Hello &hello, const std::vector<std::string> &linked, AgentEffects &effects);
    void peerConnected(const std::string &peer, AgentEffects &effects) const;

    void expire(TimePoint now,
                const std::vector<std::string> &linked,
                const std::vector<std::string> &live,
                AgentEffects &effects);
    TimePoint nextDeadline() const;

    /// All known epochs, as sent to the entry.
    KeyEpochs known() const;

    struct Totals
    {
        std::uint64_t appended = 0;
        std::uint64_t fromPeers = 0;
    };

    const Keys::EpochLog &epochs() const;
    const Totals &counts() const;
    std::size_t pendingMembers() const;
    std::uint64_t nextOffset() const;
    bool logAvailable() const;

private:
    bool applyRecord(TimePoint now, Keys::WallTime wall, const std::string &record, bool afterGap);
    void publishNewest(const std::string &source, const std::vector<std::string> &linked, AgentEffects &effects);
    bool addAnnouncedMember(const Keys::EpochMember &member);
    void removeSettledMembers();
    std::vector<Keys::EpochMember> nextEpochMembers() const;
    void propose(TimePoint now, const std::vector<std::string> &live, AgentEffects &effects);
    bool isPreferredAppender(const std::vector<std::string> &live, std::uint64_t epoch) const;

    std::string vmId;
    Duration pollInterval;
    Duration pollDelay;
    TimePoint startedAt;
    Keys::EpochLog log;
    std::uint64_t offset = 0;
    std::uint64_t streamEnd = 0;
    bool readToEnd = false;
    bool available = false;
    bool reading = false;
    bool appending = false;
    TimePoint nextRead;
    TimePoint nextExchange;
    std::set<std::string> listed;
    /// VMs that any earlier list contained; only these VMs can count as missing.
    std::set<std::string> everListed;
    std::optional<Keys::EpochMember> ownEntry;
    /// Entry processes that the newest epoch does not contain yet, by VM.
    std::map<std::string, Keys::EpochMember> announced;
    /// Time at which the append of the next epoch is due.
    std::optional<TimePoint> appendAt;
    Totals totals;
};

} // namespace Verbenadock::Control::internal

#endif
