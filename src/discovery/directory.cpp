#include "verbenadock/discovery/directory.h"

#include "servicepolicy.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Verbenadock::Discovery {

namespace {

/// Live upstreams whose registrations expired during a store outage register again within about 2 s of its end. A
/// removal that is read in this time is held; a longer hold would send requests to upstreams that have left.
constexpr Duration RemovalHoldWindow = std::chrono::milliseconds(2000);
constexpr Duration RemovalHoldTime = std::chrono::milliseconds(1500);
/// Registrations expire after three missed heartbeats of 1.5 s. A VM that could not reach the store for less than this
/// time saw no such expiry.
constexpr Duration MinOutageDuration = std::chrono::seconds(2);
/// Upstreams that a restored copy does not list yet write their entries again within about 2 s.
constexpr Duration RegistrationTime = std::chrono::seconds(2);
/// Entries of a restored copy whose upstreams are gone expire after three heartbeats of 1.5 s.
constexpr Duration OutdatedEntryLifetime = std::chrono::seconds(6);

using Kind = DirectoryChange::Kind;

} // namespace

std::string_view toString(Kind kind)
{
    switch (kind) {
    case Kind::ConfigurationApplied:
        return "configuration-taken";
    case Kind::ConfigurationRefused:
        return "configuration-refused";
    case Kind::UpstreamAdded:
        return "upstream-added";
    case Kind::UpstreamReplaced:
        return "upstream-replaced";
    case Kind::UpstreamDraining:
        return "upstream-draining";
    case Kind::UpstreamRemoved:
        return "upstream-removed";
    case Kind::RemovalHeld:
        return "removal-held";
    case Kind::RecordUnreadable:
        return "record-unreadable";
    case Kind::PageIgnored:
        return "page-ignored";
    case Kind::EraBegun:
        return "era-begun";
    case Kind::OutdatedEntryKept:
        return "outdated-entry";
    }
    return "unknown";
}

Directory::Directory(RetryAllowance retryAllowance)
    : allowance(retryAllowance)
{
}

std::vector<DirectoryChange> Directory::apply(const DirectoryEvent &event)
{
    std::visit(
        [this](const auto &specific) {
            this->handle(specific);
        },
        event);
    return std::exchange(this->changes, {});
}

void Directory::addChange(Kind kind, const std::string &subject, std::uint64_t offset, std::string reason)
{
    this->changes.push_back({.kind = kind,
                             .subject = subject,
                             .offset = offset,
                             .version = this->operatorSettings ? this->operatorSettings->version : 0,
                             .reason = std::move(reason)});
}

void Directory::handle(const UpstreamsRead &event)
{
    const bool isNewEra = this->upstreamsEnd && event.end.era > this->upstreamsEnd->era;
    if (this->upstreamsEnd && (event.end < *this->upstreamsEnd || (isNewEra && !event.complete))) {
        // The source has older records than this directory, or the records before the page are unknown.
        if (!std::exchange(this->ignoresPages, true)) {
            this->addChange(
                Kind::PageIgnored, {}, event.end.offset, "known-end=" + std::to_string(this->upstreamsEnd->offset));
        }
        return;
    }
    this->ignoresPages = false;
    if (isNewEra) {
        this->beginEra(event.end);
    }
    this->isChanged = this->isChanged || !this->upstreamsEnd;
    for (const auto &record : event.records) {
        this->applyRecord(record, event.end.era, event.at);
    }
    if (event.complete) {
        std::set<std::string_view> present;
        for (const auto &record : event.records) {
            present.insert(record.key);
        }
        for (auto &[key, tracked] : this->upstreams) {
            // A record written after the pages were read is newer than the pages.
            if (!present.contains(key) && tracked.next <= event.end) {
                this->removeUpstream(tracked, key, event.end, event.at);
            }
        }
    }
    this->upstreamsEnd = event.end;
}

void Directory::beginEra(const StorePosition &end)
{
    this->addChange(Kind::EraBegun, {}, end.offset, "era=" + std::to_string(end.era));
    for (auto &[key, tracked] : this->upstreams) {
        tracked.isFromEarlierEra = true;
        tracked.outdated.reset();
    }
}

