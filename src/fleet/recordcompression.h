#ifndef VERBENADOCK_FLEET_RECORDCOMPRESSION_H
#define VERBENADOCK_FLEET_RECORDCOMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Fleet::internal {

/// Maximum size in bytes of a record that can be restored. Bounds the memory that damaged bytes can take.
inline constexpr std::size_t MaxRecordBytes = 8 * 1024 * 1024;

/// Compresses the data of a record. Restoring it takes the same base, which may be empty; the more of the data the base
/// contains, the shorter is the result. Throws CompressionError if the data cannot be compressed.
std::string compressRecord(std::string_view data, std::string_view base);

/// Restores the data of a record. Empty if the bytes are damaged, were compressed against another base, or hold more
/// than MaxRecordBytes.
std::optional<std::string> restoreRecord(std::string_view compressed, std::string_view base);

} // namespace Verbenadock::Fleet::internal

#endif
