#ifndef VERBENADOCK_AGENT_STATELOG_H
#define VERBENADOCK_AGENT_STATELOG_H

#include "verbenadock/control/agentevent.h"

namespace Verbenadock::Agent {

/// Logs @p change as one line.
void logStateChange(const Control::AgentStateChange &change);

} // namespace Verbenadock::Agent

#endif
