#include "verbenadock/discovery/directory.h"

#include "servicepolicy.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Verbenadock::Discovery {

namespace {

/// Live upstreams whose registrations expired during a store outage register again within about 2 s of its end. A
/// removal that is read in this time is held; a longer hold would send requests to upstreams that have left.
constexpr Duration LapseWindow = std::chrono::milliseconds(2000);
constexpr Duration LongestHold = std::chrono::milliseconds(1500);
/// Registrations expire after three missed heartbeats of 1.5 s. In a shorter outage of a VM's connection to the store,
/// none of them expired.
constexpr Duration ShortestOutage = std::chrono::seconds(2);

using Kind = DirectoryChange::Kind;

} // namespace

std::string_view toString(Kind kind)
{
    switch (kind) {
    case Kind::ConfigurationTaken:
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
    }
    return "unknown";
}

Directory::Directory(RetryAllowance granted)
    : allowance(granted)
{
}

std::vector<DirectoryChange> Directory::apply(const DirectoryEvent &event)
{
    std::visit(
        [this](const auto &specific) {
            this->on(specific);
        },
        event);
    return std::exchange(this->changes, {});
}

void Directory::note(Kind kind, const std::string &subject, std::uint64_t offset, std::string reason)
{
    this->changes.push_back({.kind = kind,
                             .subject = subject,
                             .offset = offset,
                             .version = this->operators ? this->operators->version : 0,
                             .reason = std::move(reason)});
}

void Directory::on(const UpstreamsRead &event)
{
    if (this->upstreamsEnd && event.end < *this->upstreamsEnd) {
        // The source has older records than this directory.
        return;
    }
    this->isChanged = this->isChanged || !this->upstreamsEnd;
    for (const auto &record : event.records) {
        this->take(record, event.at);
    }
    if (event.complete) {
        std::set<std::string_view> present;
        for (const auto &record : event.records) {
            present.insert(record.key);
        }
        for (auto &[key, known] : this->upstreams) {
            // A record written after the pages were read is newer than the pages.
            if (!present.contains(key) && known.offset < event.end) {
                this->remove(known, key, event.end, event.at);
            }
        }
    }
    this->upstreamsEnd = event.end;
}

void Directory::take(const UpstreamRecord &record, TimePoint now)
{
    const auto [position, isNew] = this->upstreams.try_emplace(record.key);
    auto &known = position->second;
    if (!isNew && record.offset <= known.offset) {
        return;
    }
    known.offset = record.offset;
    if (const auto *entry = std::get_if<UpstreamEntry>(&record.content)) {
        this->takeEntry(known, record, *entry);
    } else if (const auto *unreadable = std::get_if<Unreadable>(&record.content)) {
        this->note(Kind::RecordUnreadable, record.key, record.offset, unreadable->reason);
        this->isChanged = this->isChanged || known.entry;
        known.entry.reset();
        known.removeAt.reset();
    } else {
        this->remove(known, record.key, record.offset, now);
    }
}

void Directory::takeEntry(Known &known, const UpstreamRecord &record, const UpstreamEntry &entry)
{
    known.removeAt.reset();
    auto comparable = entry;
    // The remaining warm-up decreases with each heartbeat, which is no change of configuration.
    comparable.warmUpLeft = known.entry ? known.entry->warmUpLeft : entry.warmUpLeft;
    if (known.entry == comparable) {
        return;
    }
    const bool starts = !known.entry || known.entry->startedAt != entry.startedAt;
    const auto kind
        = entry.draining ? Kind::UpstreamDraining : (!known.entry ? Kind::UpstreamAdded : Kind::UpstreamReplaced);
    this->note(kind, record.key, record.offset, starts ? "new-process" : "changed-entry");
    known.entry = entry;
    this->isChanged = true;
}

void Directory::remove(Known &known, const std::string &key, std::uint64_t offset, TimePoint now)
{
    known.offset = std::max(known.offset, offset);
    if (!known.entry || known.removeAt) {
        return;
    }
    const bool afterOutage = this->storeRegainedAt && now - *this->storeRegainedAt < LapseWindow;
    if (afterOutage && !known.entry->draining) {
        known.removeAt = now + LongestHold;
        this->note(Kind::RemovalHeld, key, offset, "store-outage");
        return;
    }
    this->note(Kind::UpstreamRemoved, key, offset);
    known.entry.reset();
    this->isChanged = true;
}

void Directory::on(const ConfigurationRead &event)
{
    const auto &record = event.record;
    if (record.offset < this->configurationEnd) {
        return;
    }
    this->configurationEnd = record.offset + 1;
    const auto *taken = std::get_if<OperatorConfiguration>(&record.content);
    if (taken == nullptr) {
        const auto *unreadable = std::get_if<Unreadable>(&record.content);
        this->note(
            Kind::ConfigurationRefused, {}, record.offset, unreadable != nullptr ? unreadable->reason : "removed");
        return;
    }
    if (this->operators && taken->version <= this->operators->version) {
        if (taken->version < this->operators->version) {
            this->note(Kind::ConfigurationRefused, {}, record.offset, "older-version");
        }
        return;
    }
    this->operators = *taken;
    this->note(Kind::ConfigurationTaken, {}, record.offset);
    this->isChanged = true;
}

void Directory::on(const StoreLost &event)
{
    this->storeLostAt = event.at;
}

void Directory::on(const StoreRegained &event)
{
    if (this->storeLostAt && event.at - *this->storeLostAt >= ShortestOutage) {
        this->storeRegainedAt = event.at;
    }
    this->storeLostAt.reset();
}

void Directory::on(const TimePassed &event)
{
    for (auto &[key, known] : this->upstreams) {
        if (known.removeAt && *known.removeAt <= event.at) {
            this->note(Kind::UpstreamRemoved, key, known.offset, "held-removal-due");
            known.entry.reset();
            known.removeAt.reset();
            this->isChanged = true;
        }
    }
}

bool Directory::changed() const
{
    return this->isChanged && this->operators && this->upstreamsEnd;
}

std::shared_ptr<const Core::Configuration> Directory::configuration()
{
    if (!this->operators || !this->upstreamsEnd) {
        return nullptr;
    }
    this->isChanged = false;
    Bundles::Bundle bundle;
    bundle.name = PlatformBundle;
    bundle.version = this->operators->version;
    bundle.routes = this->operators->routes;
    std::map<std::string, std::vector<Bundles::Upstream>> byService;
    for (const auto &[key, known] : this->upstreams) {
        if (known.entry && !known.entry->draining) {
            byService[known.entry->service].push_back(internal::upstreamOf(*known.entry));
        }
    }
    for (const auto &service : this->operators->services) {
        bundle.services.push_back(
            internal::serviceOf(service, this->allowance, bundle.routes, std::move(byService[service.name])));
    }
    auto result = std::make_shared<Core::Configuration>();
    result->revision = ++this->revision;
    result->bundles.push_back(std::move(bundle));
    return result;
}

const std::optional<OperatorConfiguration> &Directory::operatorConfiguration() const
{
    return this->operators;
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
    for (const auto &[key, known] : this->upstreams) {
        if (known.removeAt && (!earliest || *known.removeAt < *earliest)) {
            earliest = known.removeAt;
        }
    }
    return earliest;
}

} // namespace Verbenadock::Discovery
