#include "entryprocess.h"

#include "statelines.h"
#include "verbenadock/telemetry/logging.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <random>
#include <variant>

namespace Verbenadock::Entry {

namespace {

using Telemetry::logChange;
using Telemetry::LogLevel;

constexpr auto ReportInterval = std::chrono::milliseconds(200);
constexpr auto DrainRepeatInterval = std::chrono::seconds(1);
constexpr int UncleanExit = 1;

std::uint64_t startMilliseconds()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

Proxy::EntryOptions optionsOf(const Settings::EntrySettings &settings, std::uint64_t start)
{
    Proxy::EntryOptions options;
    options.listen = settings.listen;
    options.limits = settings.limits;
    options.reducer = {
        .dataCentre = settings.process.dataCentre, .seed = randomSeed(), .requestLimit = settings.limits.maxRequests};
    options.instance = settings.process.vmId + "-" + std::to_string(start);
    options.keys
        = Proxy::KeyOptions{.self = {.vm = settings.process.vmId, .incarnation = start}, .listen = settings.peerListen};
    return options;
}

Control::Hello helloOf(const Settings::EntrySettings &settings, std::uint64_t start)
{
    Control::Hello hello;
    hello.role = Control::PeerRole::Entry;
    hello.vmId = settings.process.vmId;
    hello.dataCentre = settings.process.dataCentre;
    hello.incarnation = start;
    hello.address = toString(settings.peerListen);
    return hello;
}

} // namespace

EntryProcess::EntryProcess(const Settings::EntrySettings &given, const std::vector<std::string> &bundles)
    : settings(given)
    , refusedBundles(this->registry.counter("verbenadock_refused_bundles_total", "Bundles that were not taken over."))
    , unexpectedMessages(
          this->registry.counter("verbenadock_unexpected_messages_total", "Messages that an entry does not expect."))
    , signals(this->context, SIGTERM, SIGINT)
    , reportTimer(this->context)
{
    const auto start = startMilliseconds();
    this->server = std::make_unique<Proxy::EntryServer>(
        this->context,
        optionsOf(given, start),
        this->registry,
        Proxy::EntryHandlers{.stateChanged =
                                 [](const Core::StateChange &change) {
                                     logChange(LogLevel::Info, stateLine(change));
                                 },
                             .terminated =
                                 [this](bool clean) {
                                     this->finish(clean ? 0 : UncleanExit);
                                 },
                             .epochWanted =
                                 [this](Keys::EpochNumber epoch) {
                                     this->link->send(Control::KeyEpochRequest{epoch});
                                 }});
    this->admin
        = std::make_unique<Net::AdminServer>(this->context,
                                             given.process.admin,
                                             Net::AdminServer::Handlers{.ready =
                                                                            [this] {
                                                                                return this->server->ready();
                                                                            },
                                                                        .metrics =
                                                                            [this] {
                                                                                return this->registry.prometheusText();
                                                                            },
                                                                        .dump =
                                                                            [this] {
                                                                                return this->dump();
                                                                            }});
    for (const auto &text : bundles) {
        this->store.takeText(text);
    }
    if (!bundles.empty()) {
        this->applyConfiguration();
    }
    this->link = std::make_unique<Control::AgentLink>(
        this->context, given.agent, helloOf(given, start), [this](const Control::Message &message) {
            this->receive(message);
        });
}

int EntryProcess::run()
{
    this->waitForSignal();
    this->scheduleReport();
    logChange(LogLevel::Info,
              "entry_started listen=" + toString(this->server->endpoint())
                  + " admin=" + toString(this->admin->endpoint()));
    this->context.run();
    logChange(LogLevel::Info, "entry_ended status=" + std::to_string(this->exitStatus));
    return this->exitStatus;
}

void EntryProcess::receive(const Control::Message &message)
{
    std::visit(
        [this](const auto &specific) {
            this->receive(specific);
        },
        message);
}

void EntryProcess::receive(const Control::ConfigurationUpdate &update)
{
    if (this->store.take(update.bundles)) {
        this->applyConfiguration();
    }
    this->reportRefused();
}

void EntryProcess::receive(const Control::HealthVerdicts &message)
{
    Core::HealthChanged event{.at = monotonicNow(), .verdicts = {}};
    event.verdicts.reserve(message.verdicts.size());
    for (const auto &verdict : message.verdicts) {
        event.verdicts.push_back({.upstream = verdict.upstream, .sick = verdict.sick});
    }
    this->server->apply(event);
}

void EntryProcess::receive(const Control::LeavingUpdate &update)
{
    this->server->apply(Core::LeavingChanged{.at = monotonicNow(), .addresses = update.addresses});
}

void EntryProcess::receive(const Control::KeyEpochs &known)
{
    this->server->learnEpochs(known);
}

void EntryProcess::receive(const Control::Hello & /*hello*/)
{
}

template<typename Other>
void EntryProcess::receive(const Other & /*message*/)
{
    this->unexpectedMessages.add();
}

void EntryProcess::applyConfiguration()
{
    this->server->apply(Core::ConfigurationChanged{.at = monotonicNow(), .configuration = this->store.configuration()});
}

std::string EntryProcess::dump() const
{
    auto json = nlohmann::ordered_json::parse(this->server->dump());
    const auto digests = this->store.digests();
    // The reducer knows parsed bundles only; operators tell two contents of one version apart by the digest.
    for (auto &bundle : json["bundles"]) {
        bundle["digest"] = digests.at(bundle["name"].get<std::string>());
    }
    return json.dump();
}

void EntryProcess::reportRefused()
{
    for (const auto &refused : this->store.takeRefused()) {
        this->refusedBundles.add();
        logChange(LogLevel::Warning,
                  "bundle_refused name=" + refused.name + " version=" + std::to_string(refused.version) + " reason=\""
                      + refused.reason + "\"");
    }
}

void EntryProcess::scheduleReport()
{
    this->reportTimer.expires_after(ReportInterval);
    this->reportTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            this->sendEvidence();
            this->sendDrains();
            this->scheduleReport();
        }
    });
}

