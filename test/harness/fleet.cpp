#include "harness/fleet.h"

#include "harness/fleetsettings.h"
#include "verbenadock/platform/logclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <fstream>
#include <functional>
#include <unistd.h>

namespace Verbenadock::Test {

namespace {

/// Runs one call of the store to its end and throws what it threw.
void runStoreCall(const std::function<boost::asio::awaitable<void>()> &call)
{
    boost::asio::io_context context;
    auto result = boost::asio::co_spawn(context, call(), boost::asio::use_future);
    context.run();
    result.get();
}

constexpr auto StartLimit = std::chrono::seconds(20);
constexpr auto CtlLimit = std::chrono::seconds(60);
constexpr auto RollOutLimit = std::chrono::seconds(10);
constexpr std::array Operators = {"jana", "petr"};

Json withNames(const Json &body, const char *key, const std::vector<std::string> &names)
{
    Json result = body;
    if (!names.empty()) {
        result[key] = names;
    }
    return result;
}

std::string twoDigits(unsigned number)
{
    return (number < 10 ? "-0" : "-") + std::to_string(number);
}

std::string trimmed(const std::string &text)
{
    return text.substr(0, text.find_last_not_of(" \n") + 1);
}

} // namespace

Endpoint FleetVm::entryListen() const
{
    return {this->address, Ports::EntryListen};
}

Endpoint FleetVm::entryAdmin() const
{
    return {this->address, Ports::EntryAdmin};
}

Endpoint FleetVm::agentAdmin() const
{
    return {this->address, Ports::AgentAdmin};
}

Fleet::Fleet(std::filesystem::path programDirectory, FleetSpec specValue)
    : programs(std::move(programDirectory))
    , spec(std::move(specValue))
    , platformAddress(addresses.next())
{
    for (unsigned index = 0; index < this->spec.vms; ++index) {
        this->vms.push_back({.id = "vm" + twoDigits(index + 1),
                             .address = this->addresses.next(),
                             .dataCentre = this->spec.dataCentres[index % this->spec.dataCentres.size()]});
    }
    for (const auto &service : this->spec.services) {
        for (unsigned index = 0; index < service.upstreams; ++index) {
            this->upstreams.push_back({.id = service.name + twoDigits(index + 1),
                                       .service = service.name,
                                       .address = this->addresses.next(),
                                       .dataCentre = this->spec.dataCentres[index % this->spec.dataCentres.size()]});
        }
    }
}

Fleet::~Fleet()
{
    for (auto &vm : this->vms) {
        for (auto *process : {vm.entry.get(), vm.agent.get()}) {
            if (process != nullptr) {
                process->signal(SIGCONT);
                process->signal(SIGKILL);
            }
        }
    }
}

void Fleet::start()
{
    this->startPlatform();
    this->createOperators();
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        this->startAgent(vm);
        if (!this->spec.agentsOnly) {
            this->startEntry(vm);
        }
    }
    for (const auto &vm : this->vms) {
        waitFor("the administration ports of " + vm.id, StartLimit, [this, &vm] {
            if (!this->spec.agentsOnly) {
                getJson(vm.entryAdmin(), "/dump");
            }
            getJson(vm.agentAdmin(), "/dump");
            return true;
        });
    }
}

