#ifndef VERBENADOCK_CORE_SESSION_H
#define VERBENADOCK_CORE_SESSION_H

#include "verbenadock/base/error.h"
#include "verbenadock/core/effect.h"
#include "verbenadock/core/event.h"
#include "verbenadock/core/reducer.h"

#include <string>
#include <string_view>

namespace Verbenadock::Core {

/// A line of a recorded session is invalid.
class SessionError : public Error
{
public:
    using Error::Error;
};

/// One line of JSON without line break. Times are in microseconds; members with default values are omitted.
///
/// Usage: record the settings first, then each event followed by its effects. To replay, parse the settings and the
/// lines that isEventLine() accepts, and apply the events to a new reducer.
std::string toJsonLine(const ReducerSettings &settings);
std::string toJsonLine(const Event &event);
std::string toJsonLine(const Effect &effect);

bool isEventLine(std::string_view line);

/// Inverses of toJsonLine(); throw SessionError.
ReducerSettings parseSettings(std::string_view line);
Event parseEvent(std::string_view line);

} // namespace Verbenadock::Core

#endif
