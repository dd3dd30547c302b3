#include "bundlesync.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbenadock::Control::internal {

namespace {

constexpr std::size_t MaxRecordsPerRead = 500;
constexpr Duration DigestInterval = std::chrono::seconds(1);
constexpr Duration MaxPollDelay = std::chrono::seconds(5);
constexpr Duration RequestInterval = std::chrono::milliseconds(500);
constexpr Duration DigestAnswerInterval = std::chrono::milliseconds(500);

BundleInForce toMessage(const Bundles::AcceptedVersion &version)
{
    return {.name = version.reference.name,
            .version = version.reference.version,
            .digest = version.reference.digest,
            .content = version.content,
            .records = version.records,
            .offset = version.offset,
            .replaces = version.reference.replaces};
}

Bundles::AcceptedVersion toAccepted(const BundleInForce &bundle)
{
    return {.reference
            = {.name = bundle.name, .version = bundle.version, .replaces = bundle.replaces, .digest = bundle.digest},
            .content = bundle.content,
            .records = bundle.records,
            .offset = bundle.offset};
}

BundleDigest toDigest(const Bundles::AcceptedVersion &version)
{
    return {.name = version.reference.name,
            .version = version.reference.version,
            .digest = version.reference.digest,
            .offset = version.offset};
}

} // namespace

BundleSync::BundleSync(const AgentReducerSettings &settings, AgentCounters &agentCounters, TimePoint now)
    : history(settings.operators)
    , counters(agentCounters)
    , restater(settings.vmId)
    , pollInterval(settings.logPollInterval)
    , pollDelay(settings.logPollInterval)
    , nextRead(now)
    , nextDigest(now + DigestInterval)
{
}

std::vector<std::string> BundleSync::handle(const LogRecordsRead &event, std::size_t liveMembers, AgentEffects &effects)
{
    this->reading = false;
    this->pollDelay = this->pollInterval;
    this->setAvailable(true, effects);
    this->logState.lastContact = event.at;
    if (event.first > this->logState.nextOffset) {
        // Expired records are normal at the first read; peers supply their content. Later they count as a gap.
        this->counters.retentionGaps += this->logState.nextOffset > 0 ? 1 : 0;
        this->logState.nextOffset = event.first;
    }
    std::vector<std::string> changed;
    for (const auto &record : event.records) {
        if (record.offset < this->logState.nextOffset) {
            continue;
        }
        const auto entry = this->history.apply(record.offset, record.data);
        this->logState.nextOffset = record.offset + 1;
        ++this->counters.records[std::string(Bundles::toString(entry.result))];
        if (entry.result == Bundles::RecordResult::InForce) {
            this->recordChange(event.at, entry.reference.name, {}, effects);
            changed.push_back(entry.reference.name);
        }
    }
    // An empty page before the end counts as the end, so that it is not read again without a delay.
    const bool more = this->logState.nextOffset < event.next && !event.records.empty();
    this->logState.readToEnd = this->logState.readToEnd || !more;
    this->nextRead = more ? event.at : event.at + this->pollInterval;
    if (!more) {
        for (const auto &name : this->history.settle()) {
            this->recordChange(event.at, name, {}, effects);
            changed.push_back(name);
        }
        this->restater.plan(this->history, event, liveMembers);
    }
    return changed;
}

void BundleSync::handle(const LogUnavailable &event, AgentEffects &effects)
{
    this->reading = false;
    this->restater.cancel();
    this->setAvailable(false, effects);
    this->nextRead = event.at + this->pollDelay;
    this->pollDelay = std::min(this->pollDelay * 2, MaxPollDelay);
}

void BundleSync::setAvailable(bool available, AgentEffects &effects)
{
    if (!this->availabilityKnown || this->logState.available != available) {
        effects.emplace_back(ReportAgentChange{LogAvailabilityChanged{available}});
    }
    this->availabilityKnown = true;
    this->logState.available = available;
}

