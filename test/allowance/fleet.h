#ifndef VERBENADOCK_TEST_ALLOWANCE_FLEET_H
#define VERBENADOCK_TEST_ALLOWANCE_FLEET_H

#include "verbenadock/allowance/allowanceclient.h"
#include "verbenadock/mesh/readerelection.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Verbenadock::Allowance::Test {

constexpr unsigned DataCentres = 3;
constexpr double Slack = 20;
constexpr double Overshoot = 0.1;
constexpr Duration Window = std::chrono::seconds(5);

struct TestCustomer
{
    Mesh::CustomerNumber number = 0;
    /// Requests per second of the callers.
    double usualRate = 0;
    Cap cap;
    /// Times at which requests were granted.
    std::vector<TimePoint> granted;
    /// Times at which requests were refused.
    std::vector<TimePoint> refused;
};

/// VMs with both reducers and a queue of timed messages between them, in virtual time.
class TestFleet
{
public:
    TestFleet(unsigned vmCount, unsigned seed);

    /// Runs until this time after the start.
    void runUntil(Duration time);

    /// Decides whether datagrams from one VM reach another; both by index.
    std::function<bool(unsigned, unsigned)> linkUp = [](unsigned, unsigned) {
        return true;
    };
    double lossShare = 0.002;
    /// Load of every customer in units of its usual rate.
    std::map<Mesh::CustomerNumber, double> loadFactors;
    double loadFactor = 1;

    unsigned dataCentreOf(unsigned vm) const;
    /// VMs that read the store and are first in their data centre, as they see it.
    std::vector<unsigned> firstHubs() const;
    void kill(unsigned vm);
    /// The new process starts at once, with empty state.
    void restart(unsigned vm);
    void setCaps(std::map<Mesh::CustomerNumber, Cap> caps);

    std::vector<TestCustomer> customers;
    unsigned size() const;
    /// Requests that have waited longer than the limit of a search.
    unsigned lateDecisions = 0;
    unsigned open() const;

    struct Refusals
    {
        std::size_t refused = 0;
        std::size_t total = 0;
        double share() const
        {
            return this->total == 0 ? 0 : static_cast<double>(this->refused) / static_cast<double>(this->total);
        }
    };
    /// Of all customers, or of all except one.
    Refusals refusals(Duration from, Duration to, Mesh::CustomerNumber except = 0) const;
    /// Largest number of granted requests of a customer beyond its bound in any window that begins after this time.
    double excess(Duration from = Duration(0)) const;

private:
    struct Heartbeat
    {
        std::string vm;
    };
    struct Announcement
    {
        std::string vm;
        unsigned dataCentre = 0;
    };
    using Datagram
        = std::variant<Heartbeat, Announcement, Mesh::AllowanceLoan, Mesh::AllowanceRequest, Mesh::AllowanceGrant>;
    struct Vm
    {
        std::string name;
        unsigned dataCentre = 0;
        bool alive = true;
        TimePoint startedAt;
        unsigned heartbeats = 0;
        std::unique_ptr<Mesh::ReaderElection> election;
        std::unique_ptr<AllowancePool> pool;
        std::unique_ptr<AllowanceClient> client;
        std::map<unsigned, std::pair<std::string, TimePoint>> remoteHubs;
        TimePoint wakeAt = TimePoint::max();
    };
    struct Delivery
    {
        unsigned from = 0;
        unsigned to = 0;
        Datagram datagram;
    };
    struct Arrival
    {
        std::size_t customer = 0;
    };
    struct Beat
    {
        unsigned vm = 0;
    };
    struct Wake
    {
        unsigned vm = 0;
    };
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence = 0;
        std::variant<Delivery, Arrival, Beat, Wake> what;
        bool operator<(const Event &other) const
        {
            return std::pair(other.at, other.sequence) < std::pair(this->at, this->sequence);
        }
    };

    void start(unsigned vm);
    void schedule(TimePoint at, std::variant<Delivery, Arrival, Beat, Wake> what);
    void scheduleArrival(std::size_t customer);
    void on(const Delivery &delivery);
    void receive(const Delivery &delivery, const Heartbeat &heartbeat);
    void receive(const Delivery &delivery, const Announcement &announcement);
    void receive(const Delivery &delivery, const Mesh::AllowanceLoan &loan);
    void receive(const Delivery &delivery, const Mesh::AllowanceRequest &request);
    void receive(const Delivery &delivery, const Mesh::AllowanceGrant &grant);
    void on(const Arrival &arrival);
    void on(const Beat &beat);
    void on(const Wake &wake);
    void send(unsigned from, unsigned to, Datagram datagram);
    void carryOut(unsigned vm, const AllowanceClient::Update &update);
    void updateHubs(Vm &vm);
    double fraction();

    TimePoint now{std::chrono::hours(1)};
    const TimePoint begin = now;
    std::mt19937_64 random;
    std::uint64_t sequence = 0;
    RequestId lastRequest = 0;
    std::uint64_t incarnation = 1000;
    std::vector<Vm> vms;
    std::vector<std::string> names;
    std::map<std::string, unsigned> indexOf;
    std::map<Mesh::CustomerNumber, Cap> caps;
    std::map<RequestId, std::pair<std::size_t, TimePoint>> openRequests;
    std::priority_queue<Event> events;
};

} // namespace Verbenadock::Allowance::Test

#endif
