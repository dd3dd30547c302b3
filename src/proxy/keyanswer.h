#ifndef VERBENADOCK_PROXY_KEYANSWER_H
#define VERBENADOCK_PROXY_KEYANSWER_H

#include "verbenadock/control/message.h"
#include "verbenadock/keys/event.h"

#include <cstddef>
#include <string>

namespace Verbenadock::Proxy::internal {

/// Maximum size in bytes of the body and of the answer of a request with an idempotency key. Entries send each of them
/// in one message, which is at most 16 MiB.
inline constexpr std::size_t MaxKeyedBytes = std::size_t{8} << 20U;

/// The answer to a request with an idempotency key.
struct KeyAnswer
{
    /// Never NotOwner.
    Control::KeyAnswerKind kind = Control::KeyAnswerKind::Unknown;
    /// Has only the status when the entry answers by itself.
    Keys::StoredAnswer answer;
    /// The reason when the entry answers by itself; empty otherwise.
    std::string reason;
    unsigned retryAfterSeconds = 0;
};

/// Result of work whose answer is captured instead of written to a caller.
struct CapturedAnswer
{
    Keys::ExecutionResult result = Keys::ExecutionResult::Unknown;
    KeyAnswer answer;
};

/// A complete request with an idempotency key, to be run here or forwarded to a peer.
struct KeyedWork
{
    Keys::Key key;
    Keys::Fingerprint fingerprint;
    std::string callerAddress;
    std::string requestId;
    std::string head;
    std::string body;
};

} // namespace Verbenadock::Proxy::internal

#endif
