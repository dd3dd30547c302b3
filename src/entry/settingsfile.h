#ifndef VERBENADOCK_ENTRY_SETTINGSFILE_H
#define VERBENADOCK_ENTRY_SETTINGSFILE_H

#include "verbenadock/settings/settings.h"

#include <compare>
#include <string>
#include <vector>

namespace Verbenadock::Entry {

/// A settings file as it was read at one time.
struct SettingsFile
{
    std::string path;
    std::string text;
    Settings::EntrySettings settings;
    /// Fields that the platform left unfilled; the defaults of their settings hold.
    std::vector<std::string> unfilledFields;

    auto operator<=>(const SettingsFile &) const = default;
};

/// Throws Settings::InvalidSettings if the text is not valid.
SettingsFile parseSettingsFile(const std::string &path, const std::string &text);

/// Logs a warning for each field that was left unfilled.
void logUnfilledFields(const SettingsFile &file);

} // namespace Verbenadock::Entry

#endif
