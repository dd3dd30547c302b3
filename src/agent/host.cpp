#include "host.h"

#include "statelog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sys/resource.h>

#include <chrono>

namespace Verbenadock::Agent {

namespace asio = boost::asio;

namespace {

// A platform request that takes longer has failed, and the reducer's backoff starts then.
constexpr Duration PlatformTimeout = std::chrono::seconds(2);

std::uint64_t startTimeInMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

Control::AgentReducerSettings reducerSettings(const Settings::AgentSettings &settings, std::uint64_t incarnation)
{
    Control::AgentReducerSettings result;
    result.vmId = settings.process.vmId;
    result.address = settings.peerListen.address;
    result.dataCentre = settings.process.dataCentre;
    result.incarnation = incarnation;
    result.logPollInterval = settings.logPollInterval;
    for (const auto &operatorSettings : settings.operators) {
        result.operators.push_back({.name = operatorSettings.name, .publicKey = operatorSettings.publicKey});
    }
    return result;
}

Control::VmListRead toEvent(const std::vector<Platform::Vm> &vms)
{
    Control::VmListRead event{.at = monotonicNow(), .members = {}, .leavingUpstreams = {}};
    for (const auto &vm : vms) {
        if (vm.role == Platform::VmRole::Entry) {
            event.members.push_back({.id = vm.id, .address = vm.address, .dataCentre = vm.dataCentre});
        } else if (vm.leaving) {
            event.leavingUpstreams.push_back(vm.address);
        }
    }
    return event;
}

} // namespace

Host::Host(asio::io_context &ioContext, const Settings::AgentSettings &agentSettings)
    : context(ioContext)
    , settings(agentSettings)
    , incarnation(startTimeInMilliseconds())
    , reducer(reducerSettings(agentSettings, this->incarnation), monotonicNow())
    , configurationLogClient(agentSettings.logService, "configuration", PlatformTimeout)
    , epochLogClient(agentSettings.logService, "key-epochs", PlatformTimeout)
    , vmListClient(agentSettings.vmList, PlatformTimeout)
    , reducerTimer(ioContext)
    , vmListTimer(ioContext)
    , peers(ioContext,
            agentSettings.peerListen,
            agentSettings.peerPort,
            this->makeHello(),
            this->peerStreamCounters,
            {.onHello =
                 [this](const Control::Hello &hello) {
                     this->processEvent(Control::PeerConnected{monotonicNow(), hello});
                 },
             .onMessage =
                 [this](const std::string &peer, Control::Message message) {
                     this->processEvent(Control::PeerMessageReceived{monotonicNow(), peer, std::move(message)});
                 },
             .onDisconnected =
                 [this](const std::string &peer) {
                     this->processEvent(Control::PeerDisconnected{monotonicNow(), peer});
                 }})
    , entryLink(ioContext,
                agentSettings.entryListen,
                this->makeHello(),
                this->entryStreamCounters,
                {.onConnected =
                     [this](const Control::Hello &hello) {
                         this->processEvent(Control::EntryConnected{monotonicNow(), hello});
                     },
                 .onDisconnected =
                     [this] {
                         this->processEvent(Control::EntryDisconnected{monotonicNow()});
                     },
                 .onEvidenceReport =
                     [this](Control::EvidenceReport report) {
                         this->processEvent(Control::EvidenceReceived{monotonicNow(), std::move(report)});
                     },
                 .onDrainNotice =
                     [this](Control::DrainNotice notice) {
                         this->processEvent(Control::DrainsReceived{monotonicNow(), std::move(notice)});
                     },
                 .onKeyEpochRequest =
                     [this](const Control::KeyEpochRequest &request) {
                         this->processEvent(Control::EpochWanted{monotonicNow(), request.epoch});
                     }})
    , adminServer(ioContext,
                  agentSettings.process.admin,
                  {.ready =
                       [this] {
                           return this->reducer.ready();
                       },
                   .metrics =
                       [this] {
                           return this->metricsText();
                       },
                   .dump =
                       [this] {
                           return this->reducer.dump(monotonicNow());
                       }})
{
}

Control::Hello Host::makeHello() const
{
    return {.protocolVersion = Control::ProtocolVersion,
            .role = Control::PeerRole::Agent,
            .vmId = this->settings.process.vmId,
            .dataCentre = this->settings.process.dataCentre,
            .incarnation = this->incarnation,
            .address = this->settings.peerListen.address};
}

void Host::start()
{
    const auto &address = this->settings.peerListen.address;
    if (address == "0.0.0.0" || address == "::") {
        throw Net::NetError(
            "peers.listen must be an address at which other agents reach this VM, not the wildcard address " + address);
    }
    asio::co_spawn(this->context, this->pollVmList(), asio::detached);
    this->processEvent(Control::AgentTimerExpired{monotonicNow()});
}

void Host::stop()
{
    this->stopped = true;
    this->reducerTimer.cancel();
    this->vmListTimer.cancel();
    this->adminServer.stop();
    this->entryLink.stop();
    this->peers.stop();
    // Posted, so that the closed streams release their handlers first. Without the stop, a pending platform request
    // would keep the context running until its response or timeout.
    asio::post(this->context, [this] {
        this->context.stop();
    });
}

void Host::processEvent(const Control::AgentEvent &event)
{
    if (this->stopped) {
        return;
    }
    for (const auto &effect : this->reducer.apply(event)) {
        std::visit(
            [this](const auto &body) {
                this->execute(body);
            },
            effect);
    }
    this->scheduleReducerTimer();
}

void Host::scheduleReducerTimer()
{
    this->reducerTimer.expires_after(timeUntil(this->reducer.nextDeadline()));
    this->reducerTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->processEvent(Control::AgentTimerExpired{monotonicNow()});
        }
    });
}