void Fleet::startPlatform()
{
    const auto option = [this](const char *name, std::uint16_t port) {
        return std::string("--") + name + "=" + this->platformAddress + ":" + std::to_string(port);
    };
    const auto start = [this](const std::string &name, const std::vector<std::string> &arguments) {
        this->platform.push_back(this->startProgram("standin-" + name, name, arguments));
    };
    start("log", {option("listen", Ports::Log), option("control", Ports::LogControl)});
    start("vmlist", {option("listen", Ports::VmList), option("control", Ports::VmListControl)});

    std::vector<std::string> upstreamArguments
        = {option("control", Ports::UpstreamControl), "--behaviour=" + this->spec.behaviour.dump()};
    std::vector<std::string> balancerArguments
        = {option("listen", Ports::Balancer), option("control", Ports::BalancerControl), "--check-ms=50"};
    for (const auto &upstream : this->upstreams) {
        const auto port = this->spec.faultProxy ? Ports::UpstreamBehindProxy : Ports::Upstream;
        upstreamArguments.push_back(upstream.id + "=" + toString({upstream.address, port}));
    }
    for (const auto &vm : this->vms) {
        balancerArguments.push_back(toString(vm.entryListen()) + "," + toString(vm.entryAdmin()));
    }
    start("upstream", upstreamArguments);
    start("balancer", balancerArguments);
    if (this->spec.faultProxy) {
        std::vector<std::string> proxyArguments = {option("control", Ports::ProxyControl)};
        for (const auto &route : proxyRoutes(this->vms, this->upstreams)) {
            proxyArguments.push_back(route);
        }
        start("faultproxy", proxyArguments);
        waitFor("the fault proxy", StartLimit, [this] {
            return getJson({this->platformAddress, Ports::ProxyControl}, "/state").is_object();
        });
    }
    for (const auto port : {Ports::LogControl, Ports::VmListControl, Ports::UpstreamControl, Ports::BalancerControl}) {
        waitFor("control port " + std::to_string(port), StartLimit, [this, port] {
            return getJson({this->platformAddress, port}, "/state").is_object();
        });
    }
    this->publishVms();
}

void Fleet::createOperators()
{
    for (const std::string name : Operators) {
        const auto key = this->file(name + ".pem");
        const auto publicKey = trimmed(runToEnd(this->programs / "verbenadock-ctl", {"keygen", key.string()}));
        this->operatorTables += operatorTable(name, publicKey);
    }
    for (const std::string name : Operators) {
        writeFile(this->file(name + ".toml"),
                  ctlSettings(name, this->file(name + ".pem"), this->platformAddress, this->vms)
                      + this->operatorTables);
    }
}

void Fleet::startAgent(std::size_t vm)
{
    auto &target = this->vms[vm];
    target.agent.reset();
    const auto settings = this->file("agent-" + target.id + ".toml");
    writeFile(settings, agentSettings(target, this->platformAddress, this->spec.faultProxy) + this->operatorTables);
    target.agent = this->startProgram("verbenadock-agent", "agent-" + target.id, {"--config", settings.string()});
}

void Fleet::startEntry(std::size_t vm)
{
    auto &target = this->vms[vm];
    target.entry.reset();
    const auto settings = this->file("entry-" + target.id + ".toml");
    writeFile(settings, entrySettings(target, this->spec.faultProxy) + this->spec.entryExtra);
    target.entry = this->startProgram("verbenadock-entry", "entry-" + target.id, {"--config", settings.string()});
}

std::string Fleet::bundleText(unsigned version) const
{
    return bundleToml(this->spec, this->upstreams, version);
}

void Fleet::rollOut(unsigned version)
{
    const auto bundle = this->file("bundle-" + std::to_string(version) + ".toml");
    writeFile(bundle, this->bundleText(version));
    this->ctl("jana", {"propose", bundle.string()});
    this->ctl("petr", {"sign-off", BundleName, std::to_string(version)});
    this->ctl("jana", {"roll-out", BundleName, std::to_string(version)});
    for (const auto &vm : this->vms) {
        waitFor("version " + std::to_string(version) + " at " + vm.id, RollOutLimit, [&vm, version] {
            return bundleVersion(getJson(vm.entryAdmin(), "/dump")) == version
                   && Net::fetchBlocking(vm.entryAdmin(), {.target = "/ready"}, StartLimit).status == 200;
        });
    }
    waitFor("the balancer to use every entry", RollOutLimit, [this] {
        const auto entries = getJson({this->platformAddress, Ports::BalancerControl}, "/state")["entries"];
        return std::ranges::all_of(entries, [](const Json &entry) {
            return entry["ready"].get<bool>();
        });
    });
}

std::string Fleet::ctl(const std::string &operatorName, const std::vector<std::string> &arguments)
{
    std::vector<std::string> all = {"--config", this->file(operatorName + ".toml").string()};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return runToEnd(this->programs / "verbenadock-ctl", all);
}

CtlAnswer Fleet::tryCtl(const std::string &operatorName, const std::vector<std::string> &arguments)
{
    std::vector<std::string> all = {"--config", this->file(operatorName + ".toml").string()};
    all.insert(all.end(), arguments.begin(), arguments.end());
    const auto output = this->file("ctl-" + std::to_string(this->ctlRuns++));
    Process process(this->programs / "verbenadock-ctl", all, output);
    CtlAnswer answer{.status = process.waitForExit(CtlLimit).value_or(-1), .text = {}};
    std::ifstream stream(output);
    answer.text.assign(std::istreambuf_iterator<char>(stream), {});
    return answer;
}

