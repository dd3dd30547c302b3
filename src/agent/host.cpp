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

// A slow answer of the platform is a failure; the back-off of the reducer starts after it.
constexpr Duration PlatformTimeout = std::chrono::seconds(2);

std::uint64_t startTime()
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
    for (const auto &person : settings.operators) {
        result.operators.push_back({.name = person.name, .publicKey = person.publicKey});
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
    , incarnation(startTime())
    , reducer(reducerSettings(agentSettings, this->incarnation), monotonicNow())
    , logClient(agentSettings.logService, "configuration", PlatformTimeout)
    , epochClient(agentSettings.logService, "key-epochs", PlatformTimeout)
    , vmListClient(agentSettings.vmList, PlatformTimeout)
    , timer(ioContext)
    , vmListTimer(ioContext)
    , peers(ioContext,
            agentSettings.peerListen,
            agentSettings.peerPort,
            this->makeHello(),
            this->peerTraffic,
            {.onHello =
                 [this](const Control::Hello &hello) {
                     this->process(Control::PeerConnected{monotonicNow(), hello});
                 },
             .onMessage =
                 [this](const std::string &peer, Control::Message message) {
                     this->process(Control::PeerMessageReceived{monotonicNow(), peer, std::move(message)});
                 },
             .onGone =
                 [this](const std::string &peer) {
                     this->process(Control::PeerDisconnected{monotonicNow(), peer});
                 }})
    , entry(ioContext,
            agentSettings.entryListen,
            this->makeHello(),
            this->entryTraffic,
            {.onConnected =
                 [this](const Control::Hello &hello) {
                     this->process(Control::EntryConnected{monotonicNow(), hello});
                 },
             .onDisconnected =
                 [this] {
                     this->process(Control::EntryDisconnected{monotonicNow()});
                 },
             .onEvidence =
                 [this](Control::EvidenceReport report) {
                     this->process(Control::EvidenceReceived{monotonicNow(), std::move(report)});
                 },
             .onDrains =
                 [this](Control::DrainNotice notice) {
                     this->process(Control::DrainsReceived{monotonicNow(), std::move(notice)});
                 },
             .onEpochWanted =
                 [this](const Control::KeyEpochRequest &request) {
                     this->process(Control::EpochWanted{monotonicNow(), request.epoch});
                 }})
    , admin(ioContext,
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
        throw Net::NetError("peers.listen has to name the address at which other agents reach this VM, not " + address);
    }
    asio::co_spawn(this->context, this->followVmList(), asio::detached);
    this->process(Control::AgentTimerExpired{monotonicNow()});
}

void Host::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->vmListTimer.cancel();
    this->admin.stop();
    this->entry.stop();
    this->peers.stop();
    // The closed streams release their handlers first. A read of the platform may still wait for its answer.
    asio::post(this->context, [this] {
        this->context.stop();
    });
}

void Host::process(const Control::AgentEvent &event)
{
    if (this->stopped) {
        return;
    }
    for (const auto &effect : this->reducer.apply(event)) {
        std::visit(
            [this](const auto &body) {
                this->carryOut(body);
            },
            effect);
    }
    this->armTimer();
}

void Host::armTimer()
{
    this->timer.expires_after(timeUntil(this->reducer.nextDeadline()));
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->process(Control::AgentTimerExpired{monotonicNow()});
        }
    });
}

void Host::carryOut(const Control::SendToPeer &effect)
{
    this->peers.send(effect.peer, effect.message);
}

void Host::carryOut(const Control::ConnectPeer &effect)
{
    this->peers.connect(effect.peer, effect.address);
}

void Host::carryOut(const Control::DisconnectPeer &effect)
{
    this->peers.disconnect(effect.peer);
}

void Host::carryOut(const Control::SendToEntry &effect)
{
    this->entry.send(effect.message);
}

void Host::carryOut(const Control::ReadLog &effect)
{
    asio::co_spawn(this->context, this->readLog(effect), asio::detached);
}

void Host::carryOut(const Control::AppendLog &effect)
{
    asio::co_spawn(this->context, this->appendLog(effect.data), asio::detached);
}

void Host::carryOut(const Control::ReadEpochs &effect)
{
    asio::co_spawn(this->context, this->readEpochs(effect), asio::detached);
}

void Host::carryOut(const Control::AppendEpoch &effect)
{
    asio::co_spawn(this->context, this->appendEpoch(effect.record), asio::detached);
}

void Host::carryOut(const Control::ReportAgentChange &effect)
{
    logStateChange(effect.change);
}

