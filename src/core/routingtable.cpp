#include "routingtable.h"

#include <algorithm>

namespace Verbenadock::Core::Internal {

namespace {

constexpr std::string_view Wildcard = "*";

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return lower;
}

std::string_view withoutPort(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool isV6WithoutPort = !host.empty() && host.back() == ']';
    return colon == std::string_view::npos || isV6WithoutPort ? host : host.substr(0, colon);
}

/// Path of a request target in origin or absolute form, without query and fragment.
std::string_view pathOf(std::string_view target)
{
    target = target.substr(0, target.find_first_of("?#"));
    if (!target.empty() && target.front() == '/') {
        return target;
    }
    const auto scheme = target.find("://");
    const auto slash = scheme == std::string_view::npos ? scheme : target.find('/', scheme + 3);
    return slash == std::string_view::npos ? std::string_view("/") : target.substr(slash);
}

/// Whether the first `length` characters of a path can equal a prefix that matches it.
bool endsAtSegment(std::string_view path, std::size_t length)
{
    return length == path.size() || path[length] == '/' || path[length - 1] == '/';
}

/// Length of the longest prefix, of at most `limit` characters, that can match the path; zero if there is none.
std::size_t longestCandidate(std::string_view path, std::size_t limit)
{
    auto length = std::min(path.size(), limit);
    while (length > 0 && !endsAtSegment(path, length)) {
        --length;
    }
    return length;
}

} // namespace

ShareKey identityOf(const Bundles::Route &route)
{
    return routeKey(lowerCase(route.host), route.pathPrefix);
}

RoutingTable::RoutingTable(const std::vector<ResolvedRoute> &routes)
{
    for (const auto &[route, target] : routes) {
        auto &host = this->hosts[lowerCase(route.host)];
        host.longestPrefix = std::max(host.longestPrefix, route.pathPrefix.size());
        auto &methods = host.prefixes[route.pathPrefix];
        const auto sameMethod = [&route = route](const MethodTarget &existing) {
            return existing.method == route.method;
        };
        if (std::none_of(methods.begin(), methods.end(), sameMethod)) {
            methods.push_back(MethodTarget{.method = route.method, .target = target});
            methods.back().target.identity = identityOf(route);
            ++this->routeCount;
        }
    }
}

std::optional<RouteTarget> RoutingTable::findIn(const HostRoutes &routes,
                                                std::string_view method,
                                                std::string_view path)
{
    for (auto length = longestCandidate(path, routes.longestPrefix); length > 0;
         length = longestCandidate(path, length - 1)) {
        const auto found = routes.prefixes.find(path.substr(0, length));
        if (found == routes.prefixes.end()) {
            continue;
        }
        const MethodTarget *wildcard = nullptr;
        for (const auto &candidate : found->second) {
            if (candidate.method == method) {
                return candidate.target;
            }
            if (candidate.method == Wildcard) {
                wildcard = &candidate;
            }
        }
        if (wildcard != nullptr) {
            return wildcard->target;
        }
    }
    return std::nullopt;
}

std::optional<RouteTarget> RoutingTable::find(std::string_view host,
                                              std::string_view method,
                                              std::string_view target) const
{
    const auto path = pathOf(target);
    const auto exact = this->hosts.find(lowerCase(withoutPort(host)));
    if (exact != this->hosts.end()) {
        if (auto found = findIn(exact->second, method, path)) {
            return found;
        }
    }
    const auto wildcard = this->hosts.find(Wildcard);
    return wildcard == this->hosts.end() ? std::nullopt : findIn(wildcard->second, method, path);
}

std::size_t RoutingTable::size() const
{
    return this->routeCount;
}

} // namespace Verbenadock::Core::Internal