std::string Fleet::writeText(const std::string &name, const std::string &text) const
{
    writeFile(this->file(name), text);
    return this->file(name).string();
}

std::filesystem::path Fleet::operatorKey(const std::string &operatorName) const
{
    return this->file(operatorName + ".pem");
}

Endpoint Fleet::balancerListen() const
{
    return {this->platformAddress, Ports::Balancer};
}

Net::HttpResponse Fleet::call(const Net::HttpRequest &request, Duration timeout) const
{
    return Net::fetchBlocking(this->balancerListen(), request, timeout);
}

void Fleet::setUpstreams(const Json &behaviour, const std::vector<std::string> &ids)
{
    postJson({this->platformAddress, Ports::UpstreamControl},
             "/set",
             withNames({{"behaviour", behaviour}}, "upstreams", ids));
}

void Fleet::restartUpstreams(const std::vector<std::string> &ids)
{
    postJson({this->platformAddress, Ports::UpstreamControl}, "/restart", withNames(Json::object(), "upstreams", ids));
}

Json Fleet::upstreamState() const
{
    return getJson({this->platformAddress, Ports::UpstreamControl}, "/state");
}

Json Fleet::executions() const
{
    return getJson({this->platformAddress, Ports::UpstreamControl}, "/executions");
}

Json Fleet::doubles() const
{
    return getJson({this->platformAddress, Ports::UpstreamControl}, "/doubles");
}

void Fleet::setRoutes(const Json &faults, const std::vector<std::string> &names)
{
    postJson({this->platformAddress, Ports::ProxyControl}, "/set", withNames(faults, "routes", names));
}

void Fleet::silenceRoutes(const std::vector<std::string> &names)
{
    postJson({this->platformAddress, Ports::ProxyControl}, "/silence", withNames(Json::object(), "routes", names));
}

void Fleet::setLog(const Json &faults)
{
    postJson({this->platformAddress, Ports::LogControl}, "/set", faults);
}

Json Fleet::logState() const
{
    return getJson({this->platformAddress, Ports::LogControl}, "/state");
}

void Fleet::appendRecord(const std::string &record) const
{
    const Platform::LogClient log(Endpoint{this->platformAddress, Ports::Log}, "configuration", StartLimit);
    runStoreCall([&]() -> boost::asio::awaitable<void> {
        co_await log.append(record);
    });
}

std::vector<std::string> Fleet::records() const
{
    std::vector<std::string> result;
    constexpr std::size_t AllRecords = 1000000;
    const Platform::LogClient log(Endpoint{this->platformAddress, Ports::Log}, "configuration", StartLimit);
    runStoreCall([&]() -> boost::asio::awaitable<void> {
        const auto page = co_await log.read(0, AllRecords);
        for (const auto &record : page.records) {
            result.push_back(record.data);
        }
    });
    return result;
}

void Fleet::setVmList(const Json &faults)
{
    postJson({this->platformAddress, Ports::VmListControl}, "/set", faults);
}

void Fleet::publishVms(const std::vector<std::string> &leaving)
{
    postJson({this->platformAddress, Ports::VmListControl}, "/vms", vmListJson(this->vms, this->upstreams, leaving));
}

Json Fleet::entryDump(std::size_t vm) const
{
    return getJson(this->vms[vm].entryAdmin(), "/dump");
}

Json Fleet::agentDump(std::size_t vm) const
{
    return getJson(this->vms[vm].agentAdmin(), "/dump");
}

std::filesystem::path Fleet::entryLog(std::size_t vm) const
{
    return this->file("entry-" + this->vms[vm].id + ".log");
}

std::unique_ptr<Process> Fleet::startProgram(const std::string &program,
                                             const std::string &logName,
                                             const std::vector<std::string> &arguments)
{
    return std::make_unique<Process>(this->programs / program, arguments, this->file(logName + ".log"));
}

std::filesystem::path Fleet::file(const std::string &name) const
{
    return this->directory.path() / name;
}

} // namespace Verbenadock::Test
