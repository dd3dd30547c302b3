#ifndef VERBENADOCK_KEYS_EFFECT_H
#define VERBENADOCK_KEYS_EFFECT_H

#include "verbenadock/base/identifiers.h"
#include "verbenadock/keys/message.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace Verbenadock::Keys {

/// Runs the request here. The host answers it and reports ExecutionEnded exactly once.
struct Execute
{
    RequestId request = 0;

    auto operator<=>(const Execute &) const = default;
};

/// Sends the request to the owner. The host reports ForwardEnded exactly once.
struct Forward
{
    RequestId request = 0;
    EpochMember owner;
    EpochNumber epoch = 0;

    auto operator<=>(const Forward &) const = default;
};

/// Answers with the stored first answer, marked as replayed.
struct Replay
{
    RequestId request = 0;
    StoredAnswer answer;

    auto operator<=>(const Replay &) const = default;
};

enum class Outcome {
    /// Neither this request nor an earlier one with the key ran.
    NotRun,
    /// An earlier request with the key, or this one, may have run.
    Unknown,
};

enum class Reason {
    /// No epoch is known yet.
    NoEpoch,
    OwnerUnreachable,
    /// The connection to the owner broke after the request was sent.
    OwnerLost,
    /// The entry is not the owner under its newest epoch.
    NotOwner,
    EarlierOwnerUnreachable,
    /// An earlier owner has ended, and the key may have run there.
    EarlierOwnerGone,
    /// The key ran, and its answer is not kept.
    AnswerNotKept,
    /// The key ran, and its outcome is unknown.
    OutcomeUnknown,
    /// The earlier request with the same key ended as proved not run.
    ProvedNotRun,
    /// The key was used for other work (status 422).
    KeyReused,
    TableFull,
    Stopping,
};

std::string_view toString(Outcome outcome);
std::string_view toString(Reason reason);

/// Answers without an upstream's answer: 422 for KeyReused, 503 for NotRun, 504 for Unknown.
struct Refuse
{
    RequestId request = 0;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::NoEpoch;
    /// Whether this request itself ran nowhere, so that it may be retried with the same key.
    bool requestNotRun = true;

    auto operator<=>(const Refuse &) const = default;
};

/// Answers a peer that forwarded the request: "not owner, my epoch is N".
struct RefuseForward
{
    RequestId request = 0;
    EpochNumber epoch = 0;

    auto operator<=>(const RefuseForward &) const = default;
};

/// Sends a fence request to a member; the host reports FenceReplied or FenceFailed.
struct SendFence
{
    EpochMember member;
    FenceRequest request;

    auto operator<=>(const SendFence &) const = default;
};

/// Sends the reply on the stream of the fence request; the reply is dropped when that stream is closed.
struct SendFenceReply
{
    FenceReply reply;

    auto operator<=>(const SendFenceReply &) const = default;
};

/// Sends a part of this entry's table; the host reports HandOverEnded.
struct SendHandOver
{
    EpochMember member;
    HandOverPart part;

    auto operator<=>(const SendHandOver &) const = default;
};

/// Answers the sender of a hand-over part that the part was processed.
struct AnswerHandOver
{
    MemberId to;
    std::uint32_t part = 0;
    bool accepted = false;

    auto operator<=>(const AnswerHandOver &) const = default;
};

/// A newer epoch exists: the agent has to read the log or ask its peers.
struct FetchEpochs
{
    EpochNumber epoch = 0;

    auto operator<=>(const FetchEpochs &) const = default;
};

/// The table was handed over as far as possible; the process may exit.
struct StopCompleted
{
    auto operator<=>(const StopCompleted &) const = default;
};

using Effect = std::variant<Execute,
                            Forward,
                            Replay,
                            Refuse,
                            RefuseForward,
                            SendFence,
                            SendFenceReply,
                            SendHandOver,
                            AnswerHandOver,
                            FetchEpochs,
                            StopCompleted>;

using Effects = std::vector<Effect>;

} // namespace Verbenadock::Keys

#endif