bool Directory::isOutdated(const TrackedUpstream &tracked, const UpstreamEntry &entry)
{
    if (!tracked.isFromEarlierEra || !tracked.lastStatement) {
        return false;
    }
    const Statement statement{.startedAt = entry.startedAt, .sequence = entry.sequence};
    // The known entry itself is outdated if its removal is known.
    return statement < *tracked.lastStatement || (statement == *tracked.lastStatement && !tracked.entry);
}

void Directory::applyRecord(const UpstreamRecord &record, std::uint64_t era, TimePoint now)
{
    const auto [found, isNew] = this->upstreams.try_emplace(record.key);
    auto &tracked = found->second;
    const StorePosition position{.era = era, .offset = record.offset};
    if (!isNew && position < tracked.next) {
        return;
    }
    tracked.next = {.era = era, .offset = record.offset + 1};
    tracked.outdated.reset();
    if (const auto *entry = std::get_if<UpstreamEntry>(&record.content)) {
        if (isOutdated(tracked, *entry)) {
            tracked.outdated
                = OutdatedEntry{.entry = *entry, .offset = record.offset, .useAt = now + OutdatedEntryLifetime};
            this->addChange(Kind::OutdatedEntryKept, record.key, record.offset);
            return;
        }
        this->applyEntry(tracked, record.key, record.offset, *entry);
    } else if (const auto *unreadable = std::get_if<Unreadable>(&record.content)) {
        this->addChange(Kind::RecordUnreadable, record.key, record.offset, unreadable->reason);
        this->isChanged = this->isChanged || tracked.entry;
        tracked.entry.reset();
        tracked.removeAt.reset();
    } else {
        this->removeUpstream(tracked, record.key, tracked.next, now);
    }
}

void Directory::applyEntry(TrackedUpstream &tracked,
                           const std::string &key,
                           std::uint64_t offset,
                           const UpstreamEntry &entry)
{
    tracked.removeAt.reset();
    tracked.isFromEarlierEra = false;
    tracked.lastStatement = Statement{.startedAt = entry.startedAt, .sequence = entry.sequence};
    tracked.wasDraining = entry.draining;
    auto comparable = entry;
    // The remaining warm-up decreases with each heartbeat, which is no change of configuration.
    comparable.remainingWarmUp = tracked.entry ? tracked.entry->remainingWarmUp : entry.remainingWarmUp;
    comparable.sequence = tracked.entry ? tracked.entry->sequence : entry.sequence;
    if (tracked.entry == comparable) {
        return;
    }
    const bool isNewProcess = !tracked.entry || tracked.entry->startedAt != entry.startedAt;
    const auto kind
        = entry.draining ? Kind::UpstreamDraining : (!tracked.entry ? Kind::UpstreamAdded : Kind::UpstreamReplaced);
    this->addChange(kind, key, offset, isNewProcess ? "new-process" : "changed-entry");
    tracked.entry = entry;
    this->isChanged = true;
}

void Directory::removeUpstream(TrackedUpstream &tracked,
                               const std::string &key,
                               const StorePosition &next,
                               TimePoint now)
{
    const bool isMissingInCopy = tracked.next.era < next.era;
    tracked.next = std::max(tracked.next, next);
    tracked.outdated.reset();
    if (!tracked.entry || tracked.removeAt) {
        return;
    }
    const bool afterOutage = this->storeRecoveredAt && now - *this->storeRecoveredAt < RemovalHoldWindow;
    if ((afterOutage || isMissingInCopy) && !tracked.entry->draining) {
        tracked.removeAt = now + (isMissingInCopy ? RegistrationTime : RemovalHoldTime);
        this->addChange(Kind::RemovalHeld, key, next.offset, isMissingInCopy ? "older-copy" : "store-outage");
        return;
    }
    this->addChange(Kind::UpstreamRemoved, key, next.offset);
    tracked.entry.reset();
    this->isChanged = true;
}

void Directory::handle(const ConfigurationRead &event)
{
    for (const auto &record : event.records) {
        const StorePosition position{.era = event.end.era, .offset = record.offset};
        if (!this->configurationPosition || position > *this->configurationPosition) {
            this->configurationPosition = position;
            this->applyConfiguration(record);
        }
    }
    // Records without a configuration advance the offset too. Otherwise a page that holds no other records would be
    // requested again and again.
    this->configurationEnd = std::max(this->configurationEnd, event.end);
}

