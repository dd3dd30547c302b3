#ifndef VERBENADOCK_MESH_READERELECTION_H
#define VERBENADOCK_MESH_READERELECTION_H

#include "verbenadock/base/time.h"

#include <map>
#include <string>
#include <vector>

namespace Verbenadock::Mesh {

/// Decides which VMs of a data centre read the store and pass on what they read. Nothing is agreed on: a VM reads
/// unless enough others with a lower rank show that they do, so that every VM reads for itself when they fall silent.
///
/// Usage: setOthers() when the members change and note() each heartbeat of a reader in the own data centre; ask reads()
/// before each call to the store.
class ReaderElection
{
public:
    /// With what the VM has of a core in percent.
    explicit ReaderElection(std::string ownVm, std::uint64_t ownProcessor = 0);

    /// The other VMs of the data centre, with what each has of a core. VMs of a higher rank wait longer before they
    /// take the place of readers that fell silent, so that one VM follows on another and not all at once.
    void setOthers(std::map<std::string, std::uint64_t> vms);

    /// A reader in the own data centre sent a heartbeat. Others read beside one that the store does not answer.
    void note(const std::string &vm, bool fresh, TimePoint now);

    bool reads(TimePoint now) const;

    /// Whether no reader of a lower rank was heard lately: one VM of a data centre, as a rule.
    bool isFirst(TimePoint now) const;

    /// The first VMs among those heard lately and this one, which gather for the data centre what all have to know.
    std::vector<std::string> hubs(TimePoint now) const;

private:
    struct Heard
    {
        TimePoint at;
        bool fresh = false;
    };

    /// Place in the order of VMs that are equally strong. It differs from the order of the names, so that the VMs of
    /// one rack do not all come first.
    static std::uint64_t rank(const std::string &vm);
    std::uint64_t processorOf(const std::string &vm) const;
    bool precedes(const std::string &vm) const;
    bool precedes(const std::string &first, const std::string &second) const;

    std::string own;
    std::uint64_t ownRank;
    std::uint64_t ownProcessor;
    std::map<std::string, std::uint64_t> processors;
    Duration silenceLimit;
    std::map<std::string, Heard> heard;
};

} // namespace Verbenadock::Mesh

#endif
