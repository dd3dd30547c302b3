#ifndef VERBENADOCK_CONTROL_VERDICTTABLE_H
#define VERBENADOCK_CONTROL_VERDICTTABLE_H

#include "verbenadock/control/message.h"

#include <map>

namespace Verbenadock::Control::internal {

/// The verdicts of all collectors. An upstream is sick while one collector says so.
class VerdictTable
{
public:
    /// Applies a message and adds the verdicts that changed. Returns false for a message that was seen before.
    bool apply(TimePoint now, const HealthVerdicts &message, std::vector<UpstreamVerdict> &changes);

    /// Drops the verdicts of collectors that are silent, and adds what changed.
    void expire(TimePoint now, std::vector<UpstreamVerdict> &changes);

    /// Every sick upstream with the age of its oldest verdict.
    std::vector<UpstreamVerdict> sick(TimePoint now) const;

private:
    struct Verdict
    {
        TimePoint since;
        TimePoint refreshed;
    };

    struct Origin
    {
        std::uint64_t sequence = 0;
        TimePoint heard;
    };

    template<typename Condition>
    void drop(const Condition &condition, std::vector<UpstreamVerdict> &changes);

    std::map<UpstreamKey, std::map<std::string, Verdict>> verdicts;
    std::map<std::string, Origin> origins;
};

} // namespace Verbenadock::Control::internal

#endif
