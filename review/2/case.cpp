// LOST: a second SIGTERM arrives while a machine that is stopped still serves the requests that it has read.
#include "../standins/standins.h"

#include <csignal>
#include <future>

using namespace Verbenadock::Review;

namespace {

constexpr unsigned TimeBudgetMs = 4000;
constexpr double WorkS = 1;
constexpr double GraceS = 6;
constexpr int Requests = 8;

} // namespace

int main()
{
    const Address storeAddress{.ip = newLoopbackAddress(), .port = 8541};
    Store store(storeAddress);
    std::vector<std::unique_ptr<Server>> servers;
    for (int number = 1; number <= 4; ++number) {
        servers.push_back(std::make_unique<Server>(store, "claims-" + std::to_string(number), "claims", WorkS));
        servers.back()->report("ready");
    }
    store.put("keyed.op",
              "config",
              toJson({.version = "r1",
                      .services = {"claims"},
                      .routes = {{.name = "desk", .prefix = "/desk/", .kind = "unsafe", .service = "claims"}}}));
    std::vector<std::unique_ptr<Machine>> machines;
    for (int number = 1; number <= 3; ++number) {
        machines.push_back(std::make_unique<Machine>("front-a-" + std::to_string(number), storeAddress));
        machines.back()->start();
    }
    sleepFor(1);
    auto &stopped = *machines.front();
    std::vector<std::future<Outcome>> calls;
    calls.reserve(Requests);
    for (int number = 1; number <= Requests; ++number) {
        calls.push_back(std::async(std::launch::async, [&stopped, number] {
            return call(stopped.front(), "POST", "/desk/claim", "claim-" + std::to_string(number), TimeBudgetMs, "{}");
        }));
    }
    sleepFor(0.3);
    const auto termAt = now();
    stopped.signal(SIGTERM);
    sleepFor(0.3);
    if (hasTrouble()) {
        stopped.signal(SIGTERM);
    }
    int answered = 0;
    int lost = 0;
    std::vector<Run> runs;
    std::vector<Outcome> outcomes;
    for (auto &item : calls) {
        outcomes.push_back(item.get());
        note(describe(outcomes.back()));
    }
    for (const auto &server : servers) {
        for (const auto &run : server->runs()) {
            note(describe(run));
            runs.push_back(run);
        }
    }
    for (const auto &outcome : outcomes) {
        for (const auto &run : runs) {
            if (run.request != outcome.request) {
                continue;
            }
            const bool inBudget = outcome.endedAt - outcome.sentAt < TimeBudgetMs / 1000.0;
            const bool endedEarly = outcome.endedAt < termAt + GraceS * 5 / 6;
            const bool real = outcome.answer && !outcome.answer->field("Verbenadock-Server-Seal").empty();
            lost += !real && inBudget && endedEarly ? 1 : 0;
            answered += real ? 1 : 0;
        }
    }
    if (runs.empty()) {
        finish(CouldNotRun, "no request reached a server");
    }
    finish(lost > 0 ? RuleBroken : RuleHeld,
           "LOST: " + std::to_string(lost) + " of " + std::to_string(runs.size())
               + " requests at which a server was at work ended without its answer; " + std::to_string(answered)
               + " got it");
}
