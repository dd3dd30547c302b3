#include "recordcompression.h"

#include "verbenadock/fleet/recordpatches.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace Verbenadock::Fleet::internal {

namespace {

/// Higher levels take many times as long for records of some 100 KB, and save less than a tenth.
constexpr int CompressionLevel = 3;

/// Logarithm of the distance over which equal parts are found, so that it covers a record and its base.
int windowLog(std::size_t bytes)
{
    constexpr int SmallestWindowLog = 18;
    constexpr int LargestWindowLog = 24;
    return std::clamp(static_cast<int>(std::bit_width(bytes)), SmallestWindowLog, LargestWindowLog);
}

std::size_t checked(std::size_t result)
{
    if (ZSTD_isError(result) != 0) {
        throw CompressionError(std::string("record compression: ") + ZSTD_getErrorName(result));
    }
    return result;
}

} // namespace

std::string compressRecord(std::string_view data, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    if (!context) {
        throw CompressionError("record compression: no memory");
    }
    checked(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, CompressionLevel));
    checked(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog(data.size() + base.size())));
    // Restoring with another base has to fail instead of giving other data.
    checked(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1));
    if (!base.empty()) {
        checked(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size()));
    }
    std::string compressed(ZSTD_compressBound(data.size()), '\0');
    compressed.resize(
        checked(ZSTD_compress2(context.get(), compressed.data(), compressed.size(), data.data(), data.size())));
    return compressed;
}

std::optional<std::string> restoreRecord(std::string_view compressed, std::string_view base)
{
    const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    // The values for an unknown size and for an invalid frame exceed the limit, too.
    if (size > MaxRecordBytes) {
        return std::nullopt;
    }
    const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    if (!context
        || (!base.empty() && ZSTD_isError(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size())) != 0)) {
        return std::nullopt;
    }
    std::string data(size, '\0');
    const auto written
        = ZSTD_decompressDCtx(context.get(), data.data(), data.size(), compressed.data(), compressed.size());
    return ZSTD_isError(written) == 0 && written == data.size() ? std::optional(std::move(data)) : std::nullopt;
}

} // namespace Verbenadock::Fleet::internal
