#ifndef VERBENADOCK_PLATFORM_EXCHANGE_H
#define VERBENADOCK_PLATFORM_EXCHANGE_H

#include "verbenadock/net/httpclient.h"
#include "verbenadock/platform/logclient.h"

#include <nlohmann/json.hpp>

namespace Verbenadock::Platform::internal {

using Json = nlohmann::json;

/// Sends the request and returns the JSON object of a 200 answer. Throws PlatformError for anything else.
boost::asio::awaitable<Json> exchange(Endpoint service, Net::HttpRequest request, Duration timeout);

/// Each throws PlatformError when the value is missing or of another type.
void requireObject(const Json &json, const std::string &what);
std::uint64_t requireNumber(const Json &json, const std::string &key);
std::string requireString(const Json &json, const std::string &key);
const Json &requireArray(const Json &json, const std::string &key);

} // namespace Verbenadock::Platform::internal

#endif
