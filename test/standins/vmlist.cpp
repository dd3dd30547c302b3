// Stand-in for the platform's VM list (design page, section 3.5).

#include "common/program.h"

#include <deque>

using namespace Verbenadock;
using namespace Verbenadock::Standins;

namespace {

constexpr auto Usage = R"(Usage: standin-vmlist --listen=ENDPOINT --control=ENDPOINT

Control port: POST /vms with {"vms": [...]} replaces the list, visible after the lag; POST /set with any of
{"lagMs", "outage": "none"|"error"|"hang"|"refuse"}; GET /state.
)";

struct Faults
{
    std::int64_t lagMs = 0;
    std::string outage = "none";
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Faults, lagMs, outage)

struct Change
{
    TimePoint visibleAt;
    Json vms;
};

class VmList
{
public:
    VmList(asio::io_context &context, const Endpoint &listen, const Endpoint &control)
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
        if (path == "/vms") {
            const auto visibleAt = monotonicNow() + std::chrono::milliseconds(this->faults.lagMs);
            this->changes.push_back({.visibleAt = visibleAt, .vms = body.at("vms")});
        } else if (path == "/set") {
            this->faults = patched(this->faults, body);
            this->server->refuse(this->faults.outage == "refuse");
        }
        this->applyChanges();
        Json state = this->faults;
        state["vms"] = this->vms;
        state["pendingChanges"] = this->changes.size();
        return state;
    }

    void applyChanges()
    {
        while (!this->changes.empty() && this->changes.front().visibleAt <= monotonicNow()) {
            this->vms = std::move(this->changes.front().vms);
            this->changes.pop_front();
        }
    }

    Response answer() const
    {
        return jsonResponse({{"vms", this->vms}});
    }

    asio::awaitable<void> handle(ConnectionPointer connection, Request request)
    {
        this->applyChanges();
        if (this->faults.outage == "hang") {
            co_await connection->pause(std::chrono::hours(24));
        } else if (this->faults.outage == "error") {
            co_await connection->write(errorResponse("outage", http::status::service_unavailable));
        } else if (request.target() != "/vms") {
            co_await connection->write(errorResponse("no such page", http::status::not_found));
        } else {
            co_await connection->write(this->answer());
        }
    }

    Faults faults;
    Json vms = Json::array();
    std::deque<Change> changes;
    std::shared_ptr<HttpServer> server;
    std::shared_ptr<HttpServer> controlServer;
};

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, Usage, [](asio::io_context &context, const Arguments &arguments) {
        return std::make_shared<VmList>(context,
                                        parseEndpoint(arguments.at("--listen").asString()),
                                        parseEndpoint(arguments.at("--control").asString()));
    });
}
