#ifndef VERBENADOCK_TEST_STANDINS_PROGRAM_H
#define VERBENADOCK_TEST_STANDINS_PROGRAM_H

#include "common/httpserver.h"

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

namespace Verbenadock::Standins {

using Json = nlohmann::json;
using Arguments = std::map<std::string, docopt::value>;

/// Answers one request of the control port; what it throws is answered with 400.
using ControlHandler = std::function<Json(const std::string &method, const std::string &path, const Json &body)>;

/// Answers with the JSON value.
Response jsonResponse(const Json &json, http::status status = http::status::ok);

/// The same for {"error": text}. g++ 12 cannot compile the braces of a JSON value inside a co_await expression.
Response errorResponse(const std::string &text, http::status status);

/// Serves the control port of a stand-in.
std::shared_ptr<HttpServer> serveControl(asio::io_context &context, const Endpoint &endpoint, ControlHandler handler);

/// Splits "NAME=VALUE"; throws Error without "=".
std::pair<std::string, std::string> splitAssignment(const std::string &text);

/// Takes the keys of the patch into a value type with JSON conversions; throws Error for unknown keys.
template<typename Value>
Value patched(const Value &value, const Json &patch)
{
    Json json = value;
    for (const auto &[key, unused] : patch.items()) {
        if (!json.contains(key)) {
            throw std::runtime_error("unknown key '" + key + "'");
        }
    }
    json.update(patch);
    return json.get<Value>();
}

/// Runs the stand-in until SIGTERM or SIGINT. `start` sets up the servers and returns what has to live as long.
int runProgram(int argc,
               char **argv,
               const char *usage,
               const std::function<std::shared_ptr<void>(asio::io_context &, const Arguments &)> &start);

} // namespace Verbenadock::Standins

#endif
