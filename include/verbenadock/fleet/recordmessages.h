#ifndef VERBENADOCK_FLEET_RECORDMESSAGES_H
#define VERBENADOCK_FLEET_RECORDMESSAGES_H

#include "verbenadock/mesh/message.h"
#include "verbenadock/platform/storeclient.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Fleet {

/// Size of a datagram with records, which leaves room for its other fields in the receive buffer.
inline constexpr std::size_t MaxRecordMessageBytes = 1500;

/// Splits the records of a page from offset `from` on into datagrams without gaps between them. Stops before the first
/// record that is too large for a datagram; other VMs fetch the rest as a page.
std::vector<Mesh::StoreRecords> recordMessages(const std::string &vm,
                                               std::string_view topic,
                                               std::uint64_t from,
                                               const Platform::StoredPage &page);

/// The records of the message from offset `next` on. Empty when the message has none, or when records between `next`
/// and the message are missing.
std::optional<Platform::StoredPage> followingRecords(const Mesh::StoreRecords &message, StorePosition next);

} // namespace Verbenadock::Fleet

#endif
