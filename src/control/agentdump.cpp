#include "agentstate.h"

#include <nlohmann/json.hpp>

namespace Verbenadock::Control {

namespace {

using Json = nlohmann::json;

Json bundlesJson(const internal::BundleSync &bundles, TimePoint now)
{
    Json list = Json::array();
    for (const auto &bundle : bundles.bundles()) {
        list.push_back({{"name", bundle.name},
                        {"version", bundle.version},
                        {"digest", bundle.digest},
                        {"offset", bundle.offset},
                        {"in_force_ms", toMilliseconds(now - bundles.inForceSince().at(bundle.name))}});
    }
    return list;
}

Json logJson(const internal::BundleSync &bundles, TimePoint now)
{
    const auto &log = bundles.log();
    Json json = {{"next_offset", log.nextOffset},
                 {"available", log.available},
                 {"read_to_end", log.readToEnd},
                 {"last_contact_ms", nullptr}};
    if (log.lastContact) {
        json["last_contact_ms"] = toMilliseconds(now - *log.lastContact);
    }
    return json;
}

Json membersJson(const Membership::Detector &membership, TimePoint now)
{
    Json list = Json::array();
    for (const auto &report : membership.report(now)) {
        list.push_back({{"vm", report.update.member.id},
                        {"address", report.update.member.address},
                        {"data_centre", report.update.member.dataCentre},
                        {"incarnation", report.update.incarnation},
                        {"state", Membership::toString(report.update.state)},
                        {"age_ms", toMilliseconds(report.age)},
                        {"listed", report.listed},
                        {"neighbour", report.neighbour}});
    }
    return list;
}

Json epochsJson(const internal::EpochKeeper &keeper)
{
    const auto newest = keeper.epochs().newest();
    Json members = Json::array();
    if (newest) {
        for (const auto &member : newest->members) {
            members.push_back({{"vm", member.vm}, {"incarnation", member.incarnation}, {"address", member.address}});
        }
    }
    return {{"newest", newest ? newest->number : 0},
            {"known", keeper.epochs().epochs().size()},
            {"members", std::move(members)},
            {"pending_members", keeper.pendingMembers()},
            {"next_offset", keeper.nextOffset()},
            {"log_available", keeper.logAvailable()},
            {"appended", keeper.counts().appended},
            {"from_peers", keeper.counts().fromPeers},
            {"late_records", keeper.epochs().lateRecords()},
            {"broken_records", keeper.epochs().brokenRecords()}};
}

Json verdictsJson(const std::vector<UpstreamVerdict> &verdicts)
{
    Json list = Json::array();
    for (const auto &verdict : verdicts) {
        list.push_back({{"bundle", verdict.upstream.bundle},
                        {"service", verdict.upstream.service},
                        {"upstream", verdict.upstream.upstream},
                        {"age_ms", toMilliseconds(verdict.age)}});
    }
    return list;
}

} // namespace

std::string AgentReducer::dump(TimePoint now) const
{
    const auto &current = *this->state;
    const auto &totals = current.counters;
    const Json json = {{"vm", current.settings.vmId},
                       {"data_centre", current.settings.dataCentre},
                       {"incarnation", current.membership.incarnation()},
                       {"ready", this->ready()},
                       {"bundles", bundlesJson(current.bundles, now)},
                       {"log", logJson(current.bundles, now)},
                       {"key_epochs", epochsJson(current.epochs)},
                       {"members", membersJson(current.membership, now)},
                       {"suspects_itself", current.membership.suspectsItself()},
                       {"entry_connected", current.entryConnected},
                       {"leaving_upstreams", current.leavingUpstreams},
                       {"evidence",
                        {{"services", current.pool.services()},
                         {"reports", totals.evidenceReports},
                         {"unsupported_verdicts", totals.unsupportedVerdicts},
                         {"sick", verdictsJson(current.verdicts.unhealthy(now))}}},
                       {"records", totals.records},
                       {"retention_gaps", totals.retentionGaps},
                       {"restatements", totals.restatements},
                       {"adopted_transfers", totals.adoptedTransfers},
                       {"refused_transfers", totals.refusedTransfers}};
    // Names come from other processes; invalid UTF-8 in a name must not make the dump fail.
    return json.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace Verbenadock::Control
