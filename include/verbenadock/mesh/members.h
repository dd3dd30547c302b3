#ifndef VERBENADOCK_MESH_MEMBERS_H
#define VERBENADOCK_MESH_MEMBERS_H

#include "verbenadock/mesh/message.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbenadock::Mesh {

/// The other VMs of the fleet, from their Hello messages. A VM that ends without a Goodbye stays listed: messages to it
/// cost little, and a newer incarnation of the VM replaces its entry.
class Members
{
public:
    explicit Members(Hello own);

    /// Returns true when the VM is new or has a newer incarnation.
    bool update(const Hello &hello);

    void remove(const Goodbye &goodbye);

    /// Addresses of all other VMs; those in the own data centre first.
    std::vector<std::string> addresses() const;

    /// Addresses of the other VMs in the own data centre.
    std::vector<std::string> localAddresses() const;

    /// Addresses of the VMs in other data centres.
    std::vector<std::string> remoteAddresses() const;

    /// Names of all VMs including this one, in alphabetical order.
    std::vector<std::string> vms() const;

    /// Processor share of each other VM in the own data centre, in percent of a core, by VM name.
    std::map<std::string, std::uint64_t> localProcessors() const;

    /// Empty for an unknown VM.
    std::optional<std::string> addressOf(const std::string &vm) const;

    /// Whether the VM is known and in another data centre.
    bool isRemote(const std::string &vm) const;

    /// Number of VMs including this one.
    std::size_t size() const;

    const Hello &self() const;

private:
    Hello own;
    std::map<std::string, Hello> otherMembers;
};

} // namespace Verbenadock::Mesh

#endif
