#ifndef VERBENADOCK_CORE_ROUTINGTABLE_H
#define VERBENADOCK_CORE_ROUTINGTABLE_H

#include "fairshare.h"
#include "verbenadock/bundle/bundle.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Verbenadock::Core::Internal {

/// Part of a weighted split; the service is an index.
struct SplitPart
{
    std::uint32_t service = 0;
    double weight = 1;

    auto operator<=>(const SplitPart &) const = default;
};

/// Destination and settings of a route; services and bundles are indices.
struct RouteTarget
{
    std::uint32_t service = 0;
    /// Null for a route to one service.
    std::shared_ptr<const std::vector<SplitPart>> split;
    /// Number of the route among those with a split, if one of its services balances evenly; otherwise its requests are
    /// distributed at random.
    std::optional<std::uint32_t> splitSequence;
    /// Index of the bundle in the configuration; it selects the caller limits.
    std::uint32_t bundle = 0;
    bool idempotent = false;
    Bundles::Priority priority = Bundles::Priority::Normal;
    /// Zero selects the total timeout of the service.
    Duration timeout{0};
    /// Zero if the route sets no limit.
    unsigned maxAttempts = 0;
    /// Zero if the route sets none.
    Duration targetLatency{0};
    /// No key of a customer is required.
    bool isPublic = false;
    /// Identity of the route's host and path prefix for fair sharing; set by the routing table.
    ShareKey identity = 0;

    auto operator<=>(const RouteTarget &) const = default;
};

/// Identity of the route's host and path prefix.
ShareKey identityOf(const Bundles::Route &route);

/// A route with its service resolved.
struct ResolvedRoute
{
    Bundles::Route route;
    RouteTarget target;
};

/// Finds the route of a request. Immutable once built.
///
/// An exact host has precedence over "*", then the longest path prefix wins, then an exact method has precedence over
/// "*". A prefix that ends with a slash matches the paths that begin with it: "/a/" matches "/a/" and "/a/b", not "/a".
/// Any other prefix matches whole segments: "/a" matches "/a" and "/a/b", not "/ab". Of equal routes the first one is
/// used.
///
/// Usage: construct with all routes of a configuration, then find() for each request.
class RoutingTable
{
public:
    RoutingTable() = default;
    explicit RoutingTable(const std::vector<ResolvedRoute> &routes);

    /// The target may carry a query or be in absolute form; the host may carry a port.
    std::optional<RouteTarget> find(std::string_view host, std::string_view method, std::string_view target) const;

    std::size_t size() const;

private:
    struct MethodTarget
    {
        std::string method;
        RouteTarget target;
    };

    struct Hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>{}(text);
        }
    };

    template<typename Value>
    using TextMap = std::unordered_map<std::string, Value, Hash, std::equal_to<>>;

    struct HostRoutes
    {
        TextMap<std::vector<MethodTarget>> prefixes;
        std::size_t longestPrefix = 0;
    };

    static std::optional<RouteTarget> findIn(const HostRoutes &routes, std::string_view method, std::string_view path);

    TextMap<HostRoutes> hosts;
    std::size_t routeCount = 0;
};

} // namespace Verbenadock::Core::Internal

#endif