void EntryProcess::sendEvidence()
{
    // Outcomes from a time without an agent are dropped: old evidence would say nothing about the present.
    auto evidence = this->server->takeEvidence();
    if (!evidence.empty()) {
        this->link->send(
            Control::EvidenceReport{.observer = this->settings.process.vmId, .upstreams = std::move(evidence)});
    }
}

void EntryProcess::sendDrains()
{
    // The agent keeps what it knows, so that the notice is repeated only in case the agent was restarted or away.
    auto drains = this->server->drains();
    const auto now = monotonicNow();
    const bool isNew = drains.size() > this->drainsSent;
    if (drains.empty() || (!isNew && now < this->repeatDrainsAt)) {
        this->drainsSent = drains.size();
        return;
    }
    const auto count = drains.size();
    if (this->link->send(Control::DrainNotice{.upstreams = std::move(drains)})) {
        this->drainsSent = count;
        this->repeatDrainsAt = now + DrainRepeatInterval;
    }
}

void EntryProcess::waitForSignal()
{
    this->signals.async_wait([this](boost::system::error_code error, int number) {
        if (!error) {
            this->waitForSignal();
            this->signalReceived(number);
        }
    });
}

void EntryProcess::signalReceived(int number)
{
    if (this->shutdownRequested) {
        logChange(LogLevel::Warning, "shutdown_forced signal=" + std::to_string(number));
        this->finish(UncleanExit);
        return;
    }
    this->shutdownRequested = true;
    logChange(LogLevel::Info, "shutdown_requested signal=" + std::to_string(number));
    this->server->apply(Core::ShutdownRequested{
        .at = monotonicNow(), .drainDelay = this->settings.drainDelay, .limit = this->settings.shutdownLimit});
}

void EntryProcess::finish(int status)
{
    this->exitStatus = status;
    this->context.stop();
}

} // namespace Verbenadock::Entry
