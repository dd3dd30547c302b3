#ifndef VERBENADOCK_ENTRY_STATELINES_H
#define VERBENADOCK_ENTRY_STATELINES_H

#include "verbenadock/core/effect.h"
#include "verbenadock/proxy/entryserver.h"

#include <string>

namespace Verbenadock::Entry {

/// Log line of a completed request.
std::string requestLine(const Proxy::RequestReport &report);

/// Whether the change is a health transition that does not involve the floor. With pooled detection such a transition
/// follows the pooled state of the upstream.
bool isPooledTransition(const Core::StateChange &change);

/// Log line of a state change.
std::string stateLine(const Core::StateChange &change);

} // namespace Verbenadock::Entry

#endif
