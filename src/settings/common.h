#ifndef VERBENADOCK_SETTINGS_COMMON_H
#define VERBENADOCK_SETTINGS_COMMON_H

#include "verbenadock/settings/settings.h"
#include "verbenadock/toml/tablereader.h"

#include <functional>
#include <string>
#include <vector>

namespace Verbenadock::Settings::internal {

/// Upper limit of the durations in a settings file.
inline constexpr Duration MaxDuration = std::chrono::hours(24);

/// Parses the text and passes the root table to the function. Throws InvalidSettings if either finds a mistake.
void parseDocument(const std::string &toml, const std::function<void(Toml::TableReader &)> &read);

/// Reads [process] and [logging].
void readProcess(Toml::TableReader &root, ProcessSettings &process);

/// Reads [[operators]]: at least two, with distinct names and keys.
void readOperators(Toml::TableReader &root, std::vector<Operator> &operators);

/// A key whose endpoint must differ from those of other keys.
struct EndpointKey
{
    std::string key;
    Endpoint endpoint;
};

/// Reports every key with the same endpoint as an earlier key.
void checkDistinctEndpoints(Toml::TableReader &root, const std::vector<EndpointKey> &keys);

} // namespace Verbenadock::Settings::internal

#endif
