#ifndef VERBENADOCK_TOML_MISTAKE_H
#define VERBENADOCK_TOML_MISTAKE_H

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace Verbenadock::Toml {

/// One mistake in a TOML file.
struct Mistake
{
    /// Line number, counted from 1; 0 for a mistake that concerns the whole file.
    std::size_t line = 0;
    /// Dotted key, for example "services.katalog.floor_percent".
    std::string key;
    std::string reason;

    auto operator<=>(const Mistake &) const = default;
};

using Mistakes = std::vector<Mistake>;

/// Formats the mistakes for people: one line of text each, ordered by line number.
std::string describe(Mistakes mistakes);

} // namespace Verbenadock::Toml

#endif
