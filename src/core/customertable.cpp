#include "customertable.h"

#include <algorithm>
#include <cstring>

#include <openssl/crypto.h>

namespace Verbenadock::Core::Internal {

namespace {

std::uint64_t prefixOf(const Bundles::KeyDigest &key)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, key.bytes.data(), sizeof(prefix));
    return prefix;
}

} // namespace

CustomerTable::CustomerTable(const std::vector<Bundles::Customer> &customers)
{
    for (const auto &customer : customers) {
        const auto shared = std::make_shared<const Bundles::Customer>(customer);
        for (const auto &key : customer.keys) {
            this->entries.push_back({.prefix = prefixOf(key), .key = key, .customer = shared});
        }
    }
    std::ranges::sort(this->entries, {}, &Entry::prefix);
}

std::shared_ptr<const Bundles::Customer> CustomerTable::find(const Bundles::KeyDigest &key) const
{
    // The search by the first bytes reveals at most these bytes of a known digest. To use them, a caller would have to
    // find keys whose digests begin with chosen bytes, and the remaining 24 bytes are compared in constant time.
    const auto prefix = prefixOf(key);
    std::shared_ptr<const Bundles::Customer> found;
    auto candidate = std::ranges::lower_bound(this->entries, prefix, {}, &Entry::prefix);
    for (; candidate != this->entries.end() && candidate->prefix == prefix; ++candidate) {
        if (CRYPTO_memcmp(candidate->key.bytes.data(), key.bytes.data(), key.bytes.size()) == 0) {
            found = candidate->customer;
        }
    }
    return found;
}

} // namespace Verbenadock::Core::Internal
