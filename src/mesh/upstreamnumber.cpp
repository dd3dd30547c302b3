#include "verbenadock/mesh/upstreamnumber.h"

#include <xxhash.h>

namespace Verbenadock::Mesh {

UpstreamNumber upstreamNumber(std::string_view service, std::string_view upstream)
{
    // With 83,000 upstreams, the probability of a collision of 64-bit hashes is one in five billion. The loads of
    // colliding upstreams would be added up.
    return XXH3_64bits_withSeed(upstream.data(), upstream.size(), XXH3_64bits(service.data(), service.size()));
}

} // namespace Verbenadock::Mesh
