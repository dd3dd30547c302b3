#ifndef VERBENADOCK_NET_QUERY_H
#define VERBENADOCK_NET_QUERY_H

#include <map>
#include <string>
#include <string_view>

namespace Verbenadock::Net {

/// The text with all bytes but letters, digits and "-._~" percent-encoded.
std::string percentEncode(std::string_view text);

/// Decoded parameters of a request target, values by name; of equal names the first one counts. Throws NetError when an
/// encoding is invalid.
std::map<std::string, std::string> queryParameters(std::string_view target);

} // namespace Verbenadock::Net

#endif
