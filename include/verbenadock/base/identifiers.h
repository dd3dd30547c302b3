#ifndef VERBENADOCK_BASE_IDENTIFIERS_H
#define VERBENADOCK_BASE_IDENTIFIERS_H

#include <compare>
#include <cstdint>
#include <string>

namespace Verbenadock {

/// Identifies a caller's request, unique within one entry process.
using RequestId = std::uint64_t;

/// Identifies an attempt to have a request answered by an upstream, unique within one entry process.
using AttemptId = std::uint64_t;

/// Identifies an upstream within the fleet. The id of the upstream is unique only within its bundle and service.
struct UpstreamKey
{
    std::string bundle;
    std::string service;
    std::string upstream;

    auto operator<=>(const UpstreamKey &) const = default;
};

} // namespace Verbenadock

#endif
