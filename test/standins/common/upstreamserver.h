#ifndef VERBENADOCK_TEST_STANDINS_UPSTREAMSERVER_H
#define VERBENADOCK_TEST_STANDINS_UPSTREAMSERVER_H

#include "common/behaviour.h"
#include "common/httpserver.h"

#include <deque>
#include <random>

namespace Verbenadock::Standins {

/// All executions of a process; a deque keeps references to its elements valid.
using ExecutionLog = std::deque<Execution>;
using ArrivalLog = std::deque<Arrival>;

/// One upstream: slots, queue, drain, cold start and gray modes.
class UpstreamServer
{
public:
    UpstreamServer(asio::io_context &context,
                   std::string id,
                   const Endpoint &endpoint,
                   const Behaviour &behaviour,
                   ExecutionLog &log,
                   ArrivalLog &arrivals);

    const Behaviour &currentBehaviour() const;
    void apply(const Behaviour &newBehaviour);
    /// Closes all connections and starts cold.
    void restart();
    nlohmann::json state() const;

private:
    /// A request that waits for a slot.
    struct Waiter
    {
        ConnectionPointer connection;
        bool granted = false;
        bool abandoned = false;
    };

    /// The answers that wait for another one to swap with.
    struct Crossing
    {
        ConnectionPointer connection;
        Response response;
        bool swapped = false;
    };

    asio::awaitable<void> handle(ConnectionPointer connection, Request request);
    asio::awaitable<void> probe(ConnectionPointer connection);
    asio::awaitable<void> work(ConnectionPointer connection, Request request);
    asio::awaitable<void> refuse(ConnectionPointer connection, Response refusal, Arrival &arrival);
    asio::awaitable<void> runInSlot(ConnectionPointer connection, const Request &request, Arrival &arrival);
    asio::awaitable<void> answer(ConnectionPointer connection, Response response, Execution &execution);
    asio::awaitable<void> answerCrossed(ConnectionPointer connection, Response response);
    static void noteAnswer(Arrival &arrival, const Response &response);
    asio::awaitable<bool> acquireSlot(ConnectionPointer connection, TimePoint deadline);
    void releaseSlot();

    Response notRun(const Request &request,
                    const std::string &reason,
                    http::status status = http::status::service_unavailable);
    /// Lets the answer tell which request it belongs to.
    void mark(Response &response, const Request &request) const;
    Response head(http::status status) const;
    Response success(const Request &request, const Execution &execution) const;
    Execution &record(const Request &request);
    Duration workTime(const std::string &target);
    bool grayNow(const std::string &target) const;
    bool happens(double rate);

    std::string id;
    Behaviour behaviour;
    ExecutionLog &log;
    ArrivalLog &arrivals;
    std::shared_ptr<HttpServer> server;
    TimePoint started = monotonicNow();
    TimePoint behaviourSince = monotonicNow();
    std::uint64_t busy = 0;
    std::deque<std::shared_ptr<Waiter>> queue;
    std::shared_ptr<Crossing> crossing;
    std::mt19937_64 random;

    std::uint64_t executions = 0;
    std::uint64_t probes = 0;
    std::uint64_t shed = 0;
    std::uint64_t late = 0;
    std::uint64_t cancelled = 0;
};

} // namespace Verbenadock::Standins

#endif
