#include "verbenadock/bundle/signature.h"

#include "verbenadock/bundle/base64.h"

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>

#include <array>
#include <memory>

namespace Verbenadock::Bundles {

namespace {

constexpr std::size_t KeyLength = 32;
constexpr std::size_t SignatureLength = 64;

template<auto Function>
struct Deleter
{
    template<typename Type>
    void operator()(Type *object) const
    {
        Function(object);
    }
};

using Key = std::unique_ptr<EVP_PKEY, Deleter<EVP_PKEY_free>>;
using DigestContext = std::unique_ptr<EVP_MD_CTX, Deleter<EVP_MD_CTX_free>>;
using MemoryBio = std::unique_ptr<BIO, Deleter<BIO_free>>;

const unsigned char *unsignedBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

unsigned char *unsignedBytes(std::string &text)
{
    return reinterpret_cast<unsigned char *>(text.data());
}

/// Empty when the text is not the canonical base64 encoding of exactly `length` bytes.
std::string decodeExactly(std::string_view text, std::size_t length)
{
    const auto bytes = decodeBase64(text);
    return bytes && bytes->size() == length ? *bytes : std::string();
}

int rejectPassphrase(char *, int, int, void *)
{
    return -1;
}

Key nativeKey(const PrivateKey &key)
{
    Key native(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, unsignedBytes(key.bytes), key.bytes.size()));
    if (!native) {
        throw SignatureError("the private key is not an Ed25519 key");
    }
    return native;
}

} // namespace

std::string contentDigest(std::string_view content)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned length = 0;
    if (EVP_Digest(content.data(), content.size(), bytes.data(), &length, EVP_sha256(), nullptr) != 1) {
        throw SignatureError("SHA-256 is not available");
    }
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (unsigned index = 0; index < length; ++index) {
        text += Digits[bytes[index] >> 4];
        text += Digits[bytes[index] & 0xf];
    }
    return text;
}

PrivateKey parsePrivateKey(std::string_view pem)
{
    const MemoryBio memory(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
    // Without a callback OpenSSL would prompt for a passphrase on the terminal.
    const Key key(PEM_read_bio_PrivateKey(memory.get(), nullptr, rejectPassphrase, nullptr));
    if (!key || EVP_PKEY_get_base_id(key.get()) != EVP_PKEY_ED25519) {
        throw SignatureError("not an unencrypted Ed25519 private key in PEM format");
    }
    PrivateKey result{.bytes = std::string(KeyLength, '\0')};
    std::size_t length = KeyLength;
    if (EVP_PKEY_get_raw_private_key(key.get(), unsignedBytes(result.bytes), &length) != 1) {
        throw SignatureError("the private key cannot be read");
    }
    return result;
}

std::string generatePrivateKeyPem()
{
    const Key key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
    const MemoryBio memory(BIO_new(BIO_s_mem()));
    if (!key || !memory
        || PEM_write_bio_PrivateKey(memory.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr) != 1) {
        throw SignatureError("cannot generate an Ed25519 key");
    }
    char *data = nullptr;
    const auto length = BIO_get_mem_data(memory.get(), &data);
    return {data, static_cast<std::size_t>(length)};
}

std::string publicKey(const PrivateKey &key)
{
    const auto native = nativeKey(key);
    std::string bytes(KeyLength, '\0');
    std::size_t length = KeyLength;
    if (EVP_PKEY_get_raw_public_key(native.get(), unsignedBytes(bytes), &length) != 1) {
        throw SignatureError("the public key cannot be derived");
    }
    return encodeBase64(bytes);
}

std::string sign(const PrivateKey &key, std::string_view text)
{
    const auto native = nativeKey(key);
    const DigestContext context(EVP_MD_CTX_new());
    std::string signature(SignatureLength, '\0');
    std::size_t length = SignatureLength;
    if (!context || EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, native.get()) != 1
        || EVP_DigestSign(context.get(), unsignedBytes(signature), &length, unsignedBytes(text), text.size()) != 1) {
        throw SignatureError("cannot sign the text");
    }
    return encodeBase64(signature);
}

bool verify(std::string_view publicKeyBase64, std::string_view text, std::string_view signatureBase64)
{
    const auto keyBytes = decodeExactly(publicKeyBase64, KeyLength);
    const auto signature = decodeExactly(signatureBase64, SignatureLength);
    if (keyBytes.empty() || signature.empty()) {
        return false;
    }
    const Key key(
        EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, unsignedBytes(std::string_view(keyBytes)), KeyLength));
    const DigestContext context(EVP_MD_CTX_new());
    return key && context && EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1
           && EVP_DigestVerify(context.get(),
                               unsignedBytes(std::string_view(signature)),
                               signature.size(),
                               unsignedBytes(text),
                               text.size())
                  == 1;
}

} // namespace Verbenadock::Bundles
