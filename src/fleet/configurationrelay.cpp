// The part of StoreFollower that exchanges configurations with other VMs as patches.
#include "verbenadock/fleet/recordmessages.h"
#include "verbenadock/fleet/storefollower.h"
#include "verbenadock/net/error.h"
#include "verbenadock/net/httpclient.h"
#include "verbenadock/telemetry/logging.h"

#include <boost/asio/use_awaitable.hpp>

namespace Verbenadock::Fleet {

namespace asio = boost::asio;

namespace {

using Telemetry::logChange;
using Telemetry::LogLevel;

constexpr unsigned Ok = 200;
constexpr unsigned ServiceUnavailable = 503;

} // namespace

std::optional<StorePosition> StoreFollower::configurationPosition() const
{
    const auto *newest = this->configurationRecords.newestOf(std::string(Platform::ConfigurationKey));
    if (newest == nullptr) {
        return std::nullopt;
    }
    return StorePosition{.era = this->configurationRecords.endPosition().era, .offset = newest->offset};
}

void StoreFollower::noteConfigurationEnd(const StorePosition &end)
{
    const auto own = this->nextPosition(Topic::Configuration);
    if (this->newestConfiguration.noteNewestEnd(end, own, monotonicNow()) && this->handlers.configurationSuperseded) {
        this->handlers.configurationSuperseded(true);
    }
}

bool StoreFollower::lacksReplacedRecords(Topic topic) const
{
    const auto &newest = this->newestConfiguration.newestEnd();
    const auto next = this->nextPosition(Topic::Configuration);
    return topic == Topic::Configuration && newest.era == next.era && newest.offset > next.offset + 1;
}

void StoreFollower::announceConfiguration(const std::optional<StorePosition> &previous)
{
    const auto *newest = this->configurationRecords.newestOf(std::string(Platform::ConfigurationKey));
    const bool isNewAndLong = newest != nullptr && this->configurationPosition() != previous && newest->value
                              && newest->value->size() >= MaxRecordMessageBytes;
    if (!isNewAndLong || !previous) {
        return;
    }
    try {
        if (const auto patch = this->configurationPatches.patchFrom(this->configurationRecords, previous)) {
            this->handlers.configurationPatched(*patch);
        }
    } catch (const CompressionError &error) {
        logChange(LogLevel::Warning, std::string("configuration_patch_failed reason=\"") + error.what() + "\"");
    }
}

void StoreFollower::applyPatch(const Mesh::StoreRecordPatch &patch)
{
    if (this->configurationProgress.complete) {
        this->applyPatch(patch, RecordSource::Datagram);
    }
}

bool StoreFollower::applyPatch(const Mesh::StoreRecordPatch &patch, RecordSource source)
{
    auto &progress = this->configurationProgress;
    const StorePosition end{.era = patch.era, .offset = patch.end};
    const auto next = this->nextPosition(Topic::Configuration);
    if (this->stopped || patch.topic != Platform::ConfigurationTopic || patch.offset >= patch.end) {
        return false;
    }
    if (progress.complete && end <= next) {
        return true;
    }
    if (progress.complete && end.era != next.era) {
        // The newest records of a new era are read from the store (catchUpFrom()).
        return false;
    }
    const bool isKnown = progress.complete && patch.offset < next.offset;
    std::vector<Platform::KeyedRecord> records;
    if (!isKnown) {
        auto record = restoredRecord(patch, this->configurationRecords);
        if (!record || record->key != Platform::ConfigurationKey) {
            return false;
        }
        records.push_back(std::move(*record));
    }
    if (source == RecordSource::Datagram) {
        this->pushedMessages.add();
    }
    this->applyRecords(Topic::Configuration, records, end, !progress.complete, source);
    progress.complete = true;
    return true;
}

asio::awaitable<StoreFollower::PatchResult> StoreFollower::readPatch(Endpoint peer)
{
    std::string failure;
    auto result = PatchResult::Unusable;
    try {
        this->pagesFromPeers.add();
        const Net::HttpRequest request{.target
                                       = patchTarget(Platform::ConfigurationTopic, this->configurationPosition())};
        const auto response = co_await Net::fetch(peer, request, PeerTimeout, {.limit = PeerBodyLimit});
        const auto message = response.status == Ok ? Mesh::decode(response.body) : std::nullopt;
        const auto *patch = message ? std::get_if<Mesh::StoreRecordPatch>(&*message) : nullptr;
        if (patch != nullptr && this->applyPatch(*patch, RecordSource::Vm)) {
            result = PatchResult::Applied;
        } else {
            result = response.status == ServiceUnavailable ? PatchResult::Unavailable : PatchResult::Unusable;
            failure = patch != nullptr ? "unusable patch" : "no patch, HTTP status " + std::to_string(response.status);
        }
    } catch (const Net::NetError &error) {
        result = PatchResult::Unavailable;
        failure = error.what();
    }
    if (!failure.empty()) {
        logChange(LogLevel::Info,
                  "store_relay_incomplete topic=" + std::string(Platform::ConfigurationTopic)
                      + " from=" + toString(peer) + " reason=\"" + failure + "\"");
    }
    co_return result;
}

std::optional<Net::AdminPage> StoreFollower::patchPage(const PatchRequest &request)
{
    if (request.topic != Platform::ConfigurationTopic || !this->configurationProgress.complete) {
        return std::nullopt;
    }
    const auto patch = this->configurationPatches.patchFrom(this->configurationRecords, request.base);
    if (patch && !this->patchBudget.take(patch->data.size(), monotonicNow())) {
        return Net::AdminPage{.body = "busy", .status = ServiceUnavailable};
    }
    return patch ? std::optional(Net::AdminPage{.body = Mesh::encode(*patch)}) : std::nullopt;
}

} // namespace Verbenadock::Fleet
