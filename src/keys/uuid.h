#ifndef VERBENADOCK_KEYS_UUID_H
#define VERBENADOCK_KEYS_UUID_H

#include "verbenadock/keys/epoch.h"

#include <optional>
#include <string_view>

namespace Verbenadock::Keys::Internal {

/// The timestamp of a UUID of version 7 (RFC 9562); nothing when the text is not such a UUID.
std::optional<WallTime> uuidTime(std::string_view text);

} // namespace Verbenadock::Keys::Internal

#endif