void BundleSync::handle(TimePoint now,
                        const std::string &from,
                        const ConfigurationDigest &digest,
                        AgentEffects &effects)
{
    const auto &own = this->history.inForce();
    std::vector<std::string> behind;
    std::vector<std::string> ahead;
    std::size_t sharedBundles = 0;
    for (const auto &remote : digest.bundles) {
        const auto local = own.find(remote.name);
        sharedBundles += local != own.end() ? 1 : 0;
        const std::uint64_t version = local != own.end() ? local->second.reference.version : 0;
        if (version < remote.version) {
            auto &last = this->lastRequested[remote.name];
            if (now - last >= RequestInterval) {
                last = now;
                behind.push_back(remote.name);
            }
        } else if (version > remote.version) {
            ahead.push_back(remote.name);
        }
    }
    if (digest.complete && sharedBundles < own.size()) {
        for (const auto &local : own) {
            const bool listed = std::any_of(digest.bundles.begin(), digest.bundles.end(), [&](const auto &remote) {
                return remote.name == local.first;
            });
            if (!listed) {
                ahead.push_back(local.first);
            }
        }
    }
    if (!behind.empty()) {
        effects.emplace_back(SendToPeer{from, BundleRequest{std::move(behind)}});
    }
    if (!ahead.empty()) {
        // Lists only versions that the peer lacks, so that the peer does not answer with another digest.
        effects.emplace_back(SendToPeer{from, this->digest(ahead, false)});
    }
    const bool onlySummary = digest.bundles.empty() && !digest.complete;
    if (onlySummary && digest.summary != this->summary()
        && now - this->lastDigestAnswers[from] >= DigestAnswerInterval) {
        this->lastDigestAnswers[from] = now;
        effects.emplace_back(SendToPeer{from, this->digest({}, true)});
    }
}

void BundleSync::handle(const std::string &from, const BundleRequest &request, AgentEffects &effects) const
{
    if (request.names.empty()) {
        return;
    }
    // One bundle per message, since the message size is limited.
    for (auto &bundle : this->bundles(request.names)) {
        effects.emplace_back(SendToPeer{from, BundleTransfer{{std::move(bundle)}}});
    }
}

std::vector<std::string> BundleSync::handle(TimePoint now,
                                            const std::string &from,
                                            const BundleTransfer &transfer,
                                            AgentEffects &effects)
{
    std::vector<std::string> changed;
    for (const auto &bundle : transfer.bundles) {
        if (!this->history.adopt(toAccepted(bundle))) {
            ++this->counters.refusedTransfers;
            continue;
        }
        ++this->counters.adoptedTransfers;
        this->recordChange(now, bundle.name, from, effects);
        changed.push_back(bundle.name);
    }
    return changed;
}

void BundleSync::recordChange(TimePoint now, const std::string &name, const std::string &source, AgentEffects &effects)
{
    this->inForceTimes[name] = now;
    this->lastRequested.erase(name);
    const auto &version = this->history.inForce().at(name);
    effects.emplace_back(ReportAgentChange{BundleChanged{.bundle = toDigest(version), .source = source}});
}

void BundleSync::expire(TimePoint now, const std::vector<std::string> &peers, AgentEffects &effects)
{
    if (!this->reading && this->nextRead <= now) {
        this->reading = true;
        effects.emplace_back(ReadLog{.from = this->logState.nextOffset, .limit = MaxRecordsPerRead});
    }
    for (auto &record : this->restater.takeDue(this->history, now)) {
        ++this->counters.restatements;
        effects.emplace_back(AppendLog{std::move(record)});
    }
    if (this->nextDigest <= now) {
        this->nextDigest = now + DigestInterval;
        std::erase_if(this->lastDigestAnswers, [&](const auto &item) {
            return now - item.second >= DigestAnswerInterval;
        });
        for (const auto &peer : peers) {
            effects.emplace_back(SendToPeer{peer, ConfigurationDigest{this->summary(), false, {}}});
        }
    }
}

TimePoint BundleSync::nextDeadline() const
{
    const auto earliest = std::min(this->nextDigest, this->restater.nextDeadline().value_or(this->nextDigest));
    return this->reading ? earliest : std::min(earliest, this->nextRead);
}

std::vector<BundleInForce> BundleSync::bundles(const std::vector<std::string> &names) const
{
    std::vector<BundleInForce> found;
    for (const auto &[name, version] : this->history.inForce()) {
        if (names.empty() || std::find(names.begin(), names.end(), name) != names.end()) {
            found.push_back(toMessage(version));
        }
    }
    return found;
}

ConfigurationDigest BundleSync::digest(const std::vector<std::string> &names, bool complete) const
{
    ConfigurationDigest digest{this->summary(), complete, {}};
    for (const auto &[name, version] : this->history.inForce()) {
        if (complete || std::find(names.begin(), names.end(), name) != names.end()) {
            digest.bundles.push_back(toDigest(version));
        }
    }
    return digest;
}

std::uint64_t BundleSync::summary() const
{
    std::string text;
    for (const auto &[name, version] : this->history.inForce()) {
        text += name + ' ' + std::to_string(version.reference.version) + ' ' + version.reference.digest + '\n';
    }
    return XXH3_64bits(text.data(), text.size());
}

const BundleSync::LogState &BundleSync::log() const
{
    return this->logState;
}

const std::map<std::string, TimePoint> &BundleSync::inForceSince() const
{
    return this->inForceTimes;
}

} // namespace Verbenadock::Control::internal
