// Stand-in for the platform's store: topics with partitions, appends under a condition and by a producer, reads that
// wait, the newest record of each key.

#include "common/program.h"
#include "common/storetopics.h"

using namespace Verbenadock;
using namespace Verbenadock::Standins;

namespace {

constexpr auto Usage = R"(Usage: standin-log --listen=ENDPOINT --control=ENDPOINT

Control port: POST /set with any of {"outage": "none"|"error"|"hang"|"refuse", "delayMs", "loseAppendAnswers" (the next
appends take effect, but the connection is closed without an answer), "retain" (records kept per partition),
"writesPerS", "readsPerS" (calls beyond get 429)}; POST /copy keeps a copy of all records; POST /restore brings it back;
GET /state.

All answers carry Store-Era, which rises by one with each restored copy.
)";

struct Faults
{
    std::string outage = "none";
    std::int64_t delayMs = 0;
    std::uint64_t loseAppendAnswers = 0;
    std::size_t retain = 1000000;
    std::uint64_t writesPerS = 1000000;
    std::uint64_t readsPerS = 1000000;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Faults, outage, delayMs, loseAppendAnswers, retain, writesPerS, readsPerS)

class LogService
{
public:
    LogService(asio::io_context &context, const Endpoint &listen, const Endpoint &control)
        : server(std::make_shared<HttpServer>(context,
                                              listen,
                                              [this](ConnectionPointer connection, Request request) {
                                                  return this->handle(std::move(connection), std::move(request));
                                              }))
        , controlServer(
              serveControl(context, control, [this](const std::string &, const std::string &path, const Json &body) {
                  return this->configure(path, body);
              }))
    {
        this->server->refuse(false);
    }

private:
    Json configure(const std::string &path, const Json &body)
    {
        if (path == "/set") {
            this->faults = patched(this->faults, body);
            this->server->refuse(this->faults.outage == "refuse");
            this->topics.retain(this->faults.retain);
        } else if (path == "/copy") {
            this->copy = this->topics;
        } else if (path == "/restore") {
            this->topics = this->copy;
            ++this->era;
        }
        Json state = this->faults;
        state["appends"] = this->appends;
        state["reads"] = this->reads;
        state["era"] = this->era;
        for (const auto &[name, extent] : this->topics.extents()) {
            state["streams"][name] = {{"first", extent.first}, {"next", extent.second}};
        }
        return state;
    }

    asio::awaitable<void> handle(ConnectionPointer connection, Request request)
    {
        co_await connection->pause(std::chrono::milliseconds(this->faults.delayMs));
        if (this->faults.outage == "hang") {
            co_await connection->pause(std::chrono::hours(24));
            co_return;
        }
        if (this->faults.outage == "error") {
            co_await this->respond(*connection, errorResponse("outage", http::status::service_unavailable));
            co_return;
        }
        const StoreQuery query(request.target());
        if (this->overLimit(query)) {
            co_await this->respond(*connection, errorResponse("over the limit", http::status::too_many_requests));
            co_return;
        }
        if (query.path() == "/v1/log-read") {
            co_await this->waitForRecords(*connection, query);
        }
        auto response = this->topics.answer(request.method_string(), query, request.body());
        ++(request.method() == http::verb::post ? this->appends : this->reads);
        if (request.method() == http::verb::post && this->faults.loseAppendAnswers > 0) {
            --this->faults.loseAppendAnswers;
            connection->close();
            co_return;
        }
        co_await this->respond(*connection, std::move(response));
    }

    asio::awaitable<void> respond(Connection &connection, Response response) const
    {
        response.set("Store-Era", std::to_string(this->era));
        co_await connection.write(std::move(response));
    }

    /// Counts the call and says whether it comes too early after the others of this second.
    bool overLimit(const StoreQuery &query)
    {
        const auto now = monotonicNow();
        if (now - this->secondSince >= std::chrono::seconds(1)) {
            this->secondSince = now;
            this->writesInSecond = 0;
            this->readsInSecond = 0;
        }
        const bool write = query.path() == "/v1/log-append" || query.path() == "/v1/log-trim";
        return write ? ++this->writesInSecond > this->faults.writesPerS
                     : ++this->readsInSecond > this->faults.readsPerS;
    }

    asio::awaitable<void> waitForRecords(Connection &connection, const StoreQuery &query)
    {
        constexpr auto Step = std::chrono::milliseconds(5);
        const auto until = monotonicNow() + std::chrono::milliseconds(query.number("waitMs").value_or(0));
        while (!this->topics.holds(query) && monotonicNow() < until) {
            if (!(co_await connection.pause(Step))) {
                co_return;
            }
        }
    }

    Faults faults;
    StoreTopics topics;
    StoreTopics copy;
    std::uint64_t era = 1;
    TimePoint secondSince{};
    std::uint64_t writesInSecond = 0;
    std::uint64_t readsInSecond = 0;
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;
    std::shared_ptr<HttpServer> server;
    std::shared_ptr<HttpServer> controlServer;
};

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, Usage, [](asio::io_context &context, const Arguments &arguments) {
        return std::make_shared<LogService>(context,
                                            parseEndpoint(arguments.at("--listen").asString()),
                                            parseEndpoint(arguments.at("--control").asString()));
    });
}
