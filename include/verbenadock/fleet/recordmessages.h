#ifndef VERBENADOCK_FLEET_RECORDMESSAGES_H
#define VERBENADOCK_FLEET_RECORDMESSAGES_H

#include "verbenadock/mesh/message.h"
#include "verbenadock/platform/storeclient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Fleet {

/// Splits new records of a topic into datagrams without a gap between them. Nothing from the first record on that does
/// not fit into one; other VMs read such records as a page.
std::vector<Mesh::StoreRecords> recordMessages(const std::string &vm,
                                               std::string_view topic,
                                               std::uint64_t from,
                                               const Platform::StoredPage &page);

/// The part of the message that follows on the records before `next`; nothing when there is none, or when records
/// between are missing.
std::optional<Platform::StoredPage> followingRecords(const Mesh::StoreRecords &message, std::uint64_t next);

} // namespace Verbenadock::Fleet

#endif
