#include "fleet.h"

#include <algorithm>
#include <cmath>

namespace Verbenadock::Allowance::Test {

namespace {

constexpr unsigned CustomerCount = 82;
/// As of the larger deployment, 886 requests per second on 121 VMs.
constexpr double RequestsPerSecondAndVm = 886.0 / 121;
constexpr double SizeExponent = 1.2;
constexpr double CapFactor = 1.6;
constexpr Duration BeatInterval = std::chrono::milliseconds(400);
constexpr unsigned BeatsPerAnnouncement = 3;
constexpr Duration RemoteHubLifetime = std::chrono::seconds(4);
/// Time after a start in which a VM takes the registered VMs of the highest precedence for its hubs.
constexpr auto HubLearningTime = std::chrono::milliseconds(1200);
constexpr Duration LateAfter = std::chrono::milliseconds(151);
constexpr auto LateAfterAtStart = std::chrono::milliseconds(500);

} // namespace

TestFleet::TestFleet(unsigned vmCount, unsigned seed)
    : random(seed)
{
    double sum = 0;
    for (unsigned rank = 1; rank <= CustomerCount; ++rank) {
        sum += std::pow(rank, -SizeExponent);
    }
    for (unsigned rank = 1; rank <= CustomerCount; ++rank) {
        const double rate = RequestsPerSecondAndVm * vmCount * std::pow(rank, -SizeExponent) / sum;
        const auto number = Mesh::customerNumber("customer-" + std::to_string(rank));
        const Cap cap{.requestsPerSecond = CapFactor * rate, .burst = CapFactor * rate};
        this->customers.push_back({.number = number, .usualRate = rate, .cap = cap});
        this->caps.emplace(number, cap);
    }
    this->vms.resize(vmCount);
    for (unsigned vm = 0; vm < vmCount; ++vm) {
        this->names.push_back("vm-" + std::to_string(vm));
        this->indexOf.emplace(this->names.back(), vm);
    }
    for (unsigned vm = 0; vm < vmCount; ++vm) {
        this->start(vm);
        this->schedule(this->now + std::chrono::duration_cast<Duration>(BeatInterval * this->fraction()), Beat{vm});
    }
    for (std::size_t customer = 0; customer < this->customers.size(); ++customer) {
        this->scheduleArrival(customer);
    }
}

unsigned TestFleet::dataCentreOf(unsigned vm) const
{
    return vm % DataCentres;
}

unsigned TestFleet::size() const
{
    return static_cast<unsigned>(this->vms.size());
}

unsigned TestFleet::open() const
{
    return static_cast<unsigned>(this->openRequests.size());
}

void TestFleet::start(unsigned index)
{
    auto &vm = this->vms[index];
    vm = Vm{};
    vm.name = this->names[index];
    vm.startedAt = this->now;
    vm.dataCentre = this->dataCentreOf(index);
    vm.election = std::make_unique<Mesh::ReaderElection>(vm.name);
    std::map<std::string, std::uint64_t> peers;
    for (unsigned other = 0; other < this->names.size(); ++other) {
        if (other != index && this->dataCentreOf(other) == vm.dataCentre) {
            peers.emplace(this->names[other], 0);
        }
    }
    vm.election->setPeers(std::move(peers));
    vm.pool = std::make_unique<AllowancePool>(vm.name);
    vm.pool->setVms(this->names, this->now);
    vm.pool->configure(this->caps, Slack, this->now);
    vm.client = std::make_unique<AllowanceClient>(*vm.pool, vm.name, ++this->incarnation);
    vm.client->vmsKnown(this->now);
    this->updateHubs(vm);
    this->carryOut(index, {});
}

void TestFleet::kill(unsigned vm)
{
    this->vms[vm].alive = false;
    this->vms[vm].wakeAt = TimePoint::max();
}

void TestFleet::restart(unsigned vm)
{
    this->start(vm);
}

void TestFleet::setCaps(std::map<Mesh::CustomerNumber, Cap> newCaps)
{
    this->caps = std::move(newCaps);
    for (unsigned index = 0; index < this->vms.size(); ++index) {
        if (this->vms[index].alive) {
            this->vms[index].pool->configure(this->caps, Slack, this->now);
            this->carryOut(index, this->vms[index].client->capsChanged(this->now));
        }
    }
}

std::vector<unsigned> TestFleet::firstHubs() const
{
    std::vector<unsigned> result;
    for (unsigned vm = 0; vm < this->vms.size(); ++vm) {
        if (this->vms[vm].alive && this->vms[vm].election->isFirst(this->now)) {
            result.push_back(vm);
        }
    }
    return result;
}

void TestFleet::schedule(TimePoint at, std::variant<Delivery, Arrival, Beat, Wake> what)
{
    this->events.push({.at = at, .sequence = ++this->sequence, .what = std::move(what)});
}

double TestFleet::fraction()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void TestFleet::scheduleArrival(std::size_t index)
{
    const auto &customer = this->customers[index];
    const auto factor = this->loadFactors.find(customer.number);
    const double rate
        = customer.usualRate * this->loadFactor * (factor == this->loadFactors.end() ? 1 : factor->second);
    const double wait = -std::log(1 - this->fraction()) / rate;
    this->schedule(this->now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)),
                   Arrival{.customer = index});
}

