#include "verbenadock/keys/keyreducer.h"

#include "engine.h"

#include <utility>

namespace Verbenadock::Keys {

std::size_t StoredAnswer::bytes() const
{
    auto sum = this->body.size();
    for (const auto &[name, value] : this->headers) {
        sum += name.size() + value.size();
    }
    return sum;
}

std::string_view toString(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not-run" : "unknown";
}

std::string_view toString(Reason reason)
{
    switch (reason) {
    case Reason::NoEpoch:
        return "no-epoch";
    case Reason::OwnerUnreachable:
        return "owner-unreachable";
    case Reason::OwnerLost:
        return "owner-lost";
    case Reason::NotOwner:
        return "not-owner";
    case Reason::EarlierOwnerUnreachable:
        return "earlier-owner-unreachable";
    case Reason::EarlierOwnerGone:
        return "earlier-owner-gone";
    case Reason::AnswerNotKept:
        return "answer-not-kept";
    case Reason::OutcomeUnknown:
        return "outcome-unknown";
    case Reason::ProvedNotRun:
        return "proved-not-run";
    case Reason::KeyReused:
        return "key-reused";
    case Reason::TableFull:
        return "key-table-full";
    case Reason::Stopping:
        return "stopping";
    }
    return "";
}

struct KeyReducer::State
{
    Internal::Engine engine;
};

KeyReducer::KeyReducer(KeySettings settings)
    : state(std::make_unique<State>(State{.engine = Internal::Engine(std::move(settings))}))
{
}

KeyReducer::~KeyReducer() = default;
KeyReducer::KeyReducer(KeyReducer &&) noexcept = default;
KeyReducer &KeyReducer::operator=(KeyReducer &&) noexcept = default;

Effects KeyReducer::apply(const Event &event)
{
    return this->state->engine.apply(event);
}

std::optional<TimePoint> KeyReducer::nextDeadline() const
{
    return this->state->engine.nextDeadline();
}

EpochNumber KeyReducer::confirmedEpoch() const
{
    return this->state->engine.confirmedEpoch();
}

std::string KeyReducer::dump(TimePoint now) const
{
    return this->state->engine.dump(now);
}

} // namespace Verbenadock::Keys