void Host::execute(const Control::SendToPeer &effect)
{
    this->peers.send(effect.peer, effect.message);
}

void Host::execute(const Control::ConnectPeer &effect)
{
    this->peers.connect(effect.peer, effect.address);
}

void Host::execute(const Control::DisconnectPeer &effect)
{
    this->peers.disconnect(effect.peer);
}

void Host::execute(const Control::SendToEntry &effect)
{
    this->entryLink.send(effect.message);
}

void Host::execute(const Control::ReadLog &effect)
{
    asio::co_spawn(this->context, this->readLog(effect), asio::detached);
}

void Host::execute(const Control::AppendLog &effect)
{
    asio::co_spawn(this->context, this->appendLog(effect.data), asio::detached);
}

void Host::execute(const Control::ReadEpochs &effect)
{
    asio::co_spawn(this->context, this->readEpochs(effect), asio::detached);
}

void Host::execute(const Control::AppendEpoch &effect)
{
    asio::co_spawn(this->context, this->appendEpoch(effect.record), asio::detached);
}

void Host::execute(const Control::ReportAgentChange &effect)
{
    logStateChange(effect.change);
}

asio::awaitable<void> Host::readLog(Control::ReadLog request)
{
    Control::AgentEvent event = Control::LogUnavailable{};
    try {
        const auto page = co_await this->configurationLogClient.read(request.from, request.limit);
        Control::LogRecordsRead recordsRead{.at = {}, .first = page.first, .next = page.end, .records = {}};
        for (const auto &record : page.records) {
            recordsRead.records.push_back({.offset = record.offset, .data = record.data});
        }
        recordsRead.at = monotonicNow();
        event = std::move(recordsRead);
    } catch (const Platform::PlatformError &) {
        event = Control::LogUnavailable{monotonicNow()};
    }
    this->processEvent(event);
}

asio::awaitable<void> Host::appendLog(std::string data)
{
    try {
        co_await this->configurationLogClient.append(std::move(data));
    } catch (const Platform::PlatformError &) {
        // The log may contain the record although the append failed. The reducer retries the append later if the
        // record is missing.
        ++this->logAppendFailures;
    }
}

asio::awaitable<void> Host::readEpochs(Control::ReadEpochs request)
{
    Control::AgentEvent event = Control::EpochsUnavailable{};
    try {
        const auto page = co_await this->epochLogClient.read(request.from, request.limit);
        Control::EpochRecordsRead recordsRead{
            .at = {}, .wall = {}, .first = page.first, .next = page.end, .records = {}};
        for (const auto &record : page.records) {
            recordsRead.records.push_back({.offset = record.offset, .data = record.data});
        }
        recordsRead.at = monotonicNow();
        recordsRead.wall = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
        event = std::move(recordsRead);
    } catch (const Platform::PlatformError &) {
        event = Control::EpochsUnavailable{monotonicNow()};
    }
    this->processEvent(event);
}

