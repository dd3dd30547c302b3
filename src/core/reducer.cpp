#include "verbenadock/core/reducer.h"

#include "engine.h"

#include <utility>

namespace Verbenadock::Core {

struct Reducer::State
{
    Internal::Engine engine;
};

Reducer::Reducer(ReducerSettings settings)
    : state(std::make_unique<State>(State{.engine = Internal::Engine(std::move(settings))}))
{
}

Reducer::~Reducer() = default;
Reducer::Reducer(Reducer &&) noexcept = default;
Reducer &Reducer::operator=(Reducer &&) noexcept = default;

Effects Reducer::apply(const Event &event)
{
    return this->state->engine.apply(event);
}

std::optional<TimePoint> Reducer::nextDeadline() const
{
    return this->state->engine.nextDeadline();
}

std::optional<KeyScope> Reducer::keyScope(std::string_view host, std::string_view method, std::string_view target) const
{
    return this->state->engine.keyScope(host, method, target);
}

bool Reducer::isIdempotent(std::string_view host, std::string_view method, std::string_view target) const
{
    return this->state->engine.isIdempotent(host, method, target);
}

bool Reducer::maySend(RequestId request, AttemptId attempt, TimePoint now) const
{
    return this->state->engine.maySend(request, attempt, now);
}

bool Reducer::ready() const
{
    return this->state->engine.ready();
}

std::string Reducer::dump(TimePoint now) const
{
    return this->state->engine.dump(now);
}

std::string Reducer::explain(const RouteQuery &query, TimePoint now) const
{
    return this->state->engine.explain(query, now);
}

} // namespace Verbenadock::Core
