#ifndef VERBENADOCK_CONTROL_VERDICTTABLE_H
#define VERBENADOCK_CONTROL_VERDICTTABLE_H

#include "verbenadock/control/message.h"

#include <map>

namespace Verbenadock::Control::internal {

/// The verdicts of all collectors. An upstream is unhealthy while at least one collector reports it as unhealthy.
class VerdictTable
{
public:
    /// Applies a message and appends the changed verdicts. Returns false for a duplicate or outdated message.
    bool apply(TimePoint now, const HealthVerdicts &message, std::vector<UpstreamVerdict> &changes);

    /// Removes verdicts that were not refreshed in time and appends the changed verdicts.
    void expire(TimePoint now, std::vector<UpstreamVerdict> &changes);

    /// Every unhealthy upstream with the age of its oldest verdict.
    std::vector<UpstreamVerdict> unhealthy(TimePoint now) const;

private:
    struct Verdict
    {
        TimePoint since;
        TimePoint refreshed;
    };

    struct Origin
    {
        std::uint64_t sequence = 0;
        TimePoint lastMessageAt;
    };

    /// Removes the matching verdicts and appends the upstreams that became healthy.
    template<typename Condition>
    void removeIf(const Condition &condition, std::vector<UpstreamVerdict> &changes);

    std::map<UpstreamKey, std::map<std::string, Verdict>> verdicts;
    std::map<std::string, Origin> origins;
};

} // namespace Verbenadock::Control::internal

#endif
