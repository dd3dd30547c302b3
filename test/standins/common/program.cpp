#include "common/program.h"

#include "verbenadock/base/error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace Verbenadock::Standins {

Response jsonResponse(const Json &json, http::status status)
{
    Response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = json.dump();
    return response;
}

Response errorResponse(const std::string &text, http::status status)
{
    return jsonResponse({{"error", text}}, status);
}

std::shared_ptr<HttpServer> serveControl(asio::io_context &context, const Endpoint &endpoint, ControlHandler handler)
{
    const auto answer = [handler](const Request &request) {
        try {
            const auto body = request.body().empty() ? Json::object() : Json::parse(request.body());
            return jsonResponse(handler(request.method_string(), request.target(), body));
        } catch (const std::exception &error) {
            return errorResponse(error.what(), http::status::bad_request);
        }
    };
    const auto serve = [answer](ConnectionPointer connection, Request request) -> asio::awaitable<void> {
        co_await connection->write(answer(request));
    };
    auto server = std::make_shared<HttpServer>(context, endpoint, serve);
    server->refuse(false);
    return server;
}

std::pair<std::string, std::string> splitAssignment(const std::string &text)
{
    const auto position = text.find('=');
    if (position == std::string::npos) {
        throw Error("'" + text + "' is not NAME=VALUE");
    }
    return {text.substr(0, position), text.substr(position + 1)};
}

int runProgram(int argc,
               char **argv,
               const char *usage,
               const std::function<std::shared_ptr<void>(asio::io_context &, const Arguments &)> &start)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    try {
        asio::io_context context;
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](const boost::system::error_code &, int) {
            context.stop();
        });
        const auto running = start(context, arguments);
        context.run();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << argv[0] << ": " << error.what() << "\n";
        return 1;
    }
}

} // namespace Verbenadock::Standins