void Directory::applyConfiguration(const ConfigurationRecord &record)
{
    const auto *decoded = std::get_if<OperatorConfiguration>(&record.content);
    if (decoded == nullptr) {
        const auto *unreadable = std::get_if<Unreadable>(&record.content);
        this->addChange(
            Kind::ConfigurationRefused, {}, record.offset, unreadable != nullptr ? unreadable->reason : "removed");
        return;
    }
    if (this->operatorSettings && decoded->version <= this->operatorSettings->version) {
        if (decoded->version < this->operatorSettings->version) {
            this->addChange(Kind::ConfigurationRefused, {}, record.offset, "older-version");
        }
        return;
    }
    this->operatorSettings = *decoded;
    this->addChange(Kind::ConfigurationApplied, {}, record.offset);
    this->isChanged = true;
}

void Directory::handle(const StoreLost &event)
{
    this->storeLostAt = event.at;
}

void Directory::handle(const StoreRecovered &event)
{
    if (this->storeLostAt && event.at - *this->storeLostAt >= MinOutageDuration) {
        this->storeRecoveredAt = event.at;
    }
    this->storeLostAt.reset();
}

void Directory::handle(const DeadlineReached &event)
{
    for (auto &[key, tracked] : this->upstreams) {
        if (tracked.removeAt && *tracked.removeAt <= event.at) {
            this->addChange(Kind::UpstreamRemoved, key, tracked.next.offset, "held-removal-due");
            tracked.entry.reset();
            tracked.removeAt.reset();
            this->isChanged = true;
        }
        if (tracked.outdated && tracked.outdated->useAt <= event.at) {
            const auto outdated = *std::exchange(tracked.outdated, std::nullopt);
            // A process that leaves does not come back.
            if (!tracked.wasDraining || outdated.entry.startedAt != tracked.lastStatement->startedAt) {
                this->applyEntry(tracked, key, outdated.offset, outdated.entry);
            }
        }
    }
}

bool Directory::changed() const
{
    return this->isChanged && this->operatorSettings && this->upstreamsEnd;
}

std::shared_ptr<const Core::Configuration> Directory::configuration()
{
    if (!this->operatorSettings || !this->upstreamsEnd) {
        return nullptr;
    }
    this->isChanged = false;
    Bundles::Bundle bundle;
    bundle.name = PlatformBundle;
    bundle.version = this->operatorSettings->version;
    bundle.routes = this->operatorSettings->routes;
    bundle.customers = this->operatorSettings->customers;
    std::map<std::string, std::vector<Bundles::Upstream>> byService;
    for (const auto &[key, tracked] : this->upstreams) {
        if (tracked.entry && !tracked.entry->draining) {
            byService[tracked.entry->service].push_back(internal::makeUpstream(*tracked.entry));
        }
    }
    for (const auto &service : this->operatorSettings->services) {
        bundle.services.push_back(
            internal::makeService(service, this->allowance, bundle, std::move(byService[service.name])));
    }
    auto result = std::make_shared<Core::Configuration>();
    result->revision = ++this->revision;
    result->bundles.push_back(std::move(bundle));
    return result;
}

const std::optional<OperatorConfiguration> &Directory::operatorConfiguration() const
{
    return this->operatorSettings;
}

std::optional<StorePosition> Directory::nextUpstreamPosition() const
{
    return this->upstreamsEnd;
}

StorePosition Directory::nextConfigurationPosition() const
{
    return this->configurationEnd;
}

std::optional<TimePoint> Directory::nextDeadline() const
{
    std::optional<TimePoint> earliest;
    for (const auto &[key, tracked] : this->upstreams) {
        if (tracked.removeAt && (!earliest || *tracked.removeAt < *earliest)) {
            earliest = tracked.removeAt;
        }
        if (tracked.outdated && (!earliest || tracked.outdated->useAt < *earliest)) {
            earliest = tracked.outdated->useAt;
        }
    }
    return earliest;
}

} // namespace Verbenadock::Discovery
