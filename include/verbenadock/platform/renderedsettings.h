#ifndef VERBENADOCK_PLATFORM_RENDEREDSETTINGS_H
#define VERBENADOCK_PLATFORM_RENDEREDSETTINGS_H

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Platform {

/// A settings file as the platform rendered it, without the lines whose value it left unfilled.
struct RenderedSettings
{
    /// Has as many lines as the file, so that line numbers in error messages hold.
    std::string text;
    /// The fields of the platform that were not filled in, in the order of the file.
    std::vector<std::string> unfilledFields;

    auto operator<=>(const RenderedSettings &) const = default;
};

/// Drops each line of the form `key = {{field}}`: its key has no value, so that the default holds, or the check of the
/// settings reports that a required key is missing.
RenderedSettings dropUnfilledValues(std::string_view text);

} // namespace Verbenadock::Platform

#endif
