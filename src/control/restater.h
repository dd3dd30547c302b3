#ifndef VERBENADOCK_CONTROL_RESTATER_H
#define VERBENADOCK_CONTROL_RESTATER_H

#include "verbenadock/bundle/history.h"
#include "verbenadock/control/agentevent.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbenadock::Control::internal {

/// Schedules restatements: appends of versions in force whose records are about to expire from the log.
///
/// Usage: call plan() after each read to the end of the log; append the records of takeDue() at nextDeadline().
class Restater
{
public:
    explicit Restater(std::string vmId);

    /// Schedules restatements after a pseudo-random delay, and cancels those that another agent has already appended.
    void plan(const Bundles::History &history, const LogRecordsRead &page, std::size_t liveMembers);

    /// Cancels all restatements, since nothing can be appended while the log is unavailable.
    void cancel();

    /// Removes and returns the records that are due.
    std::vector<std::string> takeDue(const Bundles::History &history, TimePoint now);

    std::optional<TimePoint> nextDeadline() const;

private:
    Duration delay(const std::string &name, std::uint64_t next, std::size_t liveMembers) const;

    std::string vmId;
    /// Due time of the restatement, by bundle name.
    std::map<std::string, TimePoint> dueTimes;
    std::map<std::string, TimePoint> lastRestated;
};

} // namespace Verbenadock::Control::internal

#endif
