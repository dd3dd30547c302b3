#ifndef VERBENADOCK_MESH_UPSTREAMNUMBER_H
#define VERBENADOCK_MESH_UPSTREAMNUMBER_H

#include <cstdint>
#include <string_view>

namespace Verbenadock::Mesh {

/// Stands for an upstream in messages about load: the same on all VMs, and a third as long as its name.
using UpstreamNumber = std::uint64_t;

UpstreamNumber upstreamNumber(std::string_view service, std::string_view upstream);

} // namespace Verbenadock::Mesh

#endif
