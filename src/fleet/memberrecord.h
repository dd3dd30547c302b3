#ifndef VERBENADOCK_FLEET_MEMBERRECORD_H
#define VERBENADOCK_FLEET_MEMBERRECORD_H

#include "verbenadock/mesh/message.h"
#include "verbenadock/platform/storeclient.h"

#include <optional>
#include <string>

namespace Verbenadock::Fleet::internal {

/// What a VM writes of itself into the store.
std::string memberValue(const Mesh::Hello &hello);

/// Nothing for a record that names no VM.
std::optional<Mesh::Hello> memberOf(const Platform::KeyedRecord &record);

} // namespace Verbenadock::Fleet::internal

#endif
