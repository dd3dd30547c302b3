#include "entryprocess.h"

#include "statelines.h"
#include "verbenadock/net/error.h"
#include "verbenadock/net/query.h"
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

constexpr auto AgentReportInterval = std::chrono::milliseconds(200);
constexpr auto DrainRepeatInterval = std::chrono::seconds(1);
// Bounds the delay of buffered log lines when there are few of them.
constexpr auto LogFlushInterval = std::chrono::milliseconds(500);
// Detects changes of the settings file without a signal.
constexpr auto SettingsCheckInterval = std::chrono::seconds(2);
constexpr Duration CallerIdleMargin = std::chrono::seconds(1);
constexpr int UncleanExitStatus = 1;

std::uint64_t systemTimeMilliseconds()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

Proxy::EntryOptions entryOptions(const Settings::EntrySettings &settings, std::uint64_t incarnation)
{
    Proxy::EntryOptions options;
    options.listen = settings.listen;
    options.limits = settings.limits;
    options.reducer = {
        .dataCentre = settings.process.dataCentre, .seed = randomSeed(), .requestLimit = settings.limits.maxRequests};
    if (settings.store && settings.store->strictRevocation) {
        options.reducer.revocation = settings.store->revocation;
    }
    options.instance = settings.process.vmId + "-" + std::to_string(incarnation);
    if (settings.store) {
        options.reducer.confirmsConfiguration = true;
        options.dialect = Platform::platformDialect();
        return options;
    }
    options.keys = Proxy::KeyOptions{.self = {.vm = settings.process.vmId, .incarnation = incarnation},
                                     .listen = settings.peerListen};
    return options;
}

/// Replaces limits of the settings file by those of the operators. The idle timeout for callers exceeds the operators'
/// value, because a caller may send a request just before that timeout.
Settings::EntryLimits effectiveLimits(Settings::EntryLimits limits, const Discovery::RequestLimits &operatorLimits)
{
    limits.maxHeaderBytes = operatorLimits.maxHeaderBytes;
    limits.maxBodyBytes = operatorLimits.maxBodyBytes;
    limits.headerTimeout = operatorLimits.headerTimeout;
    limits.callerIdleTimeout = operatorLimits.idleTimeout + CallerIdleMargin;
    return limits;
}

Control::Hello createHello(const Settings::EntrySettings &settings, std::uint64_t incarnation)
{
    Control::Hello hello;
    hello.role = Control::PeerRole::Entry;
    hello.vmId = settings.process.vmId;
    hello.dataCentre = settings.process.dataCentre;
    hello.incarnation = incarnation;
    hello.address = toString(settings.peerListen);
    return hello;
}

} // namespace

EntryProcess::EntryProcess(const SettingsFile &file, const std::vector<std::string> &bundles)
    : settings(file.settings)
    , refusedBundles(this->registry.counter("verbenadock_refused_bundles_total", "Bundles that were not taken over."))
    , unexpectedMessages(
          this->registry.counter("verbenadock_unexpected_messages_total", "Messages that an entry does not expect."))
    , droppedLines(this->registry.gauge("verbenadock_log_lines_dropped", "Log lines that nobody read in time."))
    , signals(this->context, SIGTERM, SIGINT, SIGHUP)
    , agentReportTimer(this->context)
    , settingsTimer(this->context)
    , flushTimer(this->context)
    , settingsFilePath(file.path)
    , settingsText(file.text)
{
    logUnfilledFields(file);
    const auto incarnation = systemTimeMilliseconds();
    this->server = std::make_unique<Proxy::EntryServer>(
        this->context, entryOptions(this->settings, incarnation), this->registry, this->serverHandlers());
    this->admin
        = std::make_unique<Net::AdminServer>(this->context, this->settings.process.admin, this->adminHandlers());
    for (const auto &text : bundles) {
        this->store.takeText(text);
    }
    if (!bundles.empty()) {
        this->applyConfiguration();
    }
    if (this->settings.store) {
        this->startFleetLink(incarnation);
    } else {
        this->connectToAgent(incarnation);
    }
}

