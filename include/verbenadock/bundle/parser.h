#ifndef VERBENADOCK_BUNDLE_PARSER_H
#define VERBENADOCK_BUNDLE_PARSER_H

#include "verbenadock/base/error.h"
#include "verbenadock/bundle/bundle.h"
#include "verbenadock/toml/mistake.h"

#include <string_view>
#include <vector>

namespace Verbenadock::Bundles {

using Mistake = Toml::Mistake;

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
