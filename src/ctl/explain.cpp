#include "commands.h"
#include "verbenadock/net/error.h"
#include "verbenadock/net/httpclient.h"
#include "verbenadock/net/query.h"

#include <chrono>
#include <iomanip>
#include <sstream>

namespace Verbenadock::Ctl {

namespace {

using nlohmann::json;

constexpr auto Timeout = std::chrono::seconds(3);
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;

Net::HttpRequest makeRequest(const Core::RouteQuery &query)
{
    Net::HttpRequest request;
    request.target = "/explain?host=" + Net::percentEncode(query.host) + "&path=" + Net::percentEncode(query.path)
                     + "&method=" + Net::percentEncode(query.method);
    if (query.customer) {
        request.target += "&customer=" + Net::percentEncode(*query.customer);
    }
    return request;
}

json ask(const std::string &endpoint, const Core::RouteQuery &query)
{
    Endpoint parsed;
    try {
        parsed = parseEndpoint(endpoint);
    } catch (const Error &error) {
        throw CtlError(ExitStatus::InvalidInput, error.what());
    }
    try {
        const auto response = Net::fetchBlocking(parsed, makeRequest(query), Timeout);
        auto answer = json::parse(response.body, nullptr, false);
        if (response.status == StatusOk && answer.is_object()) {
            return answer;
        }
        if (response.status == StatusBadRequest && answer.is_object()) {
            throw CtlError(ExitStatus::InvalidInput, answer.value("error", "the entry refused the query"));
        }
        throw CtlError(ExitStatus::Unavailable, endpoint + " answered " + std::to_string(response.status));
    } catch (const Net::NetError &error) {
        throw CtlError(ExitStatus::Unavailable, endpoint + " is unreachable: " + error.what());
    }
}

std::string outcome(const json &part)
{
    const auto &rejection = part.at("rejection");
    return part.at("decision").get<std::string>()
           + (rejection.is_null() ? std::string() : " (" + rejection.get<std::string>() + ")");
}

void print(std::ostream &out, const json &service)
{
    out << "service   " << service.at("service").get<std::string>() << ", weight " << service.at("weight_percent")
        << "%: " << outcome(service) << ", " << service.at("queued") << " queued\n";
    for (const auto &upstream : service.at("upstreams")) {
        const auto &reason = upstream.at("reason");
        out << "  " << std::setw(5) << upstream.at("share_percent").get<double>() << "%  "
            << upstream.at("id").get<std::string>() << "  data centre " << upstream.at("data_centre").get<std::string>()
            << ", " << upstream.at("slots") << " slots, " << upstream.at("in_flight") << " + "
            << upstream.at("in_flight_of_others") << " requests, load " << upstream.at("load_percent") << "%"
            << (reason.is_null() ? std::string() : ": " + reason.get<std::string>()) << '\n';
    }
}

std::string describe(const json &answer)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << "decision  " << outcome(answer) << '\n';
    if (answer.contains("route")) {
        const auto &route = answer.at("route");
        out << "route     " << route.at("method").get<std::string>() << ' ' << route.at("host").get<std::string>()
            << route.at("path_prefix").get<std::string>() << " of " << answer.at("bundle").get<std::string>()
            << (route.at("idempotent").get<bool>() ? ", idempotent" : "")
            << (route.at("public").get<bool>() ? ", public" : "") << '\n';
    }
    if (answer.value("customer_known", json()) == json(false)) {
        out << "customer  not in the configuration\n";
    }
    for (const auto &service : answer.value("services", json::array())) {
        print(out, service);
    }
    return out.str();
}

} // namespace

Output explain(const std::string &endpoint, const Core::RouteQuery &query)
{
    const auto answer = ask(endpoint, query);
    try {
        const bool isSent = answer.at("decision") == "sent";
        return {.text = describe(answer), .data = answer, .status = isSent ? ExitStatus::Ok : ExitStatus::NoChoice};
    } catch (const json::exception &error) {
        throw CtlError(ExitStatus::Unavailable, endpoint + " sent an unexpected answer: " + error.what());
    }
}

} // namespace Verbenadock::Ctl
