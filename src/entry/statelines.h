#ifndef VERBENADOCK_ENTRY_STATELINES_H
#define VERBENADOCK_ENTRY_STATELINES_H

#include "verbenadock/core/effect.h"
#include "verbenadock/proxy/entryserver.h"

#include <string>

namespace Verbenadock::Entry {

/// The log line of a request at its end.
std::string requestLine(const Proxy::RequestReport &report);

/// Whether an upstream moved to another stage only because a belief about it changed, and not because of the floor.
bool followsBelief(const Core::StateChange &change);

/// The log line of a state change.
std::string stateLine(const Core::StateChange &change);

} // namespace Verbenadock::Entry

#endif
