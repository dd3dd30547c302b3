#ifndef VERBENADOCK_MESH_READERELECTION_H
#define VERBENADOCK_MESH_READERELECTION_H

#include "verbenadock/base/time.h"

#include <map>
#include <optional>
#include <string>

namespace Verbenadock::Mesh {

/// Decides which VMs of a data centre read the store and pass on what they read. Nothing is agreed on: a VM reads
/// unless enough others with a lower rank show that they do, so that every VM reads for itself when they fall silent.
///
/// Usage: note() each heartbeat of a reader in the own data centre; ask reads() before each call to the store.
class ReaderElection
{
public:
    explicit ReaderElection(std::string ownVm);

    /// A reader in the own data centre sent a heartbeat. One that the store does not answer lately does not count.
    void note(const std::string &vm, bool fresh, TimePoint now);

    bool reads(TimePoint now) const;

    /// Whether any other reader was heard lately.
    bool hearsReaders(TimePoint now) const;

private:
    /// Ranks differ from the order of the names, so that the VMs of one rack do not all come first.
    static std::uint64_t rank(const std::string &vm);

    std::string own;
    std::uint64_t ownRank;
    std::map<std::string, TimePoint> heardAt;
};

} // namespace Verbenadock::Mesh

#endif
