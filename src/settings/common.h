#ifndef VERBENADOCK_SETTINGS_COMMON_H
#define VERBENADOCK_SETTINGS_COMMON_H

#include "verbenadock/settings/settings.h"
#include "verbenadock/toml/tablereader.h"

#include <functional>
#include <string>
#include <vector>

namespace Verbenadock::Settings::internal {

/// Longest duration that a settings file may give.
inline constexpr Duration LongestDuration = std::chrono::hours(24);

/// Parses the text, lets the function read the root table, and throws InvalidSettings when there was any mistake.
void parseDocument(const std::string &toml, const std::function<void(Toml::TableReader &)> &read);

/// Reads [process] and [logging].
void readProcess(Toml::TableReader &root, ProcessSettings &process);

/// Reads [[operators]]: at least two, with distinct names and keys.
void readOperators(Toml::TableReader &root, std::vector<Operator> &operators);

/// A key that opens a port, to find two of them with the same endpoint.
struct ListenKey
{
    std::string key;
    Endpoint endpoint;
};

/// Reports every endpoint that an earlier key already has.
void checkDistinct(Toml::TableReader &root, const std::vector<ListenKey> &keys);

} // namespace Verbenadock::Settings::internal

#endif
