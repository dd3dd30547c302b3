// ROUTE: a version adds a route below another one; requests whose path is the new prefix without its last slash.
#include "../standins/standins.h"

using namespace Verbenadock::Review;

namespace {

constexpr unsigned TimeBudgetMs = 4000;
constexpr double ConfigApplyS = 2;
constexpr int RequestsPerMachine = 10;

} // namespace

int main()
{
    const Address storeAddress{.ip = newLoopbackAddress(), .port = 8541};
    Store store(storeAddress);
    std::vector<std::unique_ptr<Server>> servers;
    for (const std::string service : {"claims", "reports"}) {
        for (int number = 1; number <= 3; ++number) {
            servers.push_back(std::make_unique<Server>(store, service + "-" + std::to_string(number), service, 0.05));
            servers.back()->report("ready");
        }
    }
    Desired desired{.version = "r1",
                    .services = {"claims", "reports"},
                    .routes = {{.name = "desk", .prefix = "/desk/", .kind = "unsafe", .service = "claims"}}};
    store.put("keyed.op", "config", toJson(desired));
    std::vector<std::unique_ptr<Machine>> machines;
    for (int number = 1; number <= 3; ++number) {
        machines.push_back(std::make_unique<Machine>("front-a-" + std::to_string(number), storeAddress));
        machines.back()->start();
    }
    sleepFor(1);
    if (hasTrouble()) {
        desired.version = "r2";
        desired.routes.push_back({.name = "report", .prefix = "/desk/report/", .kind = "safe", .service = "reports"});
        store.put("keyed.op", "config", toJson(desired));
        note("version r2 confirmed: it adds /desk/report/ (safe) to reports; /desk/ (unsafe) to claims stays");
    }
    sleepFor(ConfigApplyS + 1);
    int answered = 0;
    for (int number = 1; number <= RequestsPerMachine; ++number) {
        for (const auto &machine : machines) {
            const auto id = machine->name() + "-" + std::to_string(number);
            const auto outcome = call(machine->front(), "POST", "/desk/report", id, TimeBudgetMs, "{}");
            note(describe(outcome));
            answered += outcome.answer && outcome.answer->status() == 200 ? 1 : 0;
        }
    }
    int allowed = 0;
    int foreign = 0;
    for (const auto &server : servers) {
        for (const auto &run : server->runs()) {
            note(describe(run));
            // The prefix /desk/report/ does not begin /desk/report, so that all versions send it to claims.
            ++(run.service == "claims" ? allowed : foreign);
        }
    }
    if (allowed + foreign == 0) {
        finish(CouldNotRun, "no request ran");
    }
    finish(foreign > 0 ? RuleBroken : RuleHeld,
           "ROUTE: " + std::to_string(foreign) + " requests ran at a service that no version allows, "
               + std::to_string(allowed) + " at the right one; " + std::to_string(answered) + " were answered 200");
}
