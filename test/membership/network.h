#ifndef VERBENADOCK_TEST_MEMBERSHIP_NETWORK_H
#define VERBENADOCK_TEST_MEMBERSHIP_NETWORK_H

#include "verbenadock/membership/detector.h"

#include <functional>
#include <map>
#include <queue>
#include <set>

namespace Verbenadock::Membership::Test {

/// Detectors on virtual time that exchange their messages with a fixed delay.
class Network
{
public:
    explicit Network(const std::vector<std::string> &ids);

    void start(const std::string &id, std::uint64_t incarnation);
    void kill(const std::string &id);
    /// The member runs nothing for this time; its messages wait.
    void pause(const std::string &id, Duration duration);
    /// Drops messages in one direction.
    void cut(const std::string &from, const std::string &to);
    void heal();
    /// Gives every member the list of all that were started first.
    void listAll();

    void run(Duration duration);
    bool runUntil(Duration limit, const std::function<bool()> &condition);

    TimePoint now() const;
    const Detector &at(const std::string &id) const;
    /// Whether every other running member has this view.
    bool allSee(const std::string &id, State state) const;
    std::size_t deaths() const;
    std::size_t deathsOf(const std::string &id) const;
    std::size_t deathsBy(const std::string &id) const;
    std::size_t suspicions() const;
    std::size_t sent() const;
    std::size_t updatesSent(const std::string &about) const;
    std::size_t largestMessage() const;

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
        /// The detector's next deadline, kept because each step looks at those of all nodes.
        TimePoint due;
        std::set<std::string> introduced;
    };

    void step(TimePoint limit);
    void deliver(const Delivery &delivery);
    void carryOut(const std::string &id, const Effects &effects);
    void count(const Message &message);

    TimePoint time{std::chrono::seconds(1000)};
    std::vector<Identity> listed;
    std::map<std::string, Node> nodes;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> deliveries;
    std::set<std::pair<std::string, std::string>> cuts;
    /// Observer and victim of each verdict.
    std::multiset<std::pair<std::string, std::string>> verdicts;
    std::size_t suspicionCount = 0;
    std::size_t sentCount = 0;
    std::map<std::string, std::size_t> updateCounts;
    std::size_t largest = 0;
    std::uint64_t order = 0;
};

} // namespace Verbenadock::Membership::Test

#endif
