#include "entryprocess.h"

#include "statelines.h"
#include "verbenadock/platform/decoding.h"
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
// The log lags behind by this much when there are few lines.
constexpr auto LogFlushInterval = std::chrono::milliseconds(500);
// The settings file may change without a signal.
constexpr auto SettingsCheckInterval = std::chrono::seconds(2);
constexpr Duration IdleSlack = std::chrono::seconds(1);
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
    if (settings.store) {
        options.dialect = Platform::platformDialect();
        return options;
    }
    options.keys
        = Proxy::KeyOptions{.self = {.vm = settings.process.vmId, .incarnation = start}, .listen = settings.peerListen};
    return options;
}

/// The operators' limits within those of the settings file. Idle callers are kept for longer than the operators say,
/// since a caller may use its connection at the last moment.
Settings::EntryLimits effectiveLimits(Settings::EntryLimits limits, const Discovery::RequestLimits &given)
{
    limits.maxHeaderBytes = given.maxHeaderBytes;
    limits.maxBodyBytes = given.maxBodyBytes;
    limits.headerTimeout = given.headerTimeout;
    limits.callerIdleTimeout = given.idleTimeout + IdleSlack;
    return limits;
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

EntryProcess::EntryProcess(const Settings::EntrySettings &given,
                           const std::vector<std::string> &bundles,
                           std::string file)
    : settings(given)
    , refusedBundles(this->registry.counter("verbenadock_refused_bundles_total", "Bundles that were not taken over."))
    , unexpectedMessages(
          this->registry.counter("verbenadock_unexpected_messages_total", "Messages that an entry does not expect."))
    , droppedLines(this->registry.gauge("verbenadock_log_lines_dropped", "Log lines that nobody read in time."))
    , signals(this->context, SIGTERM, SIGINT, SIGHUP)
    , reportTimer(this->context)
    , settingsTimer(this->context)
    , flushTimer(this->context)
    , settingsFile(std::move(file))
{
    const auto start = startMilliseconds();
    this->server = std::make_unique<Proxy::EntryServer>(
        this->context, optionsOf(given, start), this->registry, this->serverHandlers());
    this->admin = std::make_unique<Net::AdminServer>(this->context, given.process.admin, this->adminHandlers());
    for (const auto &text : bundles) {
        this->store.takeText(text);
    }
    if (!bundles.empty()) {
        this->applyConfiguration();
    }
    if (given.store) {
        this->followStore(start);
    } else {
        this->followAgent(start);
    }
}

Proxy::EntryHandlers EntryProcess::serverHandlers()
{
    Proxy::EntryHandlers handlers;
    handlers.stateChanged = [this](const Core::StateChange &change) {
        // With pooled beliefs the line of the belief says the same, except where the floor decides otherwise.
        if (!this->settings.store || !followsBelief(change)) {
            logChange(LogLevel::Info, stateLine(change));
        }
    };
    handlers.terminated = [this](bool clean) {
        this->finish(clean ? 0 : UncleanExit);
    };
    handlers.epochMissing = [this](Keys::EpochNumber epoch) {
        if (this->link) {
            this->link->send(Control::KeyEpochRequest{epoch});
        }
    };
    if (this->settings.store) {
        handlers.evidence = [this](const Core::ReportEvidence &evidence) {
            this->fleet->observe(evidence);
        };
        handlers.load = [this](const Core::ReportLoad &load) {
            this->fleet->observe(load);
        };
        handlers.reserveUsed = [this](const Core::ReportReserveUse &use) {
            this->fleet->observe(use);
        };
        handlers.requestEnded = [](const Proxy::RequestReport &report) {
            logChange(LogLevel::Info, requestLine(report));
        };
    }
    return handlers;
}

Net::AdminServer::Handlers EntryProcess::adminHandlers()
{
    return {.ready =
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
                },
            .page =
                [this](std::string_view target) {
                    return this->fleet ? this->fleet->page(target) : std::nullopt;
                }};
}

void EntryProcess::followAgent(std::uint64_t start)
{
    this->link = std::make_unique<Control::AgentLink>(
        this->context, this->settings.agent, helloOf(this->settings, start), [this](const Control::Message &message) {
            this->receive(message);
        });
    this->scheduleReport();
}

