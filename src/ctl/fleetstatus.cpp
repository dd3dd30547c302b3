#include "fleetstatus.h"

#include "blocking.h"
#include "verbenadock/net/error.h"
#include "verbenadock/net/httpclient.h"

#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>

namespace Verbenadock::Ctl {

namespace {

using nlohmann::json;

constexpr Duration DumpTimeout = std::chrono::seconds(2);
constexpr unsigned StatusOk = 200;
// Smaller numbers are ages: 10^11 ms since the epoch is in 1973, and no VM has a bundle in force for three years.
constexpr std::int64_t LeastTimeOfDayMs = 100'000'000'000;

template<typename Type>
Type valueOr(const json &object, const char *key, Type fallback)
{
    try {
        return object.value(key, fallback);
    } catch (const json::exception &) {
        return fallback;
    }
}

std::vector<BundleInForce> parseBundles(const std::string &dump)
{
    const auto root = json::parse(dump, nullptr, false);
    std::vector<BundleInForce> bundles;
    if (!root.is_object() || !root.contains("bundles")) {
        return bundles;
    }
    for (const auto &item : root["bundles"]) {
        if (item.is_object()) {
            bundles.push_back({.name = valueOr<std::string>(item, "name", ""),
                               .version = valueOr<std::uint64_t>(item, "version", 0),
                               .digest = valueOr<std::string>(item, "digest", ""),
                               .inForceMs = valueOr<std::int64_t>(item, "in_force_ms", 0)});
        }
    }
    return bundles;
}

Net::HttpRequest dumpRequest()
{
    Net::HttpRequest request;
    request.target = "/dump";
    return request;
}

boost::asio::awaitable<void> ask(ProcessState &state)
{
    // g++ 12 destroys an aggregate temporary inside a co_await expression twice, so the request has a name.
    const auto request = dumpRequest();
    try {
        const auto response = co_await Net::fetch(state.endpoint, request, DumpTimeout);
        if (response.status == StatusOk) {
            state.bundles = parseBundles(response.body);
        } else {
            state.failure = "answered " + std::to_string(response.status);
        }
    } catch (const Net::NetError &error) {
        state.failure = error.what();
    }
}

std::string since(std::int64_t milliseconds)
{
    if (milliseconds <= 0) {
        return "-";
    }
    if (milliseconds < LeastTimeOfDayMs) {
        return "for " + std::to_string(milliseconds / 1000) + " s";
    }
    const std::time_t seconds = milliseconds / 1000;
    std::tm time{};
    gmtime_r(&seconds, &time);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &time);
    return "since " + std::string(text.data());
}

const BundleInForce *findBundle(const ProcessState &state, const std::string &name)
{
    const auto position = std::ranges::find(state.bundles, name, &BundleInForce::name);
    return position == state.bundles.end() ? nullptr : &*position;
}

std::string describe(const ProcessState &state)
{
    return state.role + " " + toString(state.endpoint);
}

/// One line of the report for a process and a bundle; returns whether the version is the expected one.
bool reportBundle(const ProcessState &state,
                  const std::string &name,
                  std::uint64_t expected,
                  Output &output,
                  json &rows)
{
    const auto *bundle = findBundle(state, name);
    const auto version = bundle == nullptr ? 0 : bundle->version;
    const bool same = version == expected;
    output.text += "  " + describe(state) + "  " + (version == 0 ? "none" : "version " + std::to_string(version)) + "  "
                   + since(bundle == nullptr ? 0 : bundle->inForceMs) + (same ? "" : "  DIFFERS") + "\n";
    rows.push_back({{"bundle", name},
                    {"version", version},
                    {"digest", bundle == nullptr ? "" : bundle->digest},
                    {"in_force_ms", bundle == nullptr ? 0 : bundle->inForceMs},
                    {"differs", !same}});
    return same;
}

} // namespace

std::string fetchDump(const Endpoint &endpoint)
{
    try {
        const auto response = Net::fetchBlocking(endpoint, dumpRequest(), DumpTimeout);
        if (response.status == StatusOk) {
            return response.body;
        }
        throw CtlError(ExitStatus::Unavailable, toString(endpoint) + " answered " + std::to_string(response.status));
    } catch (const Net::NetError &error) {
        throw CtlError(ExitStatus::Unavailable, toString(endpoint) + " is unreachable: " + error.what());
    }
}

std::vector<ProcessState> askFleet(const Settings::CtlSettings &settings)
{
    std::vector<ProcessState> fleet;
    for (const auto &endpoint : settings.agents) {
        fleet.push_back({.role = "agent", .endpoint = endpoint, .failure = {}, .bundles = {}});
    }
    for (const auto &endpoint : settings.entries) {
        fleet.push_back({.role = "entry", .endpoint = endpoint, .failure = {}, .bundles = {}});
    }
    boost::asio::io_context context;
    for (auto &state : fleet) {
        boost::asio::co_spawn(context, ask(state), boost::asio::detached);
    }
    context.run();
    return fleet;
}

std::vector<std::string> laggards(const std::vector<ProcessState> &fleet, const Bundles::VersionReference &reference)
{
    std::vector<std::string> lines;
    for (const auto &state : fleet) {
        const auto *bundle = findBundle(state, reference.name);
        if (!state.failure.empty()) {
            lines.push_back(describe(state) + ": unreachable (" + state.failure + ")");
        } else if (bundle == nullptr) {
            lines.push_back(describe(state) + ": no version in force");
        } else if (bundle->version < reference.version) {
            lines.push_back(describe(state) + ": version " + std::to_string(bundle->version));
        } else if (bundle->version == reference.version && !bundle->digest.empty()
                   && bundle->digest != reference.digest) {
            lines.push_back(describe(state) + ": another content of version " + std::to_string(bundle->version));
        }
    }
    return lines;
}

Output fleetReport(const std::vector<ProcessState> &fleet, std::map<std::string, std::uint64_t> expected)
{
    for (const auto &state : fleet) {
        for (const auto &bundle : state.bundles) {
            auto &version = expected[bundle.name];
            version = std::max(version, bundle.version);
        }
    }
    Output output;
    std::vector<json> rows(fleet.size(), json::array());
    for (const auto &[name, version] : expected) {
        output.text += name + ": version " + std::to_string(version) + "\n";
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            if (fleet[index].failure.empty() && !reportBundle(fleet[index], name, version, output, rows[index])) {
                output.status = ExitStatus::NotInForce;
            }
        }
    }
    output.data["processes"] = json::array();
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        const auto &state = fleet[index];
        output.data["processes"].push_back({{"role", state.role},
                                            {"endpoint", toString(state.endpoint)},
                                            {"reachable", state.failure.empty()},
                                            {"failure", state.failure},
                                            {"bundles", rows[index]}});
        if (!state.failure.empty()) {
            output.text += describe(state) + " is unreachable: " + state.failure + "\n";
            output.status = ExitStatus::Unavailable;
        }
    }
    return output;
}

} // namespace Verbenadock::Ctl
