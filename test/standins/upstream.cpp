// Stand-in for upstreams (design page, section 3.6); one process holds many.

#include "common/program.h"
#include "common/upstreamserver.h"

using namespace Verbenadock;
using namespace Verbenadock::Standins;

namespace {

constexpr auto Usage = R"(Usage: standin-upstream --control=ENDPOINT [--behaviour=JSON] UPSTREAM...

UPSTREAM is ID=ADDRESS:PORT. The keys of behaviours are in common/behaviour.h.
Answers repeat the request's keys as JSON; ?size=N pads an answer by N bytes, &chunked=1 sends it in chunks.

Options:
  --behaviour=JSON  Behaviour of all upstreams at the start [default: {}].

Control port: POST /set with {"upstreams": [ids, all when missing], "behaviour": {...}} changes the named keys;
POST /restart with {"upstreams": [...]} closes connections and starts cold; GET /state; GET /executions;
GET /arrivals (requests that reached an upstream, run or not); GET /doubles (runs per X-Work-Id that ran more than once).
)";

class Upstreams
{
public:
    Upstreams(asio::io_context &context, const Arguments &arguments)
    {
        const auto behaviour = patched(Behaviour(), Json::parse(arguments.at("--behaviour").asString()));
        for (const auto &text : arguments.at("UPSTREAM").asStringList()) {
            const auto [id, endpoint] = splitAssignment(text);
            this->servers[id] = std::make_unique<UpstreamServer>(
                context, id, parseEndpoint(endpoint), behaviour, this->log, this->arrivals);
        }
        this->controlServer = serveControl(context,
                                           parseEndpoint(arguments.at("--control").asString()),
                                           [this](const std::string &, const std::string &path, const Json &body) {
                                               return this->control(path, body);
                                           });
    }

private:
    Json control(const std::string &path, const Json &body)
    {
        if (path == "/executions") {
            return this->log;
        }
        if (path == "/arrivals") {
            return this->arrivals;
        }
        if (path == "/doubles") {
            return this->doubles();
        }
        for (auto *server : this->select(body)) {
            if (path == "/set") {
                server->apply(patched(server->currentBehaviour(), body.at("behaviour")));
            } else if (path == "/restart") {
                server->restart();
            }
        }
        return this->state();
    }

    std::vector<UpstreamServer *> select(const Json &body) const
    {
        std::vector<UpstreamServer *> selected;
        for (const auto &[id, server] : this->servers) {
            if (!body.contains("upstreams")) {
                selected.push_back(server.get());
            }
        }
        for (const auto &id : body.value("upstreams", std::vector<std::string>())) {
            selected.push_back(this->servers.at(id).get());
        }
        return selected;
    }

    Json doubles() const
    {
        std::map<std::string, std::uint64_t> runs;
        for (const auto &execution : this->log) {
            ++runs[execution.workId];
        }
        std::erase_if(runs, [](const auto &entry) {
            return entry.first.empty() || entry.second < 2;
        });
        return runs;
    }

    Json state() const
    {
        auto json = Json::object();
        for (const auto &[id, server] : this->servers) {
            json[id] = server->state();
        }
        return json;
    }

    ExecutionLog log;
    ArrivalLog arrivals;
    std::map<std::string, std::unique_ptr<UpstreamServer>> servers;
    std::shared_ptr<HttpServer> controlServer;
};

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, Usage, [](asio::io_context &context, const Arguments &arguments) {
        return std::make_shared<Upstreams>(context, arguments);
    });
}
