#ifndef VERBENADOCK_TELEMETRY_PROMETHEUS_H
#define VERBENADOCK_TELEMETRY_PROMETHEUS_H

#include "verbenadock/telemetry/metrics.h"

#include <string>
#include <string_view>

namespace Verbenadock::Telemetry::internal {

/// Escapes backslashes and line feeds, and on request quotation marks, as label values need.
std::string escaped(std::string_view text, bool escapeQuotationMarks);

/// Labels in the form `{name="value",...}`; empty if there are none.
std::string labelText(const Labels &labels);

/// Shortest decimal text that gives the same number when parsed.
std::string numberText(double number);

} // namespace Verbenadock::Telemetry::internal

#endif
