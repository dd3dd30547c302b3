// Member functions of Engine that apply the caps of customers.
#include "engine.h"

namespace Verbenadock::Core::Internal {

void Engine::on(const AllowanceDecided & /*event*/)
{
}

} // namespace Verbenadock::Core::Internal
