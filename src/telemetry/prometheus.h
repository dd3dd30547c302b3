#ifndef VERBENADOCK_TELEMETRY_PROMETHEUS_H
#define VERBENADOCK_TELEMETRY_PROMETHEUS_H

#include "verbenadock/telemetry/metrics.h"

#include <string>
#include <string_view>

namespace Verbenadock::Telemetry::internal {

/// Escapes backslash and line feed, and the quotation mark inside label values.
std::string escaped(std::string_view text, bool quotationMarks);

/// `{name="value",...}`, empty without labels.
std::string labelText(const Labels &labels);

/// Shortest decimal text of the number.
std::string numberText(double number);

} // namespace Verbenadock::Telemetry::internal

#endif