Proxy::EntryHandlers EntryProcess::serverHandlers()
{
    Proxy::EntryHandlers handlers;
    handlers.stateChanged = [this](const Core::StateChange &change) {
        // In a fleet the state change is already logged with the pooled state, except where the floor decides.
        if (!this->settings.store || !isPooledTransition(change)) {
            logChange(LogLevel::Info, stateLine(change));
        }
    };
    handlers.terminated = [this](bool clean) {
        this->finish(clean ? 0 : UncleanExitStatus);
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
        handlers.reserveAllowance = [this](const Core::ReserveAllowance &effect) {
            this->fleet->reserve(effect);
        };
        handlers.returnAllowance = [this](const Core::ReturnAllowance &effect) {
            this->fleet->giveBack(effect);
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
                    if (target.substr(0, target.find('?')) == "/explain") {
                        return std::optional(this->explain(target));
                    }
                    return this->fleet ? this->fleet->page(target) : std::nullopt;
                }};
}

Net::AdminPage EntryProcess::explain(std::string_view target) const
{
    constexpr unsigned BadRequest = 400;
    const auto refuse = [](const std::string &reason) {
        return Net::AdminPage{.body = nlohmann::json{{"error", reason}}.dump(), .status = BadRequest};
    };
    try {
        const auto parameters = Net::queryParameters(target);
        const auto valueOf = [&parameters](const std::string &name) {
            const auto found = parameters.find(name);
            return found == parameters.end() || found->second.empty() ? std::nullopt : std::optional(found->second);
        };
        const auto host = valueOf("host");
        const auto path = valueOf("path");
        if (!host || !path || path->front() != '/') {
            return refuse("host and path are required, and path begins with a slash");
        }
        return {.body = this->server->explain({.host = *host,
                                               .path = *path,
                                               .method = valueOf("method").value_or("GET"),
                                               .customer = valueOf("customer")})};
    } catch (const Net::NetError &error) {
        return refuse(error.what());
    }
}

void EntryProcess::connectToAgent(std::uint64_t incarnation)
{
    this->link = std::make_unique<Control::AgentLink>(this->context,
                                                      this->settings.agent,
                                                      createHello(this->settings, incarnation),
                                                      [this](const Control::Message &message) {
                                                          this->receive(message);
                                                      });
    this->scheduleAgentReport();
}

void EntryProcess::startFleetLink(std::uint64_t incarnation)
{
    Fleet::FleetLink::Handlers handlers;
    handlers.configurationChanged
        = [this](std::shared_ptr<const Core::Configuration> configuration, const Discovery::RequestLimits &limits) {
              this->applyPlatformConfiguration(std::move(configuration), limits);
          };
    handlers.loadChanged = [this](const Core::LoadChanged &event) {
        this->server->apply(event);
    };
    handlers.reserveUsed = [this](const Core::ReserveUsed &event) {
        this->server->apply(event);
    };
    handlers.dataCentreLoadChanged = [this](const Core::DataCentreLoadChanged &event) {
        this->server->apply(event);
    };
    handlers.allowanceDecided = [this](const Core::AllowanceDecided &event) {
        this->server->apply(event);
    };
    handlers.healthChanged = [this](const Core::HealthChanged &event) {
        this->server->apply(event);
    };
    handlers.configurationConfirmed = [this](const Core::ConfigurationConfirmed &event) {
        this->server->apply(event);
    };
    handlers.configurationSuperseded = [this](const Core::ConfigurationSuperseded &event) {
        this->server->apply(event);
    };
    this->fleet = std::make_shared<Fleet::FleetLink>(
        this->context, this->settings, incarnation, this->registry, std::move(handlers));
    this->fleet->start();
}

