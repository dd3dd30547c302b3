#ifndef VERBENADOCK_BUNDLE_PARSER_H
#define VERBENADOCK_BUNDLE_PARSER_H

#include "verbenadock/base/error.h"
#include "verbenadock/bundle/bundle.h"
#include "verbenadock/toml/mistake.h"

#include <string_view>
#include <vector>

namespace Verbenadock::Bundles {

using Mistake = Toml::Mistake;

/// The bundle is invalid; carries every mistake found.
class InvalidBundle : public Error
{
public:
    explicit InvalidBundle(std::vector<Mistake> mistakes);

    const std::vector<Mistake> &mistakes() const;

private:
    std::vector<Mistake> mistakeList;
};

/// Parses and validates a bundle in TOML. Throws InvalidBundle with all mistakes, including unknown keys.
Bundle parseBundle(std::string_view toml);

} // namespace Verbenadock::Bundles

#endif
