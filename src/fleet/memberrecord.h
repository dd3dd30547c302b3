#ifndef VERBENADOCK_FLEET_MEMBERRECORD_H
#define VERBENADOCK_FLEET_MEMBERRECORD_H

#include "verbenadock/mesh/message.h"
#include "verbenadock/platform/storeclient.h"

#include <optional>
#include <string>

namespace Verbenadock::Fleet::internal {

/// Encodes the record by which a VM registers in the store.
std::string encodeMember(const Mesh::Hello &hello);

/// Empty for a record that does not describe a VM.
std::optional<Mesh::Hello> decodeMember(const Platform::KeyedRecord &record);

} // namespace Verbenadock::Fleet::internal

#endif
