#ifndef VERBENADOCK_TOML_UNITS_H
#define VERBENADOCK_TOML_UNITS_H

#include "verbenadock/base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Toml::internal {

/// Parses text such as "250 ms", "2 s" or "5 min". Returns nullopt if the text is malformed or the value overflows.
std::optional<Duration> parseDuration(std::string_view text);

/// Parses text such as "64 KiB" or "1 MiB". Returns nullopt if the text is malformed or the value overflows.
std::optional<std::size_t> parseSize(std::string_view text);

/// Formats a quantity in the largest unit that divides it without remainder.
std::string formatDuration(const Duration &duration);
std::string formatSize(const std::size_t &bytes);

} // namespace Verbenadock::Toml::internal

#endif
