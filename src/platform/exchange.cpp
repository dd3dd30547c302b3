#include "exchange.h"

#include "verbenadock/net/error.h"

namespace Verbenadock::Platform::internal {

namespace {

const Json &requireKey(const Json &json, const std::string &key)
{
    const auto found = json.find(key);
    if (found == json.end()) {
        throw PlatformError("the answer has no '" + key + "'");
    }
    return *found;
}

Json parseAnswer(const Net::HttpResponse &response)
{
    constexpr unsigned Ok = 200;
    if (response.status != Ok) {
        throw PlatformError("status " + std::to_string(response.status));
    }
    auto json = Json::parse(response.body, nullptr, false);
    if (json.is_discarded()) {
        throw PlatformError("the answer is not JSON");
    }
    requireObject(json, "answer");
    return json;
}

} // namespace

boost::asio::awaitable<Json> exchange(Endpoint service, Net::HttpRequest request, Duration timeout)
{
    try {
        const auto response = co_await Net::fetch(std::move(service), std::move(request), timeout);
        co_return parseAnswer(response);
    } catch (const Net::NetError &error) {
        throw PlatformError(error.what());
    }
}

void requireObject(const Json &json, const std::string &what)
{
    if (!json.is_object()) {
        throw PlatformError("the " + what + " is not a JSON object");
    }
}

std::uint64_t requireNumber(const Json &json, const std::string &key)
{
    const auto &value = requireKey(json, key);
    if (!value.is_number_unsigned()) {
        throw PlatformError("'" + key + "' is not a number from 0");
    }
    return value.get<std::uint64_t>();
}

std::string requireString(const Json &json, const std::string &key)
{
    const auto &value = requireKey(json, key);
    if (!value.is_string()) {
        throw PlatformError("'" + key + "' is not a string");
    }
    return value.get<std::string>();
}

const Json &requireArray(const Json &json, const std::string &key)
{
    const auto &value = requireKey(json, key);
    if (!value.is_array()) {
        throw PlatformError("'" + key + "' is not an array");
    }
    return value;
}

} // namespace Verbenadock::Platform::internal
