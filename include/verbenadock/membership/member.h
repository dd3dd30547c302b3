#ifndef VERBENADOCK_MEMBERSHIP_MEMBER_H
#define VERBENADOCK_MEMBERSHIP_MEMBER_H

#include "verbenadock/base/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Verbenadock::Membership {

enum class State {
    Alive,
    Suspect,
    Dead,
};

std::string_view toString(State state);

struct Identity
{
    std::string id;
    std::string address;
    std::string dataCentre;

    auto operator<=>(const Identity &) const = default;
};

/// State of a member in one incarnation. A higher incarnation takes precedence; within an incarnation, Dead takes
/// precedence over Suspect and Suspect over Alive.
struct Update
{
    Identity member;
    std::uint64_t incarnation = 0;
    State state = State::Alive;
    /// The member that raised a suspicion; empty otherwise.
    std::string observer;

    auto operator<=>(const Update &) const = default;
};

/// Heartbeat; the receiver answers with an Ack.
struct Ping
{
    std::uint64_t sequence = 0;
    std::vector<Update> updates;

    auto operator<=>(const Ping &) const = default;
};

struct Ack
{
    std::uint64_t sequence = 0;
    std::vector<Update> updates;

    auto operator<=>(const Ack &) const = default;
};

/// Asks the receiver to probe a third member.
struct ProbeRequest
{
    std::string target;
    std::uint64_t sequence = 0;

    auto operator<=>(const ProbeRequest &) const = default;
};

struct ProbeAnswer
{
    std::string target;
    std::uint64_t sequence = 0;
    bool alive = false;

    auto operator<=>(const ProbeAnswer &) const = default;
};

using Message = std::variant<Ping, Ack, ProbeRequest, ProbeAnswer>;

/// Sends a message to another member; opens a connection if there is none.
struct SendMessage
{
    std::string to;
    Message message;

    auto operator<=>(const SendMessage &) const = default;
};

/// Replaces the connection to a member, because the current one may be stalled while a new one would work.
struct ResetConnection
{
    std::string peer;

    auto operator<=>(const ResetConnection &) const = default;
};

/// Reports that a member joined or returned, or that its state or incarnation changed.
struct MemberChanged
{
    Update update;

    auto operator<=>(const MemberChanged &) const = default;
};

using Effect = std::variant<SendMessage, ResetConnection, MemberChanged>;
using Effects = std::vector<Effect>;

/// A member in the local view, for dumps.
struct MemberReport
{
    Update update;
    /// Time in the current state.
    Duration age{0};
    /// True if the VM list names the member.
    bool listed = false;
    bool neighbour = false;

    auto operator<=>(const MemberReport &) const = default;
};

} // namespace Verbenadock::Membership

#endif
