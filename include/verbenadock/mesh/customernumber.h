#ifndef VERBENADOCK_MESH_CUSTOMERNUMBER_H
#define VERBENADOCK_MESH_CUSTOMERNUMBER_H

#include <cstdint>
#include <string_view>

namespace Verbenadock::Mesh {

/// Identifies a customer in messages: a hash of the name that is the same on all VMs.
using CustomerNumber = std::uint64_t;

CustomerNumber customerNumber(std::string_view name);

} // namespace Verbenadock::Mesh

#endif
