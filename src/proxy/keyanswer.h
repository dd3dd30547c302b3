#ifndef VERBENADOCK_PROXY_KEYANSWER_H
#define VERBENADOCK_PROXY_KEYANSWER_H

#include "verbenadock/control/message.h"
#include "verbenadock/keys/event.h"

#include <cstddef>
#include <string>

namespace Verbenadock::Proxy::internal {

/// Largest request body and answer of a request with an idempotency key. Both travel in one message between entries,
/// which is at most 16 MiB.
inline constexpr std::size_t MaxKeyedBytes = std::size_t{8} << 20U;

/// What the sender of a request with an idempotency key gets.
struct KeyAnswer
{
    /// Not NotOwner.
    Control::KeyAnswerKind kind = Control::KeyAnswerKind::Unknown;
    /// An own answer has the status only.
    Keys::StoredAnswer answer;
    /// Why the entry answers by itself.
    std::string reason;
    unsigned retryAfterSeconds = 0;
};

/// The end of captured work.
struct CapturedAnswer
{
    Keys::ExecutionResult result = Keys::ExecutionResult::Unknown;
    KeyAnswer answer;
};

/// A request with an idempotency key, complete, as it is run here or sent to a peer.
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