asio::awaitable<void> Host::appendEpoch(std::string record)
{
    try {
        co_await this->epochLogClient.append(std::move(record));
    } catch (const Platform::PlatformError &) {
        ++this->epochAppendFailures;
    }
    this->processEvent(Control::EpochAppendEnded{monotonicNow()});
}

asio::awaitable<void> Host::pollVmList()
{
    while (!this->stopped) {
        try {
            const auto vms = co_await this->vmListClient.read();
            this->processEvent(toEvent(vms));
        } catch (const Platform::PlatformError &) {
            ++this->vmListFailures;
        }
        this->vmListTimer.expires_after(this->settings.vmListPollInterval);
        boost::system::error_code ignored;
        co_await this->vmListTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void Host::setCounter(const std::string &name,
                      const std::string &help,
                      std::uint64_t total,
                      const Telemetry::Labels &labels)
{
    auto &counter = this->metrics.counter(name, help, labels);
    counter.add(total - counter.value());
}

std::string Host::metricsText()
{
    const auto &counters = this->reducer.counters();
    for (const auto &[result, count] : counters.records) {
        this->setCounter(
            "verbenadock_log_records_total", "Records of the log by what they did.", count, {{"result", result}});
    }
    this->setCounter(
        "verbenadock_retention_gaps_total", "Records that expired before they were read.", counters.retentionGaps);
    this->setCounter(
        "verbenadock_transfers_total", "Bundles from peers.", counters.adoptedTransfers, {{"result", "adopted"}});
    this->setCounter(
        "verbenadock_transfers_total", "Bundles from peers.", counters.refusedTransfers, {{"result", "refused"}});
    this->setCounter(
        "verbenadock_restatements_total", "Versions that were appended to the log again.", counters.restatements);
    this->setCounter("verbenadock_append_failures_total", "Appends without an answer.", this->logAppendFailures);
    this->setCounter(
        "verbenadock_evidence_reports_total", "Evidence reports collected here.", counters.evidenceReports);
    this->setCounter("verbenadock_unsupported_verdicts_total",
                     "Verdicts that waited for a second observer.",
                     counters.unsupportedVerdicts);
    this->setCounter("verbenadock_verdict_messages_total", "Verdict messages from peers.", counters.verdictMessages);
    this->setCounter("verbenadock_vm_list_failures_total", "Failed reads of the VM list.", this->vmListFailures);
    this->setCounter(
        "verbenadock_epoch_append_failures_total", "Appends of key epochs without answer.", this->epochAppendFailures);
    this->setCounter("verbenadock_skipped_messages_total",
                     "Messages that were not understood.",
                     this->peers.counters().skippedMessages + this->entryLink.skippedMessages());
    this->setCounter(
        "verbenadock_refused_hellos_total", "Peers that were refused.", this->peers.counters().refusedHellos);
    for (const auto &[side, traffic] :
         {std::pair("peer", this->peerStreamCounters), std::pair("entry", this->entryStreamCounters)}) {
        const auto labels = [side = side](const char *direction) {
            return Telemetry::Labels{{"side", side}, {"direction", direction}};
        };
        this->setCounter(
            "verbenadock_stream_bytes_total", "Bytes on message streams.", traffic->bytesSent, labels("sent"));
        this->setCounter(
            "verbenadock_stream_bytes_total", "Bytes on message streams.", traffic->bytesReceived, labels("received"));
        this->setCounter("verbenadock_stream_overflows_total",
                         "Streams closed by a full queue.",
                         traffic->queueOverflows,
                         {{"side", side}});
    }
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    this->metrics.gauge("verbenadock_process_cpu_seconds", "Processor time of the process.")
        .set(seconds(usage.ru_utime) + seconds(usage.ru_stime));
    this->metrics.gauge("verbenadock_process_peak_resident_bytes", "Peak resident memory of the process.")
        .set(static_cast<double>(usage.ru_maxrss) * 1024);
    this->metrics.gauge("verbenadock_live_members", "Members that are not dead.")
        .set(static_cast<double>(this->reducer.liveMembers()));
    return this->metrics.prometheusText();
}

} // namespace Verbenadock::Agent
