#ifndef VERBENADOCK_TOML_VALUE_H
#define VERBENADOCK_TOML_VALUE_H

#include "verbenadock/toml/mistake.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Verbenadock::Toml {

struct Value;
struct Member;

using Array = std::vector<Value>;
/// Sorted by key.
using Table = std::vector<Member>;
/// A TOML date or time; the content is dropped, since no key accepts this type.
struct DateOrTime
{
};

/// A parsed TOML value and the line on which it starts.
struct Value
{
    std::size_t line = 0;
    std::variant<bool, std::int64_t, double, std::string, Array, Table, DateOrTime> content;
};

/// A key of a table and its value.
struct Member
{
    std::string key;
    /// Line of the key.
    std::size_t line = 0;
    Value value;
};

/// Parses a document and returns its root table. Parsing stops at the first syntax error, which is added to the
/// mistakes; the result is then empty.
std::optional<Value> parse(std::string_view text, Mistakes &mistakes);

} // namespace Verbenadock::Toml

#endif