int EntryProcess::run()
{
    this->waitForSignal();
    this->scheduleSettingsCheck();
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
    this->logRefusedBundles();
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

void EntryProcess::receive(const Control::KeyEpochs &epochs)
{
    this->server->updateEpochs(epochs);
}

void EntryProcess::receive(const Control::Hello & /*hello*/)
{
}

template<typename UnexpectedMessage>
void EntryProcess::receive(const UnexpectedMessage & /*message*/)
{
    this->unexpectedMessages.add();
}

void EntryProcess::applyConfiguration()
{
    this->server->apply(Core::ConfigurationChanged{.at = monotonicNow(), .configuration = this->store.configuration()});
}

void EntryProcess::applyPlatformConfiguration(std::shared_ptr<const Core::Configuration> configuration,
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

void EntryProcess::scheduleSettingsCheck()
{
    this->settingsTimer.expires_after(SettingsCheckInterval);
    this->settingsTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            this->reload("file-changed");
            this->scheduleSettingsCheck();
        }
    });
}

void EntryProcess::reload(std::string_view reason)
{
    const auto reloadLine = [reason](const std::string &outcome) {
        return "settings_reload reason=" + std::string(reason) + " outcome=" + outcome;
    };
    try {
        auto text = Settings::readFile(this->settingsFilePath);
        if (text == this->settingsText && reason != "signal") {
            return;
        }
        this->settingsText = std::move(text);
        const auto file = parseSettingsFile(this->settingsFilePath, this->settingsText);
        logUnfilledFields(file);
        // Only limits and times can be reloaded; ports and names require a restart.
        this->settings.limits = file.settings.limits;
        this->settings.drainDelay = file.settings.drainDelay;
        this->settings.shutdownLimit = file.settings.shutdownLimit;
        this->server->setLimits(this->requestLimits ? effectiveLimits(this->settings.limits, *this->requestLimits)
                                                    : this->settings.limits);
        logChange(LogLevel::Info, reloadLine("taken"));
    } catch (const Settings::InvalidSettings &error) {
        logChange(LogLevel::Error, reloadLine("refused error=\"" + std::string(error.what()) + "\""));
    }
}

std::string EntryProcess::dump() const
{
    auto json = nlohmann::ordered_json::parse(this->server->dump());
    const auto digests = this->store.digests();
    // The dump of the server has no digests, because the reducer gets parsed bundles only. Operators need the digest to
    // distinguish different contents of the same version.
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

void EntryProcess::logRefusedBundles()
{
    for (const auto &refused : this->store.takeRefused()) {
        this->refusedBundles.add();
        logChange(LogLevel::Warning,
                  "bundle_refused name=" + refused.name + " version=" + std::to_string(refused.version) + " reason=\""
                      + refused.reason + "\"");
    }
}

void EntryProcess::scheduleAgentReport()
{
    this->agentReportTimer.expires_after(AgentReportInterval);
    this->agentReportTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            this->sendEvidence();
            this->sendDrains();
            this->scheduleAgentReport();
        }
    });
}

void EntryProcess::sendEvidence()
{
    // Evidence collected without a connection to the agent is dropped, because it would be out of date.
    auto evidence = this->server->takeEvidence();
    if (!evidence.empty()) {
        this->link->send(
            Control::EvidenceReport{.observer = this->settings.process.vmId, .upstreams = std::move(evidence)});
    }
}

void EntryProcess::sendDrains()
{
    // The agent keeps the notices; repeating them covers an agent that was restarted or unreachable.
    auto drains = this->server->drains();
    const auto now = monotonicNow();
    const bool isNew = drains.size() > this->sentDrainCount;
    if (drains.empty() || (!isNew && now < this->nextDrainRepeat)) {
        this->sentDrainCount = drains.size();
        return;
    }
    const auto count = drains.size();
    if (this->link->send(Control::DrainNotice{.upstreams = std::move(drains)})) {
        this->sentDrainCount = count;
        this->nextDrainRepeat = now + DrainRepeatInterval;
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
        this->finish(UncleanExitStatus);
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
