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
    if (!target.empty() && target.front() != '/') {
        const auto scheme = target.find("://");
        const auto slash = scheme == std::string_view::npos ? scheme : target.find('/', scheme + 3);
        target = slash == std::string_view::npos ? std::string_view("/") : target.substr(slash);
    }
    return target.substr(0, target.find_first_of("?#"));
}

/// Prefixes are stored without trailing slashes, so that the root is the empty string.
std::string_view withoutTrailingSlashes(std::string_view path)
{
    const auto last = path.find_last_not_of('/');
    return last == std::string_view::npos ? std::string_view() : path.substr(0, last + 1);
}

/// Longest prefix of the path that consists of whole segments and has at most `limit` characters.
std::string_view wholeSegments(std::string_view path, std::size_t limit)
{
    if (path.size() <= limit) {
        return path;
    }
    if (path[limit] == '/') {
        return path.substr(0, limit);
    }
    const auto slash = path.substr(0, limit).rfind('/');
    return slash == std::string_view::npos ? std::string_view() : path.substr(0, slash);
}

} // namespace

RoutingTable::RoutingTable(const std::vector<ResolvedRoute> &routes)
{
    for (const auto &[route, target] : routes) {
        auto &host = this->hosts[lowerCase(route.host)];
        const auto prefix = withoutTrailingSlashes(route.pathPrefix);
        host.longestPrefix = std::max(host.longestPrefix, prefix.size());
        auto &methods = host.prefixes[std::string(prefix)];
        const auto sameMethod = [&route = route](const MethodTarget &existing) {
            return existing.method == route.method;
        };
        if (std::none_of(methods.begin(), methods.end(), sameMethod)) {
            methods.push_back(MethodTarget{.method = route.method, .target = target});
            ++this->routeCount;
        }
    }
}

std::optional<RouteTarget> RoutingTable::findIn(const HostRoutes &routes,
                                                std::string_view method,
                                                std::string_view path)
{
    auto prefix = wholeSegments(withoutTrailingSlashes(path), routes.longestPrefix);
    while (true) {
        const auto found = routes.prefixes.find(prefix);
        if (found != routes.prefixes.end()) {
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
        if (prefix.empty()) {
            return std::nullopt;
        }
        prefix = prefix.substr(0, prefix.rfind('/') == std::string_view::npos ? 0 : prefix.rfind('/'));
    }
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
