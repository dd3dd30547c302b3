#ifndef VERBENADOCK_PROXY_CREDENTIALS_H
#define VERBENADOCK_PROXY_CREDENTIALS_H

#include "httpparser.h"
#include "verbenadock/bundle/customer.h"
#include "verbenadock/proxy/dialect.h"

#include <optional>
#include <vector>

namespace Verbenadock::Proxy::internal {

/// Digest of the key in a request's Authorization field. Empty without a well-formed key: the field must occur once,
/// with the scheme of the dialect and a key of 1 to Bundles::MaxKeyBytes bytes.
std::optional<Bundles::KeyDigest> keyDigest(const std::vector<Field> &fields, const Dialect &dialect);

} // namespace Verbenadock::Proxy::internal

#endif
