#ifndef VERBENADOCK_CONTROL_RESTATER_H
#define VERBENADOCK_CONTROL_RESTATER_H

#include "verbenadock/bundle/history.h"
#include "verbenadock/control/agentevent.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbenadock::Control::internal {

/// Decides when this agent appends a version in force again, because its records are about to expire from the log.
///
/// Usage: plan() after each read to the end of the log; append what take() returns at nextDeadline().
class Restater
{
public:
    explicit Restater(std::string vmId);

    /// Plans restatements after a random delay, and cancels those that another agent has made.
    void plan(const Bundles::History &history, const LogRecordsRead &page, std::size_t liveMembers);

    /// Cancels everything, since nothing can be appended while the log is unavailable.
    void cancel();

    /// The records that are due.
    std::vector<std::string> take(const Bundles::History &history, TimePoint now);

    std::optional<TimePoint> nextDeadline() const;

private:
    Duration delay(const std::string &name, std::uint64_t next, std::size_t liveMembers) const;

    std::string vmId;
    /// When to restate, by bundle name.
    std::map<std::string, TimePoint> planned;
    std::map<std::string, TimePoint> lastRestated;
};

} // namespace Verbenadock::Control::internal

#endif
