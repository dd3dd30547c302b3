#include "common/upstreamserver.h"

#include "common/program.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace Verbenadock::Standins {

namespace {

constexpr auto CrossingWait = std::chrono::milliseconds(300);
constexpr auto LongTime = std::chrono::hours(24);

std::string header(const Request &request, const char *name)
{
    return request[name];
}

std::string hashOf(const std::string &body)
{
    std::array<char, 17> text{};
    std::snprintf(
        text.data(), text.size(), "%016llx", static_cast<unsigned long long>(XXH64(body.data(), body.size(), 0)));
    return text.data();
}

/// Value of a number in the query, such as size=100; 0 when missing.
std::size_t queryNumber(const std::string &target, const std::string &name)
{
    const auto position = target.find(name + "=");
    std::size_t number = 0;
    if (position != std::string::npos) {
        const char *start = target.data() + position + name.size() + 1;
        std::from_chars(start, target.data() + target.size(), number);
    }
    return number;
}

/// Names of the headers that a server reads and writes.
struct HeaderNames
{
    const char *requestId;
    const char *deadline;
    const char *notRun;
    const char *leaving;
};

constexpr HeaderNames ProductHeaders{.requestId = "X-Request-Id",
                                     .deadline = "X-Deadline-Ms",
                                     .notRun = "X-Not-Run",
                                     .leaving = "X-Draining"};
constexpr HeaderNames PlatformHeaders{.requestId = "Verbenadock-Request-Id",
                                      .deadline = "Verbenadock-Deadline-Ms",
                                      .notRun = "Verbenadock-Not-Executed",
                                      .leaving = "Server-Leaving"};

const HeaderNames &headersOf(const Behaviour &behaviour)
{
    return behaviour.platform ? PlatformHeaders : ProductHeaders;
}

TimePoint deadlineOf(const Request &request, const Behaviour &behaviour)
{
    const bool ignored = behaviour.ignoreDeadline;
    const auto text = header(request, headersOf(behaviour).deadline);
    std::int64_t milliseconds = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (ignored || text.empty() || result.ec != std::errc()) {
        return monotonicNow() + LongTime;
    }
    return monotonicNow() + std::chrono::milliseconds(milliseconds);
}

std::int64_t unixMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace

UpstreamServer::UpstreamServer(asio::io_context &context,
                               std::string idValue,
                               const Endpoint &endpoint,
                               const Behaviour &behaviourValue,
                               ExecutionLog &logValue,
                               ArrivalLog &arrivalsValue)
    : id(std::move(idValue))
    , log(logValue)
    , arrivals(arrivalsValue)
    , server(std::make_shared<HttpServer>(context,
                                          endpoint,
                                          [this](ConnectionPointer connection, Request request) {
                                              return this->handle(std::move(connection), std::move(request));
                                          }))
    , random(std::hash<std::string>()(this->id))
{
    this->apply(behaviourValue);
}

const Behaviour &UpstreamServer::currentBehaviour() const
{
    return this->behaviour;
}

void UpstreamServer::apply(const Behaviour &newBehaviour)
{
    this->behaviour = newBehaviour;
    this->behaviourSince = monotonicNow();
    this->server->limits = {.connections = newBehaviour.connectionLimit,
                            .connectTime = std::chrono::milliseconds(newBehaviour.connectMs)};
    this->server->refuse(newBehaviour.refuse);
}

void UpstreamServer::restart()
{
    this->started = monotonicNow();
    this->server->closeConnections();
}

nlohmann::json UpstreamServer::state() const
{
    return {{"behaviour", this->behaviour},
            {"executions", this->executions},
            {"probes", this->probes},
            {"shed", this->shed},
            {"late", this->late},
            {"cancelled", this->cancelled},
            {"busy", this->busy},
            {"queued", this->queue.size()},
            {"connections", this->server->connectionCount()},
            {"peakConnections", this->server->peakConnectionCount()}};
}

asio::awaitable<void> UpstreamServer::handle(ConnectionPointer connection, Request request)
{
    const std::string target = request.target();
    if (target == "/health") {
        co_await this->probe(connection);
    } else if (target == "/load") {
        const double truth
            = double(this->busy + this->queue.size()) / double(std::max<std::uint64_t>(this->behaviour.slots, 1));
        auto response = this->head(http::status::ok);
        response.body() = Json(this->behaviour.loadAnswer < 0 ? truth : this->behaviour.loadAnswer).dump();
        co_await connection->write(std::move(response));
    } else {
        co_await this->work(connection, std::move(request));
    }
}

asio::awaitable<void> UpstreamServer::probe(ConnectionPointer connection)
{
    ++this->probes;
    if (co_await this->acquireSlot(connection, monotonicNow() + LongTime)) {
        co_await connection->pause(std::chrono::milliseconds(this->behaviour.probeMs));
        this->releaseSlot();
    }
    const bool down = this->behaviour.healthAnswer == "down"
                      || (this->behaviour.healthAnswer == "auto" && this->behaviour.draining);
    co_await connection->write(this->head(down ? http::status::service_unavailable : http::status::ok));
}

asio::awaitable<void> UpstreamServer::work(ConnectionPointer connection, Request request)
{
    auto &arrival
        = this->arrivals.emplace_back(Arrival{.upstream = this->id,
                                              .requestId = header(request, headersOf(this->behaviour).requestId),
                                              .atUs = unixMicroseconds()});
    if (auto repeated = std::exchange(connection->repeatedAnswer, std::nullopt)) {
        co_await connection->write(std::move(*repeated));
    }
    const auto deadline = deadlineOf(request, this->behaviour);
    const bool full = this->busy >= this->behaviour.slots && this->queue.size() >= this->behaviour.queueLimit;
    const auto expected = header(request, "Verbenadock-Expect-Instance");
    if (this->behaviour.platform && !expected.empty() && expected != this->id) {
        co_await this->refuse(
            connection, this->notRun(request, "other-instance", http::status::misdirected_request), arrival);
    } else if (this->behaviour.refuseWork) {
        co_await this->refuse(connection, this->notRun(request, "draining"), arrival);
    } else if (full || this->happens(this->behaviour.shedRate)) {
        ++this->shed;
        co_await this->refuse(connection, this->notRun(request, "overloaded"), arrival);
    } else if (co_await this->acquireSlot(connection, deadline)) {
        co_await this->runInSlot(connection, request, arrival);
    } else if (connection->isClosed()) {
        ++this->cancelled;
    } else {
        ++this->late;
        co_await this->refuse(connection, this->notRun(request, "deadline"), arrival);
    }
}

asio::awaitable<void> UpstreamServer::refuse(ConnectionPointer connection, Response refusal, Arrival &arrival)
{
    if (this->happens(this->behaviour.anonymousRefusalRate)) {
        refusal.erase(headersOf(this->behaviour).requestId);
    }
    if (this->happens(this->behaviour.repeatRefusalRate)) {
        connection->repeatedAnswer = refusal;
    }
    noteAnswer(arrival, refusal);
    co_await connection->write(std::move(refusal));
}

void UpstreamServer::noteAnswer(Arrival &arrival, const Response &response)
{
    arrival.answeredUs = unixMicroseconds();
    arrival.saidLeaving = response["Server-Leaving"] == "1";
    arrival.askedPause = std::string(response[http::field::retry_after]);
}

asio::awaitable<void> UpstreamServer::runInSlot(ConnectionPointer connection, const Request &request, Arrival &arrival)
{
    auto &execution = this->record(request);
    const bool gray = this->grayNow(execution.target);
    if (gray && this->happens(this->behaviour.hangRate)) {
        execution.outcome = "hung";
        co_await connection->pause(LongTime);
        this->releaseSlot();
        co_return;
    }
    const bool stillOpen = co_await connection->pause(this->workTime(execution.target));
    this->releaseSlot();
    if (!stillOpen) {
        ++this->cancelled;
        execution.outcome = "cancelled";
        co_return;
    }
    const bool fails = gray && this->happens(this->behaviour.failRate);
    execution.outcome = fails ? "failed" : "completed";
    auto response = fails ? this->head(http::status::internal_server_error) : this->success(request, execution);
    this->mark(response, request);
    if (gray && this->behaviour.lateMs > 0) {
        co_await connection->pause(std::chrono::milliseconds(this->behaviour.lateMs));
    }
    noteAnswer(arrival, response);
    co_await this->answer(connection, std::move(response), execution);
}

asio::awaitable<void> UpstreamServer::answer(ConnectionPointer connection, Response response, Execution &execution)
{
    const bool gray = this->grayNow(execution.target);
    if (gray && this->happens(this->behaviour.truncateRate)) {
        execution.outcome = "truncated";
        co_await connection->writeTruncated(std::move(response));
    } else if (gray && this->happens(this->behaviour.crossRate)) {
        execution.outcome = "crossed";
        co_await this->answerCrossed(connection, std::move(response));
    } else {
        co_await connection->write(std::move(response));
    }
}

asio::awaitable<void> UpstreamServer::answerCrossed(ConnectionPointer connection, Response response)
{
    const auto own = std::make_shared<Crossing>();
    own->connection = connection;
    own->response = std::move(response);
    const auto other = std::exchange(this->crossing, nullptr);
    if (other) {
        std::swap(own->response, other->response);
        other->swapped = true;
        other->connection->wake();
    } else {
        this->crossing = own;
        co_await connection->pause(CrossingWait);
        if (!own->swapped) {
            this->crossing.reset();
        }
    }
    co_await connection->write(std::move(own->response));
}

asio::awaitable<bool> UpstreamServer::acquireSlot(ConnectionPointer connection, TimePoint deadline)
{
    if (deadline <= monotonicNow()) {
        co_return false;
    }
    if (this->busy < this->behaviour.slots) {
        ++this->busy;
        co_return true;
    }
    const auto waiter = std::make_shared<Waiter>();
    waiter->connection = connection;
    this->queue.push_back(waiter);
    co_await connection->pause(std::chrono::duration_cast<Duration>(deadline - monotonicNow()));
    if (!waiter->granted) {
        std::erase(this->queue, waiter);
        co_return false;
    }
    if (connection->isClosed() || deadline <= monotonicNow()) {
        this->releaseSlot();
        co_return false;
    }
    co_return true;
}

void UpstreamServer::releaseSlot()
{
    --this->busy;
    while (this->busy < this->behaviour.slots && !this->queue.empty()) {
        const auto waiter = this->queue.front();
        this->queue.pop_front();
        waiter->granted = true;
        ++this->busy;
        waiter->connection->wake();
    }
}

Response UpstreamServer::head(http::status status) const
{
    Response response(status, 11);
    response.set("X-Upstream-Id", this->id);
    if (this->behaviour.draining) {
        response.set(headersOf(this->behaviour).leaving,
                     this->behaviour.platform ? this->behaviour.leavingValue : "true");
    }
    return response;
}

void UpstreamServer::mark(Response &response, const Request &request) const
{
    if (this->behaviour.platform) {
        response.set(PlatformHeaders.requestId, header(request, PlatformHeaders.requestId));
        response.set("Verbenadock-Server-Seal", this->id + "." + hashOf(response.body()));
    } else if (this->behaviour.echoAttemptId) {
        response.set("X-Attempt-Id", header(request, "X-Attempt-Id"));
    }
}

Response UpstreamServer::notRun(const Request &request, const std::string &reason, http::status status)
{
    auto response = this->head(status);
    this->mark(response, request);
    response.set(headersOf(this->behaviour).notRun, "true");
    if (status == http::status::service_unavailable && !this->behaviour.retryAfter.empty()) {
        response.set(http::field::retry_after, this->behaviour.retryAfter);
    }
    response.body() = reason + "\n";
    return response;
}

/// The body repeats the request's keys, so that a caller can tell its own answer from another one's.
Response UpstreamServer::success(const Request &request, const Execution &execution) const
{
    const std::string target = request.target();
    Json body = {{"upstream", this->id},
                 {"requestId", execution.requestId},
                 {"workId", execution.workId},
                 {"target", target},
                 {"bytes", execution.bytes},
                 {"hash", execution.hash}};
    if (const auto size = queryNumber(target, "size"); size > 0) {
        body["padding"] = std::string(size, 'x');
    }
    auto response = this->head(http::status::ok);
    response.set(http::field::content_type, "application/json");
    response.chunked(queryNumber(target, "chunked") > 0);
    response.body() = body.dump();
    return response;
}

Execution &UpstreamServer::record(const Request &request)
{
    ++this->executions;
    return this->log.emplace_back(Execution{.upstream = this->id,
                                            .requestId = header(request, headersOf(this->behaviour).requestId),
                                            .attemptId = header(request, "X-Attempt-Id"),
                                            .workId = header(request, "X-Work-Id"),
                                            .customer = header(request, "Verbenadock-Tenant"),
                                            .authorization = header(request, "Authorization"),
                                            .method = request.method_string(),
                                            .target = request.target(),
                                            .startedUs = unixMicroseconds(),
                                            .whileDraining = this->behaviour.draining,
                                            .bytes = request.body().size(),
                                            .hash = hashOf(request.body())});
}

Duration UpstreamServer::workTime(const std::string &target)
{
    double milliseconds = double(this->behaviour.serviceMs);
    const double age = toMilliseconds(std::chrono::duration_cast<Duration>(monotonicNow() - this->started));
    const double coldTime = double(this->behaviour.coldStartMs);
    if (age < coldTime) {
        milliseconds *= 1 + (this->behaviour.coldFactor - 1) * (1 - age / coldTime);
    }
    if (this->grayNow(target)) {
        milliseconds *= this->behaviour.slowFactor;
    }
    return Duration(std::int64_t(milliseconds * 1000));
}

bool UpstreamServer::grayNow(const std::string &target) const
{
    if (target.find(this->behaviour.onlyTargets) == std::string::npos) {
        return false;
    }
    if (this->behaviour.flapMs <= 0) {
        return true;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - this->behaviourSince);
    return age.count() / this->behaviour.flapMs % 2 == 0;
}

bool UpstreamServer::happens(double rate)
{
    return rate > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < rate;
}

} // namespace Verbenadock::Standins