void EntryProcess::followStore(std::uint64_t start)
{
    Fleet::FleetLink::Handlers handlers;
    handlers.configured
        = [this](std::shared_ptr<const Core::Configuration> configuration, const Discovery::RequestLimits &limits) {
              this->applyPlatform(std::move(configuration), limits);
          };
    handlers.loaded = [this](const Core::LoadChanged &event) {
        this->server->apply(event);
    };
    handlers.reserveUsed = [this](const Core::ReserveUsed &event) {
        this->server->apply(event);
    };
    handlers.dataCentreLoaded = [this](const Core::DataCentreLoadChanged &event) {
        this->server->apply(event);
    };
    handlers.judged = [this](const Core::HealthChanged &event) {
        this->server->apply(event);
    };
    this->fleet
        = std::make_shared<Fleet::FleetLink>(this->context, this->settings, start, this->registry, std::move(handlers));
    this->fleet->start();
}

int EntryProcess::run()
{
    this->waitForSignal();
    this->watchSettings();
    this->scheduleFlush();
    logChange(LogLevel::Info,
              "entry_started listen=" + toString(this->server->endpoint())
                  + " admin=" + toString(this->admin->endpoint()));
    this->context.run();
    if (this->fleet) {
        this->fleet->stop();
    }
    logChange(LogLevel::Info, "entry_ended status=" + std::to_string(this->exitStatus));
    Telemetry::flushLog();
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
    this->server->updateEpochs(known);
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

void EntryProcess::applyPlatform(std::shared_ptr<const Core::Configuration> configuration,
                                 const Discovery::RequestLimits &limits)
{
    if (this->requestLimits != limits) {
        this->requestLimits = limits;
        this->server->setLimits(effectiveLimits(this->settings.limits, limits));
    }
    this->server->apply(Core::ConfigurationChanged{.at = monotonicNow(), .configuration = std::move(configuration)});
}

void EntryProcess::scheduleFlush()
{
    this->flushTimer.expires_after(LogFlushInterval);
    this->flushTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            Telemetry::flushLog();
            this->droppedLines.set(static_cast<double>(Telemetry::droppedLogLines()));
            this->scheduleFlush();
        }
    });
}

void EntryProcess::watchSettings()
{
    this->settingsTimer.expires_after(SettingsCheckInterval);
    this->settingsTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            this->reload("file-changed");
            this->watchSettings();
        }
    });
}

void EntryProcess::reload(std::string_view reason)
{
    const auto describe = [reason](const std::string &outcome) {
        return "settings_reload reason=" + std::string(reason) + " outcome=" + outcome;
    };
    try {
        auto text = Settings::readFile(this->settingsFile);
        if (text == this->settingsText && reason != "signal") {
            return;
        }
        const bool first = this->settingsText.empty();
        this->settingsText = std::move(text);
        if (first && reason != "signal") {
            return;
        }
        const auto changed = Settings::parseEntrySettings(this->settingsText);
        // Ports and names stay as they are until the next start; limits and times can change at any moment.
        this->settings.limits = changed.limits;
        this->settings.drainDelay = changed.drainDelay;
        this->settings.shutdownLimit = changed.shutdownLimit;
        this->server->setLimits(this->requestLimits ? effectiveLimits(changed.limits, *this->requestLimits)
                                                    : changed.limits);
        logChange(LogLevel::Info, describe("taken"));
    } catch (const Settings::InvalidSettings &error) {
        logChange(LogLevel::Error, describe("refused error=\"" + std::string(error.what()) + "\""));
    }
}

std::string EntryProcess::dump() const
{
    auto json = nlohmann::ordered_json::parse(this->server->dump());
    const auto digests = this->store.digests();
    // The reducer knows parsed bundles only; operators tell two contents of one version apart by the digest.
    for (auto &bundle : json["bundles"]) {
        const auto digest = digests.find(bundle["name"].get<std::string>());
        if (digest != digests.end()) {
            bundle["digest"] = digest->second;
        }
    }
    if (this->fleet) {
        json["fleet"] = nlohmann::ordered_json::parse(this->fleet->dump());
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
    if (number == SIGHUP) {
        this->reload("signal");
        return;
    }
    if (this->shutdownRequested) {
        logChange(LogLevel::Warning, "shutdown_forced signal=" + std::to_string(number));
        this->finish(UncleanExit);
        return;
    }
    this->shutdownRequested = true;
    if (this->fleet) {
        this->fleet->leave();
    }
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
