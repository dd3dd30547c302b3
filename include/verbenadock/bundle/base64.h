#ifndef VERBENADOCK_BUNDLE_BASE64_H
#define VERBENADOCK_BUNDLE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Bundles {

/// Encodes with the standard alphabet and padding.
std::string encodeBase64(std::string_view bytes);

/// Returns std::nullopt for text that is not the canonical encoding, the result of encodeBase64 for some bytes.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace Verbenadock::Bundles

#endif
