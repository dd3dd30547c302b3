#ifndef VERBENADOCK_CORE_CUSTOMERTABLE_H
#define VERBENADOCK_CORE_CUSTOMERTABLE_H

#include "verbenadock/bundle/customer.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Verbenadock::Core::Internal {

/// Finds the customer that holds a key. Immutable once built.
///
/// Usage: construct with the customers of a bundle, then find() for each request.
class CustomerTable
{
public:
    CustomerTable() = default;
    explicit CustomerTable(const std::vector<Bundles::Customer> &customers);

    /// Null when no customer holds the key. The result stays valid without the table. The time does not depend on how
    /// many bytes of the digest equal those of a known key, beyond the first ones.
    std::shared_ptr<const Bundles::Customer> find(const Bundles::KeyDigest &key) const;

private:
    struct Entry
    {
        /// First bytes of the digest.
        std::uint64_t prefix = 0;
        Bundles::KeyDigest key;
        std::shared_ptr<const Bundles::Customer> customer;
    };

    /// Ordered by prefix.
    std::vector<Entry> entries;
};

} // namespace Verbenadock::Core::Internal

#endif
