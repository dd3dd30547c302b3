// Stand-in for the platform's log service (design page, section 3.4).

#include "common/program.h"

#include <deque>
#include <regex>

using namespace Verbenadock;
using namespace Verbenadock::Standins;

namespace {

constexpr auto Usage = R"(Usage: standin-log --listen=ENDPOINT --control=ENDPOINT

Control port: POST /set with any of {"outage": "none"|"error"|"hang"|"refuse", "delayMs", "loseAppendAnswers" (the next
appends take effect, but the connection is closed without an answer), "retain" (records kept per stream)}; GET /state.
)";

struct Faults
{
    std::string outage = "none";
    std::int64_t delayMs = 0;
    std::uint64_t loseAppendAnswers = 0;
    std::size_t retain = 1000000;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Faults, outage, delayMs, loseAppendAnswers, retain)

struct Stream
{
    std::uint64_t first = 0;
    std::deque<std::string> records;

    std::uint64_t next() const
    {
        return this->first + this->records.size();
    }

    void trim(std::size_t retain)
    {
        while (this->records.size() > retain) {
            this->records.pop_front();
            ++this->first;
        }
    }
};

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
            for (auto &[name, stream] : this->streams) {
                stream.trim(this->faults.retain);
            }
        }
        Json state = this->faults;
        state["appends"] = this->appends;
        state["reads"] = this->reads;
        for (const auto &[name, stream] : this->streams) {
            state["streams"][name] = {{"first", stream.first}, {"next", stream.next()}};
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
            co_await connection->write(errorResponse("outage", http::status::service_unavailable));
            co_return;
        }
        auto response = this->answer(request);
        if (request.method() == http::verb::post && this->faults.loseAppendAnswers > 0) {
            --this->faults.loseAppendAnswers;
            connection->close();
            co_return;
        }
        co_await connection->write(std::move(response));
    }

    Response answer(const Request &request)
    {
        static const std::regex Pattern(R"(/streams/([A-Za-z0-9._-]+)/records(?:\?from=(\d+)&limit=(\d+))?)");
        const std::string target = request.target();
        std::smatch match;
        if (!std::regex_match(target, match, Pattern)) {
            return errorResponse("no such page", http::status::not_found);
        }
        auto &stream = this->streams[match[1]];
        if (request.method() == http::verb::post) {
            return this->append(stream, request.body());
        }
        return match[2].matched ? this->read(stream, std::stoull(match[2]), std::stoull(match[3]))
                                : errorResponse("from and limit are missing", http::status::bad_request);
    }

    Response append(Stream &stream, const std::string &data)
    {
        const auto offset = stream.next();
        stream.records.push_back(data);
        stream.trim(this->faults.retain);
        ++this->appends;
        return jsonResponse({{"offset", offset}});
    }

    Response read(const Stream &stream, std::uint64_t from, std::uint64_t limit)
    {
        ++this->reads;
        auto records = Json::array();
        for (auto offset = std::max(from, stream.first); offset < stream.next() && records.size() < limit; ++offset) {
            records.push_back({{"offset", offset}, {"data", stream.records[offset - stream.first]}});
        }
        return jsonResponse({{"first", stream.first}, {"next", stream.next()}, {"records", records}});
    }

    Faults faults;
    std::map<std::string, Stream> streams;
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
