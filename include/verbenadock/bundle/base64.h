#ifndef VERBENADOCK_BUNDLE_BASE64_H
#define VERBENADOCK_BUNDLE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Bundles {

/// Standard alphabet with padding.
std::string encodeBase64(std::string_view bytes);

/// Nothing unless the text is exactly what encodeBase64 returns for some bytes.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace Verbenadock::Bundles

#endif
