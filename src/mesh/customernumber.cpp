#include "verbenadock/mesh/customernumber.h"

#include <xxhash.h>

namespace Verbenadock::Mesh {

CustomerNumber customerNumber(std::string_view name)
{
    // With 1,000 customers, the probability of a collision of 64-bit hashes is below one in 10^13. Colliding customers
    // would share one cap.
    return XXH3_64bits(name.data(), name.size());
}

} // namespace Verbenadock::Mesh
