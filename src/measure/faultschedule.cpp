#include "faultschedule.h"

#include "verbenadock/net/error.h"
#include "verbenadock/net/httpclient.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <numeric>
#include <thread>

namespace Verbenadock::Measure {

namespace {

constexpr Duration Tick = std::chrono::milliseconds(20);
constexpr std::uint64_t ShortestFaultMs = 800;
constexpr std::uint64_t FaultSpreadMs = 2200;
constexpr Duration Gap = std::chrono::milliseconds(200);
constexpr Duration Settle = std::chrono::seconds(1);
constexpr Duration StopLimit = std::chrono::seconds(20);

bool isReady(const Endpoint &admin)
{
    try {
        return Net::fetchBlocking(admin, {.target = "/ready"}, std::chrono::seconds(1)).status == 200;
    } catch (const Net::NetError &) {
        return false;
    }
}

} // namespace

FaultSchedule::FaultSchedule(Test::Fleet &fleetToDisturb, std::string claimService, std::uint64_t seed)
    : fleet(fleetToDisturb)
    , claims(std::move(claimService))
    , random(seed)
    , startedAt(monotonicNow())
{
    this->addProcessFaults();
    this->addNetworkFaults();
    this->addPlatformFaults();
    this->addUpstreamFaults();
    this->addDepartures();
}

void FaultSchedule::runFaults(Duration length)
{
    const TimePoint end = monotonicNow() + length;
    while (monotonicNow() < end) {
        this->advance(false);
        std::this_thread::sleep_for(Tick);
    }
    this->endAll();
    std::this_thread::sleep_for(Settle);
}

void FaultSchedule::restartEntries()
{
    for (std::size_t vm = 0; vm < this->fleet.vms.size(); ++vm) {
        this->restartEntry(vm);
    }
    this->endAll();
}

void FaultSchedule::restartEntry(std::size_t vm)
{
    auto &target = this->fleet.vms[vm];
    GracefulStop stop{.listen = target.entryListen(), .signalledAt = monotonicNow()};
    target.entry->signal(SIGTERM);
    this->waitWhileAdvancing([&target] {
        return !target.entry->isRunning();
    });
    stop.exitedAt = monotonicNow();
    stop.exitStatus = target.entry->waitForExit(Duration(0)).value_or(-1);
    this->stops.push_back(stop);
    std::cerr << "entry of " << target.id << " stopped after " << toMilliseconds(stop.exitedAt - stop.signalledAt)
              << " ms with status " << stop.exitStatus << '\n';
    this->fleet.startEntry(vm);
    this->waitWhileAdvancing([&target] {
        return isReady(target.entryAdmin());
    });
}

void FaultSchedule::waitWhileAdvancing(const std::function<bool()> &condition)
{
    const TimePoint limit = monotonicNow() + StopLimit;
    while (monotonicNow() < limit && !condition()) {
        this->advance(true);
        std::this_thread::sleep_for(Tick);
    }
}

void FaultSchedule::advance(bool restarting)
{
    for (Lane &lane : this->lanes) {
        if (monotonicNow() < lane.changeAt) {
            continue;
        }
        if (lane.undo) {
            lane.undo();
            lane.undo = nullptr;
            lane.changeAt = monotonicNow() + Gap;
        } else {
            this->begin(lane, restarting);
        }
    }
}

void FaultSchedule::begin(Lane &lane, bool restarting)
{
    const Kind &kind = this->nextKind(restarting);
    const std::uint64_t milliseconds = ShortestFaultMs + this->below(FaultSpreadMs);
    std::string target;
    const double second = toMilliseconds(monotonicNow() - this->startedAt) / 1000;
    lane.undo = kind.begin(target);
    lane.changeAt = monotonicNow() + std::chrono::milliseconds(milliseconds);
    ++this->faults;
    std::cerr << "fault at " << second << " s for " << milliseconds << " ms: " << kind.name << ' ' << target << '\n';
}

void FaultSchedule::endAll()
{
    for (Lane &lane : this->lanes) {
        if (lane.undo) {
            lane.undo();
            lane.undo = nullptr;
        }
    }
}

const FaultSchedule::Kind &FaultSchedule::nextKind(bool restarting)
{
    // Each kind comes once before any comes again.
    for (;;) {
        if (this->deck.empty()) {
            this->deck.resize(this->kinds.size());
            std::iota(this->deck.begin(), this->deck.end(), 0);
            std::shuffle(this->deck.begin(), this->deck.end(), this->random);
        }
        const Kind &kind = this->kinds[this->deck.front()];
        this->deck.pop_front();
        if (!restarting || kind.whileRestarting) {
            return kind;
        }
    }
}

std::size_t FaultSchedule::below(std::size_t bound)
{
    return this->random() % bound;
}

std::string FaultSchedule::anyUpstream()
{
    // Half of the faults concern the service of claims, which has the most to lose.
    const auto position = this->below(this->fleet.upstreams.size());
    const auto &other = this->fleet.upstreams[position];
    if (this->below(2) == 0) {
        return other.id;
    }
    std::vector<std::string> ids;
    for (const auto &upstream : this->fleet.upstreams) {
        if (upstream.service == this->claims) {
            ids.push_back(upstream.id);
        }
    }
    return ids[this->below(ids.size())];
}

std::string FaultSchedule::leavingUpstream()
{
    // At most one upstream of four leaves, so that capacity stays for all services.
    constexpr std::size_t OneOf = 4;
    for (;;) {
        const auto position = this->below(this->fleet.upstreams.size());
        const auto &upstream = this->fleet.upstreams[position];
        if (position % OneOf == 0 && this->departed.insert(upstream.id).second) {
            return upstream.id;
        }
    }
}

std::size_t FaultSchedule::anyVm()
{
    return this->below(this->fleet.vms.size());
}

} // namespace Verbenadock::Measure
