// TCP proxy between parts of a fleet, whose routes fail on demand.

#include "common/program.h"
#include "common/relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Standins;

namespace {

constexpr auto Usage = R"(Usage: standin-faultproxy --control=ENDPOINT [ROUTE...]

ROUTE is NAME=LISTEN,TARGET.
Control port: POST /routes with {"route": "NAME=LISTEN,TARGET"} adds a route; POST /set with {"routes": [names], all
routes when missing} and any of {"cutToTarget", "cutToClient", "freeze" (both directions), "delayMs", "refuse"};
POST /reset resets the open connections of the routes; POST /silence makes them go silent for good while new ones
work; GET /state.
)";

struct Faults
{
    bool cutToTarget = false;
    bool cutToClient = false;
    bool freeze = false;
    bool refuse = false;
    std::int64_t delayMs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Faults, cutToTarget, cutToClient, freeze, refuse, delayMs)

class Route : public std::enable_shared_from_this<Route>
{
public:
    Route(asio::io_context &contextValue, Endpoint listenValue, Endpoint targetValue)
        : context(contextValue)
        , listen(std::move(listenValue))
        , target(std::move(targetValue))
    {
    }

    void apply(const Faults &newFaults)
    {
        this->faults = newFaults;
        this->path->cutToTarget = newFaults.cutToTarget || newFaults.freeze;
        this->path->cutToClient = newFaults.cutToClient || newFaults.freeze;
        this->path->delayMs = newFaults.delayMs;
        if (newFaults.refuse) {
            this->acceptor.reset();
        } else if (!this->acceptor) {
            this->acceptor = listenOn(this->context, this->listen);
            asio::co_spawn(this->context, this->accept(++this->acceptGeneration), asio::detached);
        }
    }

    void forEachRelay(void (Relay::*operation)())
    {
        const auto current = this->relays;
        for (const auto &relay : current) {
            (relay.get()->*operation)();
        }
    }

    const Faults &currentFaults() const
    {
        return this->faults;
    }

    Json state() const
    {
        Json json = this->faults;
        json["connections"] = this->relays.size();
        json["accepted"] = this->accepted;
        return json;
    }

private:
    asio::awaitable<void> accept(std::uint64_t generation)
    {
        const auto self = this->shared_from_this();
        while (this->acceptor && generation == this->acceptGeneration) {
            boost::system::error_code error;
            auto client = co_await this->acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (!error) {
                ++this->accepted;
                asio::co_spawn(this->context, this->connect(std::move(client)), asio::detached);
            }
        }
    }

    asio::awaitable<void> connect(Tcp::socket client)
    {
        const auto self = this->shared_from_this();
        Tcp::socket socket(this->context);
        boost::system::error_code error;
        co_await socket.async_connect(toAsio(this->target), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            client.set_option(Tcp::socket::linger(true, 0));
            co_return;
        }
        const auto relay = std::make_shared<Relay>(std::move(client), std::move(socket), this->path);
        this->relays.insert(relay);
        co_await relay->run();
        this->relays.erase(relay);
    }

    asio::io_context &context;
    Endpoint listen;
    Endpoint target;
    Faults faults;
    std::shared_ptr<Path> path = std::make_shared<Path>();
    std::optional<Tcp::acceptor> acceptor;
    std::uint64_t acceptGeneration = 0;
    std::uint64_t accepted = 0;
    std::set<std::shared_ptr<Relay>> relays;
};

class FaultProxy
{
public:
    FaultProxy(asio::io_context &contextValue, const Arguments &arguments)
        : context(contextValue)
    {
        for (const auto &route : arguments.at("ROUTE").asStringList()) {
            this->add(route);
        }
        this->controlServer = serveControl(contextValue,
                                           parseEndpoint(arguments.at("--control").asString()),
                                           [this](const std::string &, const std::string &path, const Json &body) {
                                               return this->configure(path, body);
                                           });
    }

private:
    void add(const std::string &text)
    {
        const auto [name, ends] = splitAssignment(text);
        const auto comma = ends.find(',');
        const auto route = std::make_shared<Route>(
            this->context, parseEndpoint(ends.substr(0, comma)), parseEndpoint(ends.substr(comma + 1)));
        route->apply({});
        this->routes[name] = route;
    }

    std::vector<std::shared_ptr<Route>> select(const Json &body) const
    {
        std::vector<std::shared_ptr<Route>> selected;
        for (const auto &[name, route] : this->routes) {
            if (!body.contains("routes")) {
                selected.push_back(route);
            }
        }
        for (const auto &name : body.value("routes", std::vector<std::string>())) {
            selected.push_back(this->routes.at(name));
        }
        return selected;
    }

    Json configure(const std::string &path, const Json &body)
    {
        if (path == "/routes") {
            this->add(body.at("route"));
        }
        Json patch = body;
        patch.erase("routes");
        for (const auto &route : this->select(body)) {
            if (path == "/set") {
                route->apply(patched(route->currentFaults(), patch));
            } else if (path == "/reset") {
                route->forEachRelay(&Relay::reset);
            } else if (path == "/silence") {
                route->forEachRelay(&Relay::silence);
            }
        }
        auto state = Json::object();
        for (const auto &[name, route] : this->routes) {
            state[name] = route->state();
        }
        return state;
    }

    asio::io_context &context;
    std::map<std::string, std::shared_ptr<Route>> routes;
    std::shared_ptr<HttpServer> controlServer;
};

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, Usage, [](asio::io_context &context, const Arguments &arguments) {
        return std::make_shared<FaultProxy>(context, arguments);
    });
}
