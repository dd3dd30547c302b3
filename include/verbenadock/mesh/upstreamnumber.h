#ifndef VERBENADOCK_MESH_UPSTREAMNUMBER_H
#define VERBENADOCK_MESH_UPSTREAMNUMBER_H

#include <cstdint>
#include <string_view>

namespace Verbenadock::Mesh {

/// Identifies an upstream in load messages: a hash that is the same on all VMs and a third as long as the name.
using UpstreamNumber = std::uint64_t;

UpstreamNumber upstreamNumber(std::string_view service, std::string_view upstream);

} // namespace Verbenadock::Mesh

#endif
