#ifndef VERBENADOCK_TEST_MEMBERSHIP_NETWORK_H
#define VERBENADOCK_TEST_MEMBERSHIP_NETWORK_H

#include "verbenadock/membership/detector.h"

#include <functional>
#include <map>
#include <queue>
#include <set>

namespace Verbenadock::Membership::Test {

/// Simulated network of detectors on virtual time; messages are delivered after a fixed delay.
class Network
{
public:
    explicit Network(const std::vector<std::string> &ids);

    void start(const std::string &id, std::uint64_t incarnation);
    void kill(const std::string &id);
    /// Suspends the member for this time; messages to it are delivered afterwards.
    void pause(const std::string &id, Duration duration);
    /// Drops all messages from `from` to `to`.
    void blockMessages(const std::string &from, const std::string &to);
    void unblockAll();
    /// Passes the VM list, which names the members from the constructor, to all running members.
    void sendVmList();

    void run(Duration duration);
    bool runUntil(Duration limit, const std::function<bool()> &condition);

    TimePoint now() const;
    const Detector &detector(const std::string &id) const;
    /// Returns true if every other running member reports the member in this state.
    bool allReport(const std::string &id, State state) const;
    std::size_t deaths() const;
    std::size_t deathsOf(const std::string &id) const;
    std::size_t deathsBy(const std::string &id) const;
    std::size_t suspicions() const;
    std::size_t messagesSent() const;
    std::size_t updatesSent(const std::string &about) const;
    std::size_t maxUpdatesInMessage() const;

private:
    struct Delivery
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::string from;
        std::string to;
        Message message;

        bool operator>(const Delivery &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    struct Node
    {
        Identity identity;
        std::uint64_t incarnation = 0;
        std::optional<Detector> detector;
        TimePoint pausedUntil;
        /// Next deadline of the detector, cached because each step inspects the deadlines of all nodes.
        TimePoint due;
        std::set<std::string> introduced;
    };

    void step(TimePoint limit);
    void deliver(const Delivery &delivery);
    void executeEffects(const std::string &id, const Effects &effects);
    void count(const Message &message);

    TimePoint time{std::chrono::seconds(1000)};
    std::vector<Identity> listed;
    std::map<std::string, Node> nodes;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> deliveries;
    std::set<std::pair<std::string, std::string>> blockedDirections;
    /// Observer and dead member of each verdict.
    std::multiset<std::pair<std::string, std::string>> deadVerdicts;
    std::size_t suspicionCount = 0;
    std::size_t messageCount = 0;
    std::map<std::string, std::size_t> updateCounts;
    std::size_t maxUpdateCount = 0;
    std::uint64_t order = 0;
};

} // namespace Verbenadock::Membership::Test

#endif
