#ifndef VERBENADOCK_SOAK_KEYJUDGE_H
#define VERBENADOCK_SOAK_KEYJUDGE_H

#include "harness/environment.h"
#include "soak/record.h"

#include <string>
#include <vector>

namespace Verbenadock::Soak {

/// Adds a sentence for each request that ran with its key visible, for a customer that never held the key, or for one
/// that no longer held it, and for each valid key that was rejected as unknown.
void judgeKeys(const RunRecord &run, const Test::Json &executions, std::vector<std::string> &broken);

} // namespace Verbenadock::Soak

#endif
