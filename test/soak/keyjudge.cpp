#include "soak/keyjudge.h"

#include "soak/customers.h"
#include "soak/versionjudge.h"

#include <algorithm>
#include <map>

namespace Verbenadock::Soak {

namespace {

using Test::Json;

bool heldOnceBy(const RunRecord &run, const std::string &key, const std::string &customer, std::int64_t untilUs)
{
    return std::ranges::any_of(run.versions, [&](const PublishedVersion &version) {
        return version.begunUnixUs <= untilUs && holderOf(key, version.version) == customer;
    });
}

/// Whether the version, or a later one that was published by then, gives the key to the customer.
bool heldSince(const RunRecord &run,
               const PublishedVersion &first,
               const std::string &key,
               const std::string &customer,
               std::int64_t untilUs)
{
    return std::ranges::any_of(run.versions, [&](const PublishedVersion &version) {
        return version.version >= first.version && version.begunUnixUs <= untilUs
               && holderOf(key, version.version) == customer;
    });
}

void judgeExecution(const RunRecord &run,
                    const CallRecord &call,
                    const Json &execution,
                    std::vector<std::string> &broken)
{
    const auto customer = execution.at("customer").get<std::string>();
    const auto startedUs = execution.at("startedUs").get<std::int64_t>();
    const auto text = call.id + " with " + (call.key.empty() ? "no key" : call.key) + " as '" + customer + "'";
    if (!execution.at("authorization").get<std::string>().empty()) {
        broken.push_back("key passed: " + text);
    }
    if (customer.empty() || !heldOnceBy(run, call.key, customer, startedUs)) {
        broken.push_back("foreign customer: " + text);
        return;
    }
    const auto *due = dueVersion(run, startedUs);
    if (due == nullptr || heldSince(run, *due, call.key, customer, startedUs)) {
        return;
    }
    const auto until = due->storedAt + std::chrono::microseconds(startedUs - due->storedUnixUs);
    if (isUndisturbed(run, call.vm, until)) {
        broken.push_back("removed key: " + text + " " + std::to_string((startedUs - due->storedUnixUs) / 1000)
                         + " ms after version " + std::to_string(due->version));
    }
}

void judgeRejection(const RunRecord &run, const CallRecord &call, std::vector<std::string> &broken)
{
    const bool isInAllVersions = call.key == SteadyKey || call.key == MovingKey;
    const auto *due = dueVersion(run, call.sentUnixUs);
    const bool isInForce = due != nullptr && !holderOf(call.key, due->version).empty()
                           && dueVersion(run, call.endedUnixUs + ApplyTimeUs) == due
                           && isUndisturbed(run, call.vm, call.endedAt);
    if (isInAllVersions || isInForce) {
        broken.push_back("valid key rejected: " + call.id + " with " + call.key);
    }
}

} // namespace

void judgeKeys(const RunRecord &run, const Json &executions, std::vector<std::string> &broken)
{
    constexpr unsigned Unauthorized = 401;
    std::map<std::string, const CallRecord *> calls;
    for (const auto &call : run.calls) {
        calls.emplace(call.id, &call);
        if (call.status == Unauthorized) {
            judgeRejection(run, call, broken);
        }
    }
    for (const auto &execution : executions) {
        const auto found = calls.find(execution.at("requestId").get<std::string>());
        if (found != calls.end()) {
            judgeExecution(run, *found->second, execution, broken);
        }
    }
}

} // namespace Verbenadock::Soak
