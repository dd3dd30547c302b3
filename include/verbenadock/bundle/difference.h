#ifndef VERBENADOCK_BUNDLE_DIFFERENCE_H
#define VERBENADOCK_BUNDLE_DIFFERENCE_H

#include <string>
#include <string_view>

namespace Verbenadock::Bundles {

/// Text and its name in the header of the difference.
struct NamedText
{
    std::string_view name;
    std::string_view text;
};

/// Line-based difference in unified format with three lines of context; empty when the texts are equal.
std::string unifiedDifference(const NamedText &before, const NamedText &after);

} // namespace Verbenadock::Bundles

#endif