void TestFleet::send(unsigned from, unsigned to, Datagram datagram)
{
    if (from == to || !this->linkUp(from, to) || this->fraction() < this->lossShare) {
        return;
    }
    const std::chrono::duration<double, std::milli> delay(0.2 + 4.8 * this->fraction());
    this->schedule(this->now + std::chrono::duration_cast<Duration>(delay),
                   Delivery{.from = from, .to = to, .datagram = std::move(datagram)});
}

void TestFleet::updateHubs(Vm &vm)
{
    const bool isNew = this->now - vm.startedAt < HubLearningTime;
    Hubs hubs{.local = isNew ? vm.election->expectedHubs() : vm.election->hubs(this->now), .remote = {}};
    for (const auto &[dataCentre, hub] : vm.remoteHubs) {
        if (this->now - hub.second <= RemoteHubLifetime) {
            hubs.remote.push_back(hub.first);
        }
    }
    vm.client->setHubs(std::move(hubs));
}

void TestFleet::carryOut(unsigned index, const AllowanceClient::Update &update)
{
    auto &vm = this->vms[index];
    for (const auto &addressed : update.messages) {
        const auto receiver = this->indexOf.at(addressed.vm);
        if (const auto *loan = std::get_if<Mesh::AllowanceLoan>(&addressed.message)) {
            this->send(index, receiver, *loan);
        } else if (const auto *request = std::get_if<Mesh::AllowanceRequest>(&addressed.message)) {
            this->send(index, receiver, *request);
        }
    }
    for (const auto &decision : update.decisions) {
        const auto open = this->openRequests.find(decision.request);
        auto &customer = this->customers[open->second.first];
        const bool wasNew = open->second.second - vm.startedAt < HubLearningTime;
        this->lateDecisions += this->now - open->second.second > (wasNew ? LateAfterAtStart : LateAfter) ? 1 : 0;
        const bool granted = decision.kind != Decision::Kind::OverCap && decision.kind != Decision::Kind::Unknown;
        (granted ? customer.granted : customer.refused).push_back(this->now);
        this->openRequests.erase(open);
    }
    if (const auto next = vm.client->nextDeadline(); next && *next < vm.wakeAt) {
        vm.wakeAt = *next;
        this->schedule(*next, Wake{index});
    }
}

void TestFleet::on(const Delivery &delivery)
{
    if (this->vms[delivery.to].alive) {
        std::visit(
            [this, &delivery](const auto &datagram) {
                this->receive(delivery, datagram);
            },
            delivery.datagram);
    }
}

void TestFleet::receive(const Delivery &delivery, const Heartbeat &heartbeat)
{
    this->vms[delivery.to].election->noteHeartbeat(heartbeat.vm, true, this->now);
}

