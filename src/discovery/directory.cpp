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
    if (this->upstreamsEnd && event.end < *this->upstreamsEnd) {
        // The source has older records than this directory.
        if (!std::exchange(this->ignoresPages, true)) {
            this->addChange(Kind::PageIgnored, {}, event.end, "ends-before-" + std::to_string(*this->upstreamsEnd));
        }
        return;
    }
    this->ignoresPages = false;
    this->isChanged = this->isChanged || !this->upstreamsEnd;
    for (const auto &record : event.records) {
        this->applyRecord(record, event.at);
    }
    if (event.complete) {
        std::set<std::string_view> present;
        for (const auto &record : event.records) {
            present.insert(record.key);
        }
        for (auto &[key, tracked] : this->upstreams) {
            // A record written after the pages were read is newer than the pages.
            if (!present.contains(key) && tracked.offset < event.end) {
                this->removeUpstream(tracked, key, event.end, event.at);
            }
        }
    }
    this->upstreamsEnd = event.end;
}

void Directory::applyRecord(const UpstreamRecord &record, TimePoint now)
{
    const auto [position, isNew] = this->upstreams.try_emplace(record.key);
    auto &tracked = position->second;
    if (!isNew && record.offset <= tracked.offset) {
        return;
    }
    tracked.offset = record.offset;
    if (const auto *entry = std::get_if<UpstreamEntry>(&record.content)) {
        this->applyEntry(tracked, record, *entry);
    } else if (const auto *unreadable = std::get_if<Unreadable>(&record.content)) {
        this->addChange(Kind::RecordUnreadable, record.key, record.offset, unreadable->reason);
        this->isChanged = this->isChanged || tracked.entry;
        tracked.entry.reset();
        tracked.removeAt.reset();
    } else {
        this->removeUpstream(tracked, record.key, record.offset, now);
    }
}

void Directory::applyEntry(TrackedUpstream &tracked, const UpstreamRecord &record, const UpstreamEntry &entry)
{
    tracked.removeAt.reset();
    auto comparable = entry;
    // The remaining warm-up decreases with each heartbeat, which is no change of configuration.
    comparable.remainingWarmUp = tracked.entry ? tracked.entry->remainingWarmUp : entry.remainingWarmUp;
    if (tracked.entry == comparable) {
        return;
    }
    const bool isNewProcess = !tracked.entry || tracked.entry->startedAt != entry.startedAt;
    const auto kind
        = entry.draining ? Kind::UpstreamDraining : (!tracked.entry ? Kind::UpstreamAdded : Kind::UpstreamReplaced);
    this->addChange(kind, record.key, record.offset, isNewProcess ? "new-process" : "changed-entry");
    tracked.entry = entry;
    this->isChanged = true;
}

void Directory::removeUpstream(TrackedUpstream &tracked, const std::string &key, std::uint64_t offset, TimePoint now)
{
    tracked.offset = std::max(tracked.offset, offset);
    if (!tracked.entry || tracked.removeAt) {
        return;
    }
    const bool afterOutage = this->storeRecoveredAt && now - *this->storeRecoveredAt < RemovalHoldWindow;
    if (afterOutage && !tracked.entry->draining) {
        tracked.removeAt = now + RemovalHoldTime;
        this->addChange(Kind::RemovalHeld, key, offset, "store-outage");
        return;
    }
    this->addChange(Kind::UpstreamRemoved, key, offset);
    tracked.entry.reset();
    this->isChanged = true;
}

void Directory::handle(const ConfigurationRead &event)
{
    for (const auto &record : event.records) {
        if (!this->configurationOffset || record.offset > *this->configurationOffset) {
            this->applyConfiguration(record);
        }
    }
    // Records without a configuration advance the offset too. Otherwise a page that holds no other records would be
    // requested again and again.
    this->configurationEnd = std::max(this->configurationEnd, event.end);
}

void Directory::applyConfiguration(const ConfigurationRecord &record)
{
    this->configurationOffset = record.offset;
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
            this->addChange(Kind::UpstreamRemoved, key, tracked.offset, "held-removal-due");
            tracked.entry.reset();
            tracked.removeAt.reset();
            this->isChanged = true;
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
    std::map<std::string, std::vector<Bundles::Upstream>> byService;
    for (const auto &[key, tracked] : this->upstreams) {
        if (tracked.entry && !tracked.entry->draining) {
            byService[tracked.entry->service].push_back(internal::makeUpstream(*tracked.entry));
        }
    }
    for (const auto &service : this->operatorSettings->services) {
        bundle.services.push_back(
            internal::makeService(service, this->allowance, bundle.routes, std::move(byService[service.name])));
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

std::optional<std::uint64_t> Directory::nextUpstreamOffset() const
{
    return this->upstreamsEnd;
}

std::uint64_t Directory::nextConfigurationOffset() const
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
    }
    return earliest;
}

} // namespace Verbenadock::Discovery
