// Stand-in for the platform's load balancer: spreads callers' connections over the entries whose /ready succeeds.

#include "common/program.h"
#include "common/relay.h"
#include "verbenadock/net/error.h"
#include "verbenadock/net/httpclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Standins;

namespace {

constexpr auto Usage = R"(Usage: standin-balancer --listen=ENDPOINT --control=ENDPOINT [--check-ms=MS] ENTRY...

ENTRY is LISTEN,ADMIN: where the entry accepts callers, and its administration port.

Options:
  --check-ms=MS  Time between two checks of /ready [default: 200].

Control port: GET /state.
)";

struct Entry
{
    Endpoint listen;
    Endpoint admin;
    bool ready = false;
    std::uint64_t connections = 0;
};

class Balancer
{
public:
    Balancer(asio::io_context &contextValue, const Arguments &arguments)
        : context(contextValue)
        , acceptor(listenOn(contextValue, parseEndpoint(arguments.at("--listen").asString())))
        , checkInterval(std::chrono::milliseconds(arguments.at("--check-ms").asLong()))
    {
        for (const auto &text : arguments.at("ENTRY").asStringList()) {
            const auto comma = text.find(',');
            this->entries.push_back(
                {.listen = parseEndpoint(text.substr(0, comma)), .admin = parseEndpoint(text.substr(comma + 1))});
        }
        for (auto &entry : this->entries) {
            asio::co_spawn(this->context, this->check(entry), asio::detached);
        }
        asio::co_spawn(this->context, this->accept(), asio::detached);
        this->controlServer = serveControl(this->context,
                                           parseEndpoint(arguments.at("--control").asString()),
                                           [this](const std::string &, const std::string &, const Json &) {
                                               return this->state();
                                           });
    }

private:
    Json state() const
    {
        auto json = Json::array();
        for (const auto &entry : this->entries) {
            json.push_back(
                {{"listen", toString(entry.listen)}, {"ready", entry.ready}, {"connections", entry.connections}});
        }
        return {{"entries", json}};
    }

    asio::awaitable<void> check(Entry &entry)
    {
        while (true) {
            Net::HttpRequest request;
            request.target = "/ready";
            try {
                const auto answer = co_await Net::fetch(entry.admin, request, std::chrono::seconds(1));
                entry.ready = answer.status == 200;
            } catch (const Net::NetError &) {
                entry.ready = false;
            }
            asio::steady_timer timer(this->context, this->checkInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::awaitable<void> accept()
    {
        while (true) {
            auto client = co_await this->acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(this->context, this->connect(std::move(client)), asio::detached);
        }
    }

    /// Round robin over the ready entries; a connection that an entry refuses goes to the next one.
    asio::awaitable<void> connect(Tcp::socket client)
    {
        for (std::size_t attempt = 0; attempt < this->entries.size(); ++attempt) {
            auto &entry = this->entries[this->turn++ % this->entries.size()];
            if (!entry.ready) {
                continue;
            }
            Tcp::socket target(this->context);
            boost::system::error_code error;
            co_await target.async_connect(toAsio(entry.listen), asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                continue;
            }
            ++entry.connections;
            const auto relay = std::make_shared<Relay>(std::move(client), std::move(target), std::make_shared<Path>());
            co_await relay->run();
            co_return;
        }
    }

    asio::io_context &context;
    Tcp::acceptor acceptor;
    Duration checkInterval;
    std::vector<Entry> entries;
    std::size_t turn = 0;
    std::shared_ptr<HttpServer> controlServer;
};

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, Usage, [](asio::io_context &context, const Arguments &arguments) {
        return std::make_shared<Balancer>(context, arguments);
    });
}
