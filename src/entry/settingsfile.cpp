#include "settingsfile.h"

#include "verbenadock/platform/renderedsettings.h"
#include "verbenadock/telemetry/logging.h"

namespace Verbenadock::Entry {

SettingsFile parseSettingsFile(const std::string &path, const std::string &text)
{
    auto rendered = Platform::dropUnfilledValues(text);
    return {.path = path,
            .text = text,
            .settings = Settings::parseEntrySettings(rendered.text),
            .unfilledFields = std::move(rendered.unfilledFields)};
}

void logUnfilledFields(const SettingsFile &file)
{
    for (const auto &field : file.unfilledFields) {
        Telemetry::logChange(Telemetry::LogLevel::Warning, "settings_value_unfilled field=" + field);
    }
}

} // namespace Verbenadock::Entry
