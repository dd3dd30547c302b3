#ifndef VERBENADOCK_BUNDLE_PARSER_H
#define VERBENADOCK_BUNDLE_PARSER_H

#include "verbenadock/base/error.h"
#include "verbenadock/bundle/bundle.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Bundles {

/// One mistake in a bundle or in a settings file.
struct Mistake
{
    /// Line in the source, counted from 1; 0 when it concerns the whole file.
    std::size_t line = 0;
    /// Dotted key, for example "services.katalog.floor_percent".
    std::string key;
    std::string reason;

    auto operator<=>(const Mistake &) const = default;
};

/// Thrown for a bundle with mistakes; carries all of them.
class InvalidBundle : public Error
{
public:
    explicit InvalidBundle(std::vector<Mistake> mistakes);

    const std::vector<Mistake> &mistakes() const;

private:
    std::vector<Mistake> found;
};

/// Parses and checks a bundle in TOML. Throws InvalidBundle with every mistake, unknown keys included.
Bundle parseBundle(std::string_view toml);

} // namespace Verbenadock::Bundles

#endif
