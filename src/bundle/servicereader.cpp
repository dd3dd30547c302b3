#include "servicereader.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <sstream>

namespace Verbenadock::Bundles::internal {

namespace {

using Toml::Presence;
using Toml::TableReader;

constexpr Duration MinTimeout = std::chrono::milliseconds(1);
constexpr Duration MaxTimeout = std::chrono::hours(1);
constexpr unsigned MaxSlots = 10'000;
constexpr unsigned MaxConnections = 100'000;
constexpr unsigned MaxQueuedRequests = 100'000;
// Upper bound of the memory that each request in flight may take in an entry.
constexpr std::size_t MaxBufferedBytes = 64 << 20;
constexpr double Percent = 100;

// Detects after few failures, at the cost of more false alarms.
constexpr Detection FastDetection{.samplesBetweenFalseAlarms = 2'000, .failureRate = 0.3, .slowFactor = 2};
// For upstreams with few slots, where a false ejection costs more than a few slow answers.
constexpr Detection CarefulDetection{.samplesBetweenFalseAlarms = 100'000, .failureRate = 0.3, .slowFactor = 2.5};

void readTimeouts(TableReader &service, Timeouts &timeouts)
{
    auto reader = service.readTable("timeouts");
    const Toml::Range<Duration> range{.least = MinTimeout, .most = MaxTimeout};
    reader.readDuration("total", timeouts.total, range);
    if (!reader.readDuration("first_byte", timeouts.firstByte, range)) {
        timeouts.firstByte = std::min(timeouts.firstByte, timeouts.total);
    }
    if (!reader.readDuration("connect", timeouts.connect, range)) {
        timeouts.connect = std::min(timeouts.connect, timeouts.total);
    }
    if (timeouts.firstByte > timeouts.total) {
        reader.report("first_byte", "is longer than the total timeout");
    }
    if (timeouts.connect > timeouts.total) {
        reader.report("connect", "is longer than the total timeout");
    }
    reader.finish();
}

void readDetection(TableReader &service, Detection &detection)
{
    if (!service.holdsTable("detection")) {
        std::size_t choice = 0;
        if (service.readChoice("detection", choice, {"fast", "careful"})) {
            detection = choice == 0 ? FastDetection : CarefulDetection;
        }
        return;
    }
    auto reader = service.readTable("detection");
    reader.readNumber("samples_between_false_alarms", detection.samplesBetweenFalseAlarms, {.least = 10, .most = 1e9});
    reader.readNumber("failure_rate", detection.failureRate, {.least = 0.01, .most = 1});
    reader.readNumber("slow_factor", detection.slowFactor, {.least = 1.1, .most = 1000});
    reader.finish();
}

void readBudgets(TableReader &service, Budgets &budgets)
{
    auto reader = service.readTable("budgets");
    reader.readNumber("retry_percent", budgets.retryPercent, {.least = 0, .most = Percent});
    reader.readNumber("hedge_percent", budgets.hedgePercent, {.least = 0, .most = Percent});
    reader.finish();
}

void checkEndpoint(TableReader &reader, const Endpoint &endpoint, const std::string &owner, EndpointOwners &owners)
{
    // Two upstreams with the same endpoint would count the slots of that server twice.
    const auto [position, isNew] = owners.try_emplace(endpoint, owner);
    if (!isNew) {
        reader.report("endpoint", toString(endpoint) + " is already the endpoint of upstream " + position->second);
    }
}

Upstream readUpstream(TableReader &reader, const std::string &service, EndpointOwners &owners)
{
    Upstream upstream;
    reader.readName("id", upstream.id, Presence::Required);
    reader.readName("data_centre", upstream.dataCentre, Presence::Required);
    reader.readInteger("slots", upstream.slots, {.least = 1, .most = MaxSlots});
    const bool limited
        = reader.readInteger("connection_limit", upstream.connectionLimit, {.least = 1, .most = MaxConnections});
    if (limited && upstream.connectionLimit < upstream.slots) {
        reader.report("connection_limit", "is below the number of slots, so some slots could never be used");
    }
    if (reader.readEndpoint("endpoint", upstream.endpoint, Presence::Required)) {
        checkEndpoint(reader, upstream.endpoint, service + "/" + upstream.id, owners);
    }
    reader.finish();
    return upstream;
}

void readUpstreams(TableReader &reader, Service &service, EndpointOwners &owners)
{
    std::set<std::string> ids;
    for (auto &upstreamReader : reader.readTables("upstreams", Presence::Required)) {
        auto upstream = readUpstream(upstreamReader, service.name, owners);
        if (!upstream.id.empty() && !ids.insert(upstream.id).second) {
            upstreamReader.report("id", "'" + upstream.id + "' is already an upstream of this service");
        }
        service.upstreams.push_back(std::move(upstream));
    }
    if (service.upstreams.empty() && reader.has("upstreams")) {
        reader.report("upstreams", "has to name at least one upstream");
    }
}

/// Reports a floor that prevents the ejection of even the smallest upstream, which would disable ejection silently.
void checkFloor(TableReader &reader, const Service &service)
{
    if (service.floorPercent >= Percent || service.upstreams.size() < 2) {
        return;
    }
    const auto total = std::accumulate(
        service.upstreams.begin(), service.upstreams.end(), 0.0, [](double sum, const Upstream &upstream) {
            return sum + upstream.slots;
        });
    const auto smallest = std::ranges::min_element(service.upstreams, {}, &Upstream::slots);
    const double remainingPercent = (total - smallest->slots) / total * Percent;
    if (remainingPercent < service.floorPercent) {
        std::ostringstream text;
        text << "cannot be met when any upstream is ejected: without '" << smallest->id << "', " << remainingPercent
             << " percent of the slots are left; lower it, or set 100 if no upstream may ever be ejected";
        reader.report("floor_percent", text.str());
    }
}

} // namespace

Service readService(TableReader &reader, EndpointOwners &owners)
{
    Service service;
    service.name = reader.name();
    readTimeouts(reader, service.timeouts);
    readDetection(reader, service.detection);
    readBudgets(reader, service.budgets);
    reader.readInteger("queue_limit", service.queueLimit, {.least = 0, .most = MaxQueuedRequests});
    reader.readSize("hold_back_bytes", service.holdBackBytes, {.least = 0, .most = MaxBufferedBytes});
    reader.readSize("replay_bytes", service.replayBytes, {.least = 0, .most = MaxBufferedBytes});
    reader.readFlag("echoes_attempt_id", service.echoesAttemptId);
    readUpstreams(reader, service, owners);
    if (reader.readNumber("floor_percent", service.floorPercent, {.least = 0, .most = Percent})) {
        checkFloor(reader, service);
    }
    reader.finish();
    return service;
}

} // namespace Verbenadock::Bundles::internal