asio::awaitable<void> Host::readLog(Control::ReadLog request)
{
    Control::AgentEvent event = Control::LogUnavailable{};
    try {
        const auto page = co_await this->logClient.read(request.from, request.limit);
        Control::LogRecordsRead read{.at = {}, .first = page.first, .next = page.end, .records = {}};
        for (const auto &record : page.records) {
            read.records.push_back({.offset = record.offset, .data = record.data});
        }
        read.at = monotonicNow();
        event = std::move(read);
    } catch (const Platform::PlatformError &) {
        event = Control::LogUnavailable{monotonicNow()};
    }
    this->process(event);
}

asio::awaitable<void> Host::appendLog(std::string data)
{
    try {
        co_await this->logClient.append(std::move(data));
    } catch (const Platform::PlatformError &) {
        // The record may be in the log nevertheless. While it is missing, the reducer appends it again later.
        ++this->appendFailures;
    }
}

asio::awaitable<void> Host::readEpochs(Control::ReadEpochs request)
{
    Control::AgentEvent event = Control::EpochsUnavailable{};
    try {
        const auto page = co_await this->epochClient.read(request.from, request.limit);
        Control::EpochRecordsRead read{.at = {}, .wall = {}, .first = page.first, .next = page.end, .records = {}};
        for (const auto &record : page.records) {
            read.records.push_back({.offset = record.offset, .data = record.data});
        }
        read.at = monotonicNow();
        read.wall = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
        event = std::move(read);
    } catch (const Platform::PlatformError &) {
        event = Control::EpochsUnavailable{monotonicNow()};
    }
    this->process(event);
}

asio::awaitable<void> Host::appendEpoch(std::string record)
{
    try {
        co_await this->epochClient.append(std::move(record));
    } catch (const Platform::PlatformError &) {
        ++this->epochAppendFailures;
    }
    this->process(Control::EpochAppendEnded{monotonicNow()});
}

asio::awaitable<void> Host::followVmList()
{
    while (!this->stopped) {
        try {
            const auto vms = co_await this->vmListClient.read();
            this->process(toEvent(vms));
        } catch (const Platform::PlatformError &) {
            ++this->vmListFailures;
        }
        this->vmListTimer.expires_after(this->settings.vmListPollInterval);
        boost::system::error_code ignored;
        co_await this->vmListTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void Host::setTotal(const std::string &name,
                    const std::string &help,
                    std::uint64_t total,
                    const Telemetry::Labels &labels)
{
    auto &counter = this->metrics.counter(name, help, labels);
    counter.add(total - counter.value());
}

std::string Host::metricsText()
{
    const auto &totals = this->reducer.counters();
    for (const auto &[result, count] : totals.records) {
        this->setTotal(
            "verbenadock_log_records_total", "Records of the log by what they did.", count, {{"result", result}});
    }
    this->setTotal(
        "verbenadock_retention_gaps_total", "Records that expired before they were read.", totals.retentionGaps);
    this->setTotal(
        "verbenadock_transfers_total", "Bundles from peers.", totals.adoptedTransfers, {{"result", "adopted"}});
    this->setTotal(
        "verbenadock_transfers_total", "Bundles from peers.", totals.refusedTransfers, {{"result", "refused"}});
    this->setTotal(
        "verbenadock_restatements_total", "Versions that were appended to the log again.", totals.restatements);
    this->setTotal("verbenadock_append_failures_total", "Appends without an answer.", this->appendFailures);
    this->setTotal("verbenadock_evidence_reports_total", "Evidence reports collected here.", totals.evidenceReports);
    this->setTotal("verbenadock_unsupported_verdicts_total",
                   "Verdicts that waited for a second observer.",
                   totals.unsupportedVerdicts);
    this->setTotal("verbenadock_verdict_messages_total", "Verdict messages from peers.", totals.verdictMessages);
    this->setTotal("verbenadock_vm_list_failures_total", "Failed reads of the VM list.", this->vmListFailures);
    this->setTotal(
        "verbenadock_epoch_append_failures_total", "Appends of key epochs without answer.", this->epochAppendFailures);
    this->setTotal("verbenadock_skipped_messages_total",
                   "Messages that were not understood.",
                   this->peers.counters().skippedMessages + this->entry.skippedMessages());
    this->setTotal(
        "verbenadock_refused_hellos_total", "Peers that were refused.", this->peers.counters().refusedHellos);
    for (const auto &[side, traffic] : {std::pair("peer", this->peerTraffic), std::pair("entry", this->entryTraffic)}) {
        const auto labels = [side = side](const char *direction) {
            return Telemetry::Labels{{"side", side}, {"direction", direction}};
        };
        this->setTotal(
            "verbenadock_stream_bytes_total", "Bytes on message streams.", traffic->bytesSent, labels("sent"));
        this->setTotal(
            "verbenadock_stream_bytes_total", "Bytes on message streams.", traffic->bytesReceived, labels("received"));
        this->setTotal("verbenadock_stream_overflows_total",
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
