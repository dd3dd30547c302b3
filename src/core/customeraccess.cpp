// Member functions of Engine that check the keys of customers.
#include "engine.h"

namespace Verbenadock::Core::Internal {

void Engine::on(const ConfigurationConfirmed & /*event*/)
{
}

} // namespace Verbenadock::Core::Internal
