#ifndef VERBENADOCK_CORE_RANDOM_H
#define VERBENADOCK_CORE_RANDOM_H

#include <cstdint>
#include <random>

namespace Verbenadock::Core::Internal {

/// Seeded random number generator. The results of the standard distributions depend on the library, which would break
/// the replay of recorded sessions, so the two distributions are implemented here.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine(seed)
    {
    }

    /// Uniform in [0, bound).
    std::uint32_t below(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(((this->engine() >> 32U) * bound) >> 32U);
    }

    /// Uniform in [0, 1).
    double fraction()
    {
        constexpr double Scale = 1.0 / 9007199254740992.0;
        return static_cast<double>(this->engine() >> 11U) * Scale;
    }

private:
    std::mt19937_64 engine;
};

} // namespace Verbenadock::Core::Internal

#endif
