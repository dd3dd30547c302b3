#ifndef VERBENADOCK_MESH_MEMBERS_H
#define VERBENADOCK_MESH_MEMBERS_H

#include "verbenadock/mesh/message.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbenadock::Mesh {

/// The other VMs of the fleet, as they introduced themselves. A VM that goes without a farewell stays listed: a message
/// to it costs little, and the newest process of a VM replaces the earlier one.
class Members
{
public:
    explicit Members(Hello own);

    /// Returns true when the VM is new or runs a newer process.
    bool learn(const Hello &hello);

    void forget(const Goodbye &goodbye);

    /// Addresses of all others; those in the own data centre first.
    std::vector<std::string> addresses() const;

    /// Addresses of the others in the own data centre.
    std::vector<std::string> nearAddresses() const;

    /// Addresses of the others in other data centres.
    std::vector<std::string> farAddresses() const;

    /// Names of the others in the own data centre, with what each has of a core in percent.
    std::map<std::string, std::uint64_t> nearProcessors() const;

    /// Nothing for a VM that is not known.
    std::optional<std::string> addressOf(const std::string &vm) const;

    /// Whether the VM is known and in another data centre.
    bool isFar(const std::string &vm) const;

    /// Number of VMs with this one.
    std::size_t size() const;

    const Hello &self() const;

private:
    Hello own;
    std::map<std::string, Hello> others;
};

} // namespace Verbenadock::Mesh

#endif
