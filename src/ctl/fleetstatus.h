#ifndef VERBENADOCK_CTL_FLEETSTATUS_H
#define VERBENADOCK_CTL_FLEETSTATUS_H

#include "output.h"
#include "verbenadock/bundle/record.h"
#include "verbenadock/settings/settings.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Verbenadock::Ctl {

/// A bundle as a process has it in force.
struct BundleInForce
{
    std::string name;
    std::uint64_t version = 0;
    std::string digest;
    /// Milliseconds since the Unix epoch, or the age in milliseconds.
    std::int64_t inForceMs = 0;
};

/// The answer of one process.
struct ProcessState
{
    std::string role;
    Endpoint endpoint;
    /// Empty when the process answered.
    std::string failure;
    std::vector<BundleInForce> bundles;
};

/// The dump of one process as text. Throws CtlError.
std::string fetchDump(const Endpoint &endpoint);

/// Asks all agents and entries at the same time.
std::vector<ProcessState> askFleet(const Settings::CtlSettings &settings);

/// The processes that do not have this version (or a newer one) in force, one line each.
std::vector<std::string> laggards(const std::vector<ProcessState> &fleet, const Bundles::VersionReference &reference);

/// The table of all processes; versions in force according to the log are by bundle name.
Output fleetReport(const std::vector<ProcessState> &fleet, std::map<std::string, std::uint64_t> expected);

} // namespace Verbenadock::Ctl

#endif
