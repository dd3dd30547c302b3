// The part of StoreFollower that exchanges records with other VMs.
#include "verbenadock/fleet/recordmessages.h"
#include "verbenadock/fleet/storefollower.h"
#include "verbenadock/telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Verbenadock::Fleet {

namespace asio = boost::asio;

namespace {

using Telemetry::logChange;
using Telemetry::LogLevel;

/// Maximum size of a page served to another VM. A VM with a slow link could not receive all of its missing records
/// within the time-out, and would miss even more records at the next try.
constexpr std::size_t MaxRelayedBytes = 16 * 1024;

} // namespace

void StoreFollower::catchUpFrom(const Endpoint &peer,
                                const StorePosition &configurationEnd,
                                const StorePosition &upstreamsEnd)
{
    this->noteConfigurationEnd(configurationEnd);
    const auto fetchMissing = [this, &peer](Topic topic, const StorePosition &end) {
        auto &progress = this->progressOf(topic);
        const auto next = this->nextPosition(topic);
        if (end <= next || progress.fetching || this->stopped) {
            return;
        }
        if (progress.complete && end.era > next.era) {
            // All VMs need all newest records at the same moment, which is too much for the readers.
            progress.restartsFromNewest = true;
            return;
        }
        progress.fetching = true;
        asio::co_spawn(
            this->context,
            [self = this->shared_from_this(), topic, peer, end]() -> asio::awaitable<void> {
                co_await self->fetchUntil(topic, peer, end);
            },
            asio::detached);
    };
    fetchMissing(Topic::Configuration, configurationEnd);
    fetchMissing(Topic::Upstreams, upstreamsEnd);
}

asio::awaitable<void> StoreFollower::fetchUntil(Topic topic, Endpoint peer, StorePosition end)
{
    const auto start = this->nextPosition(topic);
    bool success = true;
    auto before = start;
    do {
        before = this->nextPosition(topic);
        success = co_await this->readFromPeer(topic, peer);
    } while (success && !this->stopped && this->nextPosition(topic) > before && this->nextPosition(topic) < end);
    if (success && !this->stopped && this->nextPosition(topic) < end) {
        // The pages of that VM do not lead to what it has, for whatever reason; all of its records do.
        success = co_await this->readNewest(topic, peer);
    }
    auto &progress = this->progressOf(topic);
    progress.fetching = false;
    // The other VMs may be too busy to serve pages to all VMs that lack them.
    progress.missedEnd = end;
    if (this->nextPosition(topic) < end && progress.idleTimer != nullptr) {
        progress.idleTimer->cancel();
    }
    this->logRelayed(topic, peer, start, success);
}

asio::awaitable<bool> StoreFollower::readFromPeer(Topic topic, Endpoint peer)
{
    if (topic == Topic::Configuration) {
        if (const auto result = co_await this->readPatch(peer); result != PatchResult::Unusable) {
            co_return result == PatchResult::Applied;
        }
    }
    // A full read is avoided where possible: the newest records of all upstreams take about 100 KB in a large
    // deployment, and many VMs ask the same VM at once.
    if (this->progressOf(topic).complete) {
        try {
            this->pagesFromPeers.add();
            const Platform::StoreClient client(peer, PeerTimeout, PeerBodyLimit);
            const auto from = this->nextPosition(topic);
            const auto page = co_await client.read(std::string(nameOf(topic)), from.offset);
            if (page.era == from.era) {
                this->applyPage(topic, from.offset, page, RecordSource::Vm);
                co_return true;
            }
        } catch (const Platform::PlatformError &error) {
            logChange(LogLevel::Info,
                      "store_relay_incomplete topic=" + std::string(nameOf(topic)) + " from=" + toString(peer)
                          + " reason=\"" + error.what() + "\"");
        }
    }
    co_return co_await this->readNewest(topic, peer);
}

asio::awaitable<void> StoreFollower::readFromRandomPeer(Topic topic)
{
    const auto peers = this->handlers.peerEndpoints();
    if (peers.empty() || this->stopped) {
        co_return;
    }
    const auto peer = peers[std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(this->random)];
    const auto before = this->nextPosition(topic);
    const bool success = co_await this->readFromPeer(topic, peer);
    this->logRelayed(topic, peer, before, success);
}

void StoreFollower::logRelayed(Topic topic, const Endpoint &peer, const StorePosition &before, bool success) const
{
    logChange(LogLevel::Info,
              "store_relayed topic=" + std::string(nameOf(topic)) + " from=" + toString(peer)
                  + " success=" + (success ? "true" : "false") + " offset_before=" + std::to_string(before.offset)
                  + " offset_after=" + std::to_string(this->nextPosition(topic).offset));
}

void StoreFollower::applyRecords(const Mesh::StoreRecords &message)
{
    for (const auto topic : {Topic::Configuration, Topic::Upstreams}) {
        if (message.topic != nameOf(topic) || !this->progressOf(topic).complete || this->stopped) {
            continue;
        }
        const auto next = this->nextPosition(topic);
        if (const auto newRecords = followingRecords(message, next)) {
            this->pushedMessages.add();
            this->applyPage(topic, next.offset, *newRecords, RecordSource::Datagram);
        }
    }
}

std::optional<Net::AdminPage> StoreFollower::page(std::string_view target)
{
    if (const auto request = patchRequest(target)) {
        return this->patchPage(*request);
    }
    const auto request = Platform::pageRequest(target);
    const bool isConfiguration
        = request && request->topic == Platform::ConfigurationTopic && this->configurationProgress.complete;
    const bool isUpstreams = request && request->topic == Platform::UpstreamsTopic && this->upstreamsProgress.complete;
    if (!isConfiguration && !isUpstreams) {
        return std::nullopt;
    }
    const auto &records = this->cacheOf(isConfiguration ? Topic::Configuration : Topic::Upstreams);
    if (!request->from) {
        return Platform::newestPage(records.newest());
    }
    auto page = records.recordsFrom(*request->from);
    if (!page) {
        return std::nullopt;
    }
    truncatePage(*page, MaxRelayedBytes);
    return Platform::readPage(*page);
}

} // namespace Verbenadock::Fleet
