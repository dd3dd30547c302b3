#include "network.h"

#include <algorithm>

namespace Verbenadock::Membership::Test {

namespace {

constexpr Duration Delay = std::chrono::milliseconds(2);

} // namespace

Network::Network(const std::vector<std::string> &ids)
{
    for (const auto &id : ids) {
        this->listed.push_back({.id = id, .address = "10.0.0.1", .dataCentre = "cz-1"});
    }
    for (const auto &id : ids) {
        this->start(id, 1000);
    }
}

void Network::start(const std::string &id, std::uint64_t incarnation)
{
    auto &node = this->nodes[id];
    node = Node{.identity = {.id = id, .address = "10.0.0.1", .dataCentre = "cz-1"},
                .incarnation = incarnation,
                .detector
                = Detector({}, {.id = id, .address = "10.0.0.1", .dataCentre = "cz-1"}, incarnation, this->time),
                .pausedUntil = {},
                .due = {},
                .introduced = {}};
    // The new process has to introduce itself to all members again.
    for (auto &[peer, peerNode] : this->nodes) {
        peerNode.introduced.erase(id);
    }
    this->executeEffects(id, node.detector->list(this->time, this->listed));
}

void Network::kill(const std::string &id)
{
    this->nodes.at(id).detector.reset();
}

void Network::pause(const std::string &id, Duration duration)
{
    this->nodes.at(id).pausedUntil = this->time + duration;
}

void Network::blockMessages(const std::string &from, const std::string &to)
{
    this->blockedDirections.emplace(from, to);
}

void Network::unblockAll()
{
    this->blockedDirections.clear();
}

void Network::sendVmList()
{
    for (auto &[id, node] : this->nodes) {
        if (node.detector) {
            this->executeEffects(id, node.detector->list(this->time, this->listed));
        }
    }
}

void Network::run(Duration duration)
{
    this->runUntil(duration, [] {
        return false;
    });
}

bool Network::runUntil(Duration limit, const std::function<bool()> &condition)
{
    const TimePoint end = this->time + limit;
    while (this->time < end) {
        // The condition is evaluated every 100 ms of virtual time only, as it may inspect the views of all members.
        const TimePoint slice = std::min(end, this->time + Duration(std::chrono::milliseconds(100)));
        while (this->time < slice) {
            this->step(slice);
        }
        if (condition()) {
            return true;
        }
    }
    return false;
}

void Network::step(TimePoint limit)
{
    TimePoint next = limit;
    std::string timerOwner;
    for (const auto &[id, node] : this->nodes) {
        if (node.detector) {
            const auto due = std::max(node.due, node.pausedUntil);
            if (due < next) {
                next = due;
                timerOwner = id;
            }
        }
    }
    if (!this->deliveries.empty() && this->deliveries.top().at < next) {
        const Delivery delivery = this->deliveries.top();
        this->deliveries.pop();
        this->time = std::max(this->time, delivery.at);
        this->deliver(delivery);
        return;
    }
    this->time = std::max(this->time, next);
    if (!timerOwner.empty()) {
        this->executeEffects(timerOwner, this->nodes.at(timerOwner).detector->expire(this->time));
    }
}

void Network::deliver(const Delivery &delivery)
{
    auto &node = this->nodes.at(delivery.to);
    if (!node.detector || this->blockedDirections.contains({delivery.from, delivery.to})) {
        return;
    }
    if (node.pausedUntil > this->time) {
        auto later = delivery;
        later.at = node.pausedUntil + Duration(std::chrono::milliseconds(1));
        this->deliveries.push(later);
        return;
    }
    const auto &sender = this->nodes.at(delivery.from);
    if (node.introduced.insert(delivery.from).second) {
        this->executeEffects(delivery.to, node.detector->introduce(this->time, sender.identity, sender.incarnation));
    }
    this->executeEffects(delivery.to, node.detector->receive(this->time, delivery.from, delivery.message));
}

void Network::executeEffects(const std::string &id, const Effects &effects)
{
    auto &node = this->nodes.at(id);
    node.due = node.detector->nextDeadline();
    for (const auto &effect : effects) {
        if (const auto *send = std::get_if<SendMessage>(&effect)) {
            ++this->messageCount;
            this->count(send->message);
            this->deliveries.push({.at = this->time + Delay,
                                   .order = ++this->order,
                                   .from = id,
                                   .to = send->to,
                                   .message = send->message});
        } else if (const auto *change = std::get_if<MemberChanged>(&effect)) {
            this->suspicionCount += change->update.state == State::Suspect ? 1 : 0;
            if (change->update.state == State::Dead) {
                this->deadVerdicts.emplace(id, change->update.member.id);
            }
        }
    }
}

void Network::count(const Message &message)
{
    std::vector<Update> updates;
    if (const auto *ping = std::get_if<Ping>(&message)) {
        updates = ping->updates;
    } else if (const auto *ack = std::get_if<Ack>(&message)) {
        updates = ack->updates;
    }
    for (const auto &update : updates) {
        ++this->updateCounts[update.member.id];
    }
    this->maxUpdateCount = std::max(this->maxUpdateCount, updates.size());
}

TimePoint Network::now() const
{
    return this->time;
}

const Detector &Network::detector(const std::string &id) const
{
    return *this->nodes.at(id).detector;
}

bool Network::allReport(const std::string &id, State state) const
{
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto &item) {
        if (item.first == id || !item.second.detector) {
            return true;
        }
        const auto reports = item.second.detector->report(this->time);
        return std::any_of(reports.begin(), reports.end(), [&](const MemberReport &report) {
            return report.update.member.id == id && report.update.state == state;
        });
    });
}

std::size_t Network::deaths() const
{
    return this->deadVerdicts.size();
}

std::size_t Network::deathsOf(const std::string &id) const
{
    return static_cast<std::size_t>(
        std::count_if(this->deadVerdicts.begin(), this->deadVerdicts.end(), [&](const auto &verdict) {
            return verdict.second == id;
        }));
}

std::size_t Network::deathsBy(const std::string &id) const
{
    return static_cast<std::size_t>(
        std::count_if(this->deadVerdicts.begin(), this->deadVerdicts.end(), [&](const auto &verdict) {
            return verdict.first == id;
        }));
}

std::size_t Network::suspicions() const
{
    return this->suspicionCount;
}

std::size_t Network::messagesSent() const
{
    return this->messageCount;
}

std::size_t Network::updatesSent(const std::string &about) const
{
    const auto found = this->updateCounts.find(about);
    return found == this->updateCounts.end() ? 0 : found->second;
}

std::size_t Network::maxUpdatesInMessage() const
{
    return this->maxUpdateCount;
}

} // namespace Verbenadock::Membership::Test
