#ifndef VERBENADOCK_SOAK_JUDGE_H
#define VERBENADOCK_SOAK_JUDGE_H

#include "harness/environment.h"
#include "soak/record.h"

#include <string>
#include <vector>

namespace Verbenadock::Soak {

/// One sentence for each promise that was broken. The executions and arrivals are those of the stand-in for upstreams.
std::vector<std::string> brokenPromises(const RunRecord &run, const Test::Json &executions, const Test::Json &arrivals);

} // namespace Verbenadock::Soak

#endif
