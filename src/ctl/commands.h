#ifndef VERBENADOCK_CTL_COMMANDS_H
#define VERBENADOCK_CTL_COMMANDS_H

#include "output.h"
#include "verbenadock/core/reducer.h"
#include "verbenadock/settings/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Verbenadock::Ctl {

/// Names a proposal. The digest may be a prefix; it is needed when two proposals have the same version.
struct Selection
{
    std::string name;
    std::uint64_t version = 0;
    std::string digest;
};

/// Each command throws CtlError when it fails.
Output validate(const std::string &file);
Output generateKey(const std::string &file);
Output propose(const Settings::CtlSettings &settings, const std::string &file);
Output signOff(const Settings::CtlSettings &settings, const Selection &selection);
/// A wait of more than 0 seconds asks the fleet until the version is in force everywhere.
Output rollOut(const Settings::CtlSettings &settings, const Selection &selection, unsigned waitSeconds);
Output showHistory(const Settings::CtlSettings &settings, const std::string &name);
/// One version is compared with the version in force, two with each other.
Output showDifference(const Settings::CtlSettings &settings,
                      const std::string &name,
                      const std::vector<std::uint64_t> &versions);
Output showFileDifference(const Settings::CtlSettings &settings, const std::string &file);
Output showStatus(const Settings::CtlSettings &settings);
Output showDump(const std::string &endpoint);
/// Asks the entry with this administration endpoint where the request would go.
Output explain(const std::string &endpoint, const Core::RouteQuery &query);

} // namespace Verbenadock::Ctl

#endif
