#ifndef VERBENADOCK_AGENT_STATELOG_H
#define VERBENADOCK_AGENT_STATELOG_H

#include "verbenadock/control/agentevent.h"

namespace Verbenadock::Agent {

/// Writes one log line.
void logStateChange(const Control::AgentStateChange &change);

} // namespace Verbenadock::Agent

#endif
