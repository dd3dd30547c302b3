// LOST: a machine is stopped where graceS is 10; a request that it read meanwhile is cut off before graceS is over.
#include "../standins/standins.h"

#include <csignal>
#include <future>

using namespace Verbenadock::Review;

namespace {

/// Bounds and time budget of the site.
constexpr double GraceS = 10;
constexpr unsigned TimeBudgetMs = 10000;
/// The site has claims with 4.1 s of work and a timeoutS of 5.
constexpr double WorkS = 4;
constexpr double RouteTimeoutS = 5;
/// The load balancer asks once a second, and two misses in a row take a machine out.
constexpr double SendAfterTermS = 2;
constexpr int Requests = 6;

} // namespace

int main()
{
    const Address storeAddress{.ip = newLoopbackAddress(), .port = 8541};
    Store store(storeAddress);
    std::vector<std::unique_ptr<Server>> servers;
    for (int number = 1; number <= 4; ++number) {
        servers.push_back(std::make_unique<Server>(store, "vydej-" + std::to_string(number), "vydej", WorkS));
        servers.back()->report("ready");
    }
    store.put("keyed.op",
              "config",
              toJson({.version = "r1",
                      .services = {"vydej"},
                      .routes = {{.name = "claim", .prefix = "/claim/", .kind = "unsafe", .service = "vydej"}},
                      .timeout = RouteTimeoutS}));
    std::vector<std::unique_ptr<Machine>> machines;
    for (int number = 1; number <= 3; ++number) {
        machines.push_back(std::make_unique<Machine>("front-a-" + std::to_string(number), storeAddress));
        machines.back()->start();
    }
    sleepFor(1);
    auto &stopped = *machines.front();
    const auto termAt = now();
    if (hasTrouble()) {
        stopped.signal(SIGTERM);
    }
    sleepUntil(termAt + SendAfterTermS);
    std::vector<std::future<Outcome>> calls;
    calls.reserve(Requests);
    for (int number = 1; number <= Requests; ++number) {
        calls.push_back(std::async(std::launch::async, [&stopped, number] {
            return call(stopped.front(), "POST", "/claim/item", "claim-" + std::to_string(number), TimeBudgetMs, "{}");
        }));
    }
    std::vector<Outcome> outcomes;
    outcomes.reserve(Requests);
    for (auto &item : calls) {
        outcomes.push_back(item.get());
        note(describe(outcomes.back()));
    }
    sleepFor(WorkS);
    int answered = 0;
    int lost = 0;
    int reached = 0;
    for (const auto &server : servers) {
        for (const auto &run : server->runs()) {
            note(describe(run));
            ++reached;
            for (const auto &outcome : outcomes) {
                if (run.request != outcome.request) {
                    continue;
                }
                const bool real = outcome.answer && !outcome.answer->field("Verbenadock-Server-Seal").empty();
                const bool inBudget = outcome.endedAt - outcome.sentAt < TimeBudgetMs / 1000.0;
                // The server was done before the last sixth of graceS began.
                const bool doneInTime = run.endedAt > 0 && run.endedAt < termAt + GraceS * 5 / 6;
                lost += !real && inBudget && doneInTime ? 1 : 0;
                answered += real ? 1 : 0;
            }
        }
    }
    if (reached == 0) {
        finish(CouldNotRun, "no request reached a server");
    }
    finish(lost > 0 ? RuleBroken : RuleHeld,
           "LOST: " + std::to_string(lost) + " of " + std::to_string(reached)
               + " requests that a server ran to their end before the last sixth of graceS got no answer; "
               + std::to_string(answered) + " got it");
}
