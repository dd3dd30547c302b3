#include "verbenadock/bundle/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace Verbenadock::Bundles {

namespace {

const unsigned char *unsignedBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

unsigned char *unsignedBytes(std::string &text)
{
    return reinterpret_cast<unsigned char *>(text.data());
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4, '\0');
    // EVP_EncodeBlock also writes the terminating zero, for which std::string has room.
    EVP_EncodeBlock(unsignedBytes(text), unsignedBytes(bytes), static_cast<int>(bytes.size()));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    if (EVP_DecodeBlock(unsignedBytes(bytes), unsignedBytes(text), static_cast<int>(text.size())) < 0) {
        return std::nullopt;
    }
    const auto padding = static_cast<std::size_t>(
        std::count(text.end() - std::min<std::ptrdiff_t>(2, text.end() - text.begin()), text.end(), '='));
    bytes.resize(bytes.size() - padding);
    // EVP_DecodeBlock accepts spaces and misplaced padding. Only the canonical encoding of a value is accepted.
    return encodeBase64(bytes) == text ? std::optional(std::move(bytes)) : std::nullopt;
}

} // namespace Verbenadock::Bundles
