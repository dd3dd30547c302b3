#include "verbenadock/bundle/parser.h"

#include "servicereader.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <tuple>

namespace Verbenadock::Bundles {

namespace {

using Toml::Presence;
using Toml::TableReader;

constexpr double MaxRequestsPerSecond = 10'000'000;

void readHeader(TableReader &root, Bundle &bundle)
{
    auto reader = root.readTable("bundle", Presence::Required);
    reader.readName("name", bundle.name, Presence::Required);
    reader.readInteger("version", bundle.version, {.least = 1}, Presence::Required);
    reader.finish();
}

void readServices(TableReader &root, Bundle &bundle)
{
    internal::EndpointOwners owners;
    for (auto &reader : root.readTable("services", Presence::Required).readNamedTables()) {
        bundle.services.push_back(internal::readService(reader, owners));
    }
}

bool isHost(const std::string &text)
{
    const auto isAllowed = [](unsigned char character) {
        return std::islower(character) != 0 || std::isdigit(character) != 0 || character == '.' || character == '-';
    };
    return text == "*" || std::ranges::all_of(text, isAllowed);
}

bool isMethod(const std::string &text)
{
    const auto isAllowed = [](unsigned char character) {
        return std::isupper(character) != 0 || character == '-';
    };
    return text == "*" || std::ranges::all_of(text, isAllowed);
}

bool isPathPrefix(const std::string &text)
{
    const auto isAllowed = [](unsigned char character) {
        return std::isgraph(character) != 0 && character != '?' && character != '#';
    };
    return text.starts_with('/') && std::ranges::all_of(text, isAllowed);
}

void readMatch(TableReader &reader, Route &route)
{
    if (reader.readText("host", route.host) && !isHost(route.host)) {
        reader.report("host", "'" + route.host + "' is neither \"*\" nor a host name in lower case without a port");
    }
    if (reader.readText("method", route.method) && !isMethod(route.method)) {
        reader.report("method", "'" + route.method + "' is neither \"*\" nor a method in upper case");
    }
    if (reader.readText("path_prefix", route.pathPrefix) && !isPathPrefix(route.pathPrefix)) {
        reader.report("path_prefix", "'" + route.pathPrefix + "' is not a path that starts with '/'");
    }
}

Route readRoute(TableReader &reader, const std::set<std::string> &services)
{
    Route route;
    readMatch(reader, route);
    if (reader.readText("service", route.service, Presence::Required) && !services.contains(route.service)) {
        reader.report("service", "there is no service '" + route.service + "' in this bundle");
    }
    // No default: a wrong value would either run a request twice or prevent its retries.
    reader.readFlag("idempotent", route.idempotent, Presence::Required);
    std::size_t priority = static_cast<std::size_t>(Priority::Normal);
    reader.readChoice("priority", priority, {"high", "normal", "low"});
    route.priority = static_cast<Priority>(priority);
    reader.finish();
    return route;
}

std::set<std::string> serviceNames(const TableReader &root, const Bundle &bundle)
{
    std::set<std::string> names;
    if (root.holdsTable("services")) {
        std::ranges::transform(bundle.services, std::inserter(names, names.end()), &Service::name);
    }
    return names;
}

void readRoutes(TableReader &root, Bundle &bundle)
{
    const auto services = serviceNames(root, bundle);
    std::set<std::tuple<std::string, std::string, std::string>> matches;
    for (auto &reader : root.readTables("routes", Presence::Required)) {
        auto route = readRoute(reader, services);
        if (!matches.emplace(route.host, route.method, route.pathPrefix).second) {
            reader.report("", "another route has the same host, method and path_prefix");
        }
        bundle.routes.push_back(std::move(route));
    }
}

void readCallerLimits(TableReader &root, Bundle &bundle)
{
    std::set<std::string> callers;
    for (auto &reader : root.readTables("caller_limits")) {
        CallerLimit limit;
        reader.readText("caller", limit.caller, Presence::Required);
        const Toml::Range<double> range{.least = 0, .most = MaxRequestsPerSecond};
        reader.readNumber("requests_per_second", limit.requestsPerSecond, range, Presence::Required);
        if (!reader.readNumber("burst", limit.burst, {.least = 1, .most = MaxRequestsPerSecond})) {
            limit.burst = std::max(1.0, limit.requestsPerSecond);
        }
        if (!callers.insert(limit.caller).second) {
            reader.report("caller", "'" + limit.caller + "' has a limit already");
        }
        reader.finish();
        bundle.callerLimits.push_back(std::move(limit));
    }
}

} // namespace

InvalidBundle::InvalidBundle(std::vector<Mistake> mistakes)
    : Error(Toml::describe(mistakes))
    , mistakeList(std::move(mistakes))
{
    std::ranges::stable_sort(this->mistakeList, {}, &Mistake::line);
}

const std::vector<Mistake> &InvalidBundle::mistakes() const
{
    return this->mistakeList;
}

Bundle parseBundle(std::string_view toml)
{
    Toml::Mistakes mistakes;
    Bundle bundle;
    if (const auto document = Toml::parse(toml, mistakes)) {
        TableReader root(*document, "", mistakes);
        readHeader(root, bundle);
        readServices(root, bundle);
        readRoutes(root, bundle);
        readCallerLimits(root, bundle);
        root.finish();
    }
    if (!mistakes.empty()) {
        throw InvalidBundle(std::move(mistakes));
    }
    return bundle;
}

} // namespace Verbenadock::Bundles
