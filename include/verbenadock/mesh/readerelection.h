#ifndef VERBENADOCK_MESH_READERELECTION_H
#define VERBENADOCK_MESH_READERELECTION_H

#include "verbenadock/base/time.h"

#include <map>
#include <string>
#include <vector>

namespace Verbenadock::Mesh {

/// Decides which VMs of a data centre read the store and forward the records. The election needs no agreement: a VM
/// reads unless it hears heartbeats of enough readers that precede it, so that every VM reads for itself when they fall
/// silent.
///
/// Usage: call setPeers() when the members change and noteHeartbeat() for each heartbeat of a reader in the own data
/// centre; ask isReader() before each call to the store.
class ReaderElection
{
public:
    /// `ownProcessor` is the processor share of the VM in percent of a core.
    explicit ReaderElection(std::string ownVm, std::uint64_t ownProcessor = 0);

    /// Sets the other VMs of the data centre, each with its processor share in percent of a core. The more VMs precede
    /// this one, the longer it waits before it takes over from silent readers, so that VMs take over one after the
    /// other.
    void setPeers(std::map<std::string, std::uint64_t> vms);

    /// Records a heartbeat of a reader in the own data centre. `fresh` is false when the store does not answer that
    /// reader; further VMs then read as well, one after the other.
    void noteHeartbeat(const std::string &vm, bool fresh, TimePoint now);

    bool isReader(TimePoint now) const;

    /// Whether no preceding reader was heard recently. True for one VM of a data centre as a rule.
    bool isFirst(TimePoint now) const;

    /// The first VMs in the order of precedence among those heard recently and this one. They add up the load at the
    /// upstreams of the data centre.
    std::vector<std::string> hubs(TimePoint now) const;

    /// The first VMs in the order of precedence among all peers and this one, whether they were heard or not. Right
    /// after a start no VM has been heard yet.
    std::vector<std::string> expectedHubs() const;

private:
    struct Heartbeat
    {
        TimePoint at;
        /// Until then the store counts as answering this reader.
        TimePoint answeredUntil = TimePoint::min();
    };

    /// Orders VMs with the same processor share. A hash instead of the name avoids that all readers are in the same
    /// rack.
    static std::uint64_t rank(const std::string &vm);
    std::uint64_t processorOf(const std::string &vm) const;
    std::vector<std::string> firstOf(std::vector<std::string> candidates) const;
    bool precedes(const std::string &vm) const;
    bool precedes(const std::string &first, const std::string &second) const;

    std::string own;
    std::uint64_t ownRank;
    std::uint64_t ownProcessor;
    std::map<std::string, std::uint64_t> peerProcessors;
    /// Time that this VM waits longer than the first one before it takes over.
    Duration takeoverDelay{0};
    Duration silenceLimit;
    std::map<std::string, Heartbeat> lastHeartbeats;
};

} // namespace Verbenadock::Mesh

#endif
