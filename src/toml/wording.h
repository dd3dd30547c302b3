#ifndef VERBENADOCK_TOML_WORDING_H
#define VERBENADOCK_TOML_WORDING_H

#include "verbenadock/toml/value.h"

#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Toml::internal {

template<typename Type>
constexpr std::string_view TypeName;
template<>
constexpr std::string_view TypeName<bool> = "true or false";
template<>
constexpr std::string_view TypeName<std::int64_t> = "an integer";
template<>
constexpr std::string_view TypeName<double> = "a number";
template<>
constexpr std::string_view TypeName<std::string> = "text";
template<>
constexpr std::string_view TypeName<Array> = "an array";
template<>
constexpr std::string_view TypeName<Table> = "a table";
template<>
constexpr std::string_view TypeName<DateOrTime> = "a date or time";

/// Name of the value's TOML type for error messages.
std::string_view typeNameOf(const Value &value);

/// Error message such as "expected text, not an integer".
std::string wrongTypeMessage(std::string_view expected, const Value &value);

/// The names in one line of text, separated by commas.
std::string joinNames(const std::vector<std::string> &names);

/// Whether TableReader::readName accepts the text.
bool isName(std::string_view text);

inline constexpr std::string_view NameRule = "use 1 to 64 letters, digits, '.', '-' and '_'";

} // namespace Verbenadock::Toml::internal

#endif
