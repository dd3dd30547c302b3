#ifndef VERBENADOCK_BASE_IDENTIFIERS_H
#define VERBENADOCK_BASE_IDENTIFIERS_H

#include <compare>
#include <cstdint>
#include <string>

namespace Verbenadock {

/// Identifies a caller's request inside one entry process.
using RequestId = std::uint64_t;

/// Identifies one attempt to have a request answered by an upstream, inside one entry process.
using AttemptId = std::uint64_t;

/// Names an upstream within the fleet: bundle and service give the scope, the id is unique in the service.
struct UpstreamKey
{
    std::string bundle;
    std::string service;
    std::string upstream;

    auto operator<=>(const UpstreamKey &) const = default;
};

} // namespace Verbenadock

#endif
