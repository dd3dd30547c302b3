// The kinds of faults that a FaultSchedule brings about.
#include "faultschedule.h"

#include <algorithm>
#include <csignal>

namespace Verbenadock::Measure {

namespace {

constexpr std::int64_t ListLagMs = 4000;
constexpr std::int64_t LogDelayMs = 800;
constexpr std::int64_t PathDelayMs = 150;
constexpr std::array LogOutages = {"error", "hang", "refuse"};

std::int64_t unixMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace

void FaultSchedule::addProcessFaults()
{
    this->kinds.push_back({"entry-kill", false, [this](std::string &target) {
                               const auto vm = this->anyVm();
                               target = this->fleet.vms[vm].id;
                               this->fleet.vms[vm].entry->signal(SIGKILL);
                               return [this, vm] {
                                   if (!this->fleet.vms[vm].entry->isRunning()) {
                                       this->fleet.startEntry(vm);
                                   }
                               };
                           }});
    this->kinds.push_back({"agent-kill", true, [this](std::string &target) {
                               const auto vm = this->anyVm();
                               target = this->fleet.vms[vm].id;
                               this->fleet.vms[vm].agent->signal(SIGKILL);
                               return [this, vm] {
                                   if (!this->fleet.vms[vm].agent->isRunning()) {
                                       this->fleet.startAgent(vm);
                                   }
                               };
                           }});
    this->kinds.push_back({"entry-pause", false, [this](std::string &target) {
                               const auto vm = this->anyVm();
                               target = this->fleet.vms[vm].id;
                               this->fleet.vms[vm].entry->signal(SIGSTOP);
                               return [this, vm] {
                                   this->fleet.vms[vm].entry->signal(SIGCONT);
                               };
                           }});
    this->kinds.push_back({"agent-pause", true, [this](std::string &target) {
                               const auto vm = this->anyVm();
                               target = this->fleet.vms[vm].id;
                               this->fleet.vms[vm].agent->signal(SIGSTOP);
                               return [this, vm] {
                                   this->fleet.vms[vm].agent->signal(SIGCONT);
                               };
                           }});
}

void FaultSchedule::addRoute(const std::string &name,
                             const std::string &prefix,
                             const std::string &fault,
                             const Test::Json &value)
{
    const bool between = !prefix.empty();
    this->kinds.push_back({name, between, [this, prefix, fault, value](std::string &target) {
                               target
                                   = prefix.empty() ? this->anyUpstream() : prefix + this->fleet.vms[this->anyVm()].id;
                               this->fleet.setRoutes({{fault, value}}, {target});
                               const Test::Json normal = value.is_boolean() ? Test::Json(false) : Test::Json(0);
                               return [this, route = target, fault, normal] {
                                   this->fleet.setRoutes({{fault, normal}}, {route});
                               };
                           }});
}

void FaultSchedule::addNetworkFaults()
{
    this->addRoute("upstream-cut-to-target", "", "cutToTarget", true);
    this->addRoute("upstream-cut-to-client", "", "cutToClient", true);
    this->addRoute("upstream-delay", "", "delayMs", PathDelayMs);
    this->addRoute("upstream-refuse", "", "refuse", true);
    this->addRoute("agent-cut-to-target", "agent-", "cutToTarget", true);
    this->addRoute("agent-cut-to-client", "agent-", "cutToClient", true);
    this->addRoute("link-cut-to-client", "link-", "cutToClient", true);
    this->kinds.push_back({"upstream-silence", false, [this](std::string &target) {
                               target = this->anyUpstream();
                               this->fleet.silenceRoutes({target});
                               return Undo([] {});
                           }});
    this->kinds.push_back({"agent-silence", true, [this](std::string &target) {
                               target = "agent-" + this->fleet.vms[this->anyVm()].id;
                               this->fleet.silenceRoutes({target});
                               return Undo([] {});
                           }});
}

void FaultSchedule::addPlatformFaults()
{
    this->kinds.push_back({"log-outage", true, [this](std::string &target) {
                               target = LogOutages[this->below(LogOutages.size())];
                               this->fleet.setLog({{"outage", target}});
                               return [this] {
                                   this->fleet.setLog({{"outage", "none"}});
                               };
                           }});
    this->kinds.push_back({"log-slow", true, [this](std::string &) {
                               this->fleet.setLog({{"delayMs", LogDelayMs}});
                               return [this] {
                                   this->fleet.setLog({{"delayMs", 0}});
                               };
                           }});
    this->kinds.push_back({"list-lag", true, [this](std::string &) {
                               this->listLagMs = ListLagMs;
                               this->fleet.setVmList({{"lagMs", ListLagMs}});
                               return [this] {
                                   this->listLagMs = 0;
                                   this->fleet.setVmList({{"lagMs", 0}});
                               };
                           }});
}

void FaultSchedule::addBehaviour(const std::string &name,
                                 const Test::Json &change,
                                 const Test::Json &normal,
                                 bool whileRestarting)
{
    this->kinds.push_back({name, whileRestarting, [this, change, normal](std::string &target) {
                               target = this->anyUpstream();
                               this->fleet.setUpstreams(change, {target});
                               return [this, normal, id = target] {
                                   this->fleet.setUpstreams(normal, {id});
                               };
                           }});
}

void FaultSchedule::addUpstreamFaults()
{
    this->addBehaviour("truncated", {{"truncateRate", 0.5}}, {{"truncateRate", 0}}, false);
    this->addBehaviour("late", {{"lateMs", 1500}}, {{"lateMs", 0}}, true);
    this->addBehaviour("crossed", {{"crossRate", 0.6}}, {{"crossRate", 0}}, false);
    this->addBehaviour("hanging", {{"hangRate", 0.4}}, {{"hangRate", 0}}, false);
    this->addBehaviour("failing", {{"failRate", 0.7}}, {{"failRate", 0}}, false);
    this->addBehaviour("flapping", {{"flapMs", 300}, {"failRate", 0.8}}, {{"flapMs", 0}, {"failRate", 0}}, false);
    this->addBehaviour("slow", {{"slowFactor", 10}}, {{"slowFactor", 1}}, true);
    this->kinds.push_back({"upstream-restart", false, [this](std::string &target) {
                               target = this->anyUpstream();
                               this->fleet.restartUpstreams({target});
                               return Undo([] {});
                           }});
}

void FaultSchedule::addDepartures()
{
    this->kinds.push_back({"upstream-drain", false, [this](std::string &target) {
                               target = this->leavingUpstream();
                               this->departures.push_back({.upstream = target, .visibleUs = unixMicroseconds()});
                               this->fleet.setUpstreams({{"draining", true}}, {target});
                               return Undo([] {});
                           }});
    this->kinds.push_back({"upstream-leave", false, [this](std::string &target) {
                               target = this->leavingUpstream();
                               this->listedAsLeaving.push_back(target);
                               this->departures.push_back(
                                   {.upstream = target, .visibleUs = unixMicroseconds() + this->listLagMs * 1000});
                               this->fleet.publishVms(this->listedAsLeaving);
                               return Undo([] {});
                           }});
}

} // namespace Verbenadock::Measure
