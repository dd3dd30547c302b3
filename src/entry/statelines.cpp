#include "statelines.h"

namespace Verbenadock::Entry {

namespace {

std::string line(const Core::HealthStateChanged &change)
{
    const auto &key = change.upstream;
    std::string text = "upstream_state bundle=" + key.bundle + " service=" + key.service + " upstream=" + key.upstream;
    text.append(" from=").append(Health::toString(change.transition.from));
    text.append(" to=").append(Health::toString(change.transition.to));
    text.append(" cause=").append(Health::toString(change.transition.cause));
    return text;
}

std::string line(const Core::ConfigurationInForce &change)
{
    return "configuration_in_force revision=" + std::to_string(change.revision)
           + " services=" + std::to_string(change.services) + " routes=" + std::to_string(change.routes);
}

} // namespace

std::string stateLine(const Core::StateChange &change)
{
    return std::visit(
        [](const auto &specific) {
            return line(specific);
        },
        change);
}

} // namespace Verbenadock::Entry
