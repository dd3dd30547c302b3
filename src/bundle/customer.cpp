#include "verbenadock/bundle/customer.h"

#include "verbenadock/base/error.h"

#include <openssl/evp.h>

namespace Verbenadock::Bundles {

KeyDigest digestOf(std::string_view key)
{
    KeyDigest digest;
    unsigned size = 0;
    if (EVP_Digest(key.data(), key.size(), digest.bytes.data(), &size, EVP_sha256(), nullptr) != 1
        || size != digest.bytes.size()) {
        throw Error("cannot compute a SHA-256 digest");
    }
    return digest;
}

} // namespace Verbenadock::Bundles
