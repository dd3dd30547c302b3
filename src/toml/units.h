#ifndef VERBENADOCK_TOML_UNITS_H
#define VERBENADOCK_TOML_UNITS_H

#include "verbenadock/base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Toml::internal {

/// "250 ms", "2 s", "5 min"; nothing when the text is no duration or too long for the type.
std::optional<Duration> parseDuration(std::string_view text);

/// "64 KiB", "1 MiB"; nothing when the text is no size or too large for the type.
std::optional<std::size_t> parseSize(std::string_view text);

/// In the largest unit that fits without remainder.
std::string formatDuration(const Duration &duration);
std::string formatSize(const std::size_t &bytes);

} // namespace Verbenadock::Toml::internal

#endif
