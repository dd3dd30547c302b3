#ifndef VERBENADOCK_BUNDLE_SIGNATURE_H
#define VERBENADOCK_BUNDLE_SIGNATURE_H

#include "verbenadock/base/error.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Bundles {

/// A key cannot be read or a signature cannot be made.
class SignatureError : public Error
{
public:
    using Error::Error;
};

/// SHA-256 in hexadecimal.
std::string contentDigest(std::string_view content);

/// An operator's Ed25519 private key.
struct PrivateKey
{
    /// 32 raw bytes.
    std::string bytes;
};

/// Parses PEM text. Throws SignatureError.
PrivateKey parsePrivateKey(std::string_view pem);

/// Generates a new key and returns its PEM text.
std::string generatePrivateKeyPem();

/// The public key, 32 bytes in base64.
std::string publicKey(const PrivateKey &key);

/// Ed25519 signature in base64.
std::string sign(const PrivateKey &key, std::string_view text);

/// Returns whether the signature (base64) of the text matches the public key (base64).
bool verify(std::string_view publicKeyBase64, std::string_view text, std::string_view signatureBase64);

/// Operator whose signatures are accepted, with the Ed25519 public key in base64.
struct TrustedOperator
{
    std::string name;
    std::string publicKey;

    auto operator<=>(const TrustedOperator &) const = default;
};

} // namespace Verbenadock::Bundles

#endif
