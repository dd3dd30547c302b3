#include "soak/record.h"

#include <chrono>

namespace Verbenadock::Soak {

std::int64_t unixMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace Verbenadock::Soak