void TestFleet::receive(const Delivery &delivery, const Announcement &announcement)
{
    this->vms[delivery.to].remoteHubs[announcement.dataCentre] = {announcement.vm, this->now};
}

void TestFleet::receive(const Delivery &delivery, const Mesh::AllowanceLoan &loan)
{
    this->vms[delivery.to].pool->handle(loan, this->now);
}

void TestFleet::receive(const Delivery &delivery, const Mesh::AllowanceRequest &request)
{
    this->send(delivery.to, delivery.from, this->vms[delivery.to].pool->handle(request, this->now));
}

void TestFleet::receive(const Delivery &delivery, const Mesh::AllowanceGrant &grant)
{
    this->carryOut(delivery.to, this->vms[delivery.to].client->handle(grant, this->now));
}

void TestFleet::on(const Arrival &arrival)
{
    this->scheduleArrival(arrival.customer);
    const auto index = static_cast<unsigned>(this->random() % this->vms.size());
    auto &vm = this->vms[index];
    if (!vm.alive) {
        return;
    }
    const auto request = ++this->lastRequest;
    this->openRequests.emplace(request, std::pair(arrival.customer, this->now));
    this->updateHubs(vm);
    this->carryOut(index, vm.client->reserve(request, this->customers[arrival.customer].number, this->now));
}

void TestFleet::on(const Beat &beat)
{
    this->schedule(this->now + BeatInterval, beat);
    auto &vm = this->vms[beat.vm];
    if (!vm.alive) {
        return;
    }
    const bool announces = ++vm.heartbeats % BeatsPerAnnouncement == 0 && vm.election->isFirst(this->now);
    for (unsigned other = 0; other < this->vms.size(); ++other) {
        if (this->vms[other].dataCentre == vm.dataCentre) {
            if (vm.election->isReader(this->now)) {
                this->send(beat.vm, other, Heartbeat{vm.name});
            }
        } else if (announces) {
            this->send(beat.vm, other, Announcement{.vm = vm.name, .dataCentre = vm.dataCentre});
        }
    }
}

void TestFleet::on(const Wake &wake)
{
    auto &vm = this->vms[wake.vm];
    if (!vm.alive || vm.wakeAt != this->now) {
        return;
    }
    vm.wakeAt = TimePoint::max();
    this->updateHubs(vm);
    this->carryOut(wake.vm, vm.client->advance(this->now));
}

void TestFleet::runUntil(Duration time)
{
    while (!this->events.empty() && this->events.top().at <= this->begin + time) {
        const auto event = this->events.top();
        this->events.pop();
        this->now = event.at;
        std::visit(
            [this](const auto &what) {
                this->on(what);
            },
            event.what);
    }
    this->now = this->begin + time;
}

TestFleet::Refusals TestFleet::refusals(Duration from, Duration to, Mesh::CustomerNumber except) const
{
    const auto count = [&](const std::vector<TimePoint> &times) {
        return static_cast<std::size_t>(std::ranges::count_if(times, [&](TimePoint at) {
            return at >= this->begin + from && at < this->begin + to;
        }));
    };
    Refusals result;
    for (const auto &customer : this->customers) {
        if (customer.number == except) {
            continue;
        }
        const auto refused = count(customer.refused);
        result.refused += refused;
        result.total += refused + count(customer.granted);
    }
    return result;
}

double TestFleet::excess(Duration from) const
{
    double worst = -INFINITY;
    for (const auto &customer : this->customers) {
        const double bound
            = (customer.cap.requestsPerSecond * std::chrono::duration<double>(Window).count() + customer.cap.burst)
                  * (1 + Overshoot)
              + Slack;
        std::size_t first = 0;
        for (std::size_t last = 0; last < customer.granted.size(); ++last) {
            while (customer.granted[last] - customer.granted[first] > Window
                   || customer.granted[first] < this->begin + from) {
                if (first == last) {
                    break;
                }
                ++first;
            }
            worst = std::max(worst, static_cast<double>(last - first + 1) - bound);
        }
    }
    return worst;
}

} // namespace Verbenadock::Allowance::Test
