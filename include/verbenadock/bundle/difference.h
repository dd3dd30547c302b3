#ifndef VERBENADOCK_BUNDLE_DIFFERENCE_H
#define VERBENADOCK_BUNDLE_DIFFERENCE_H

#include <string>
#include <string_view>

namespace Verbenadock::Bundles {

/// A text and the name that stands for it in the difference.
struct NamedText
{
    std::string_view name;
    std::string_view text;
};

/// The difference of two texts by lines in unified format with three lines of context; empty when they are equal.
std::string unifiedDifference(const NamedText &before, const NamedText &after);

} // namespace Verbenadock::Bundles

#endif
