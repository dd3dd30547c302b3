#ifndef VERBENADOCK_CORE_EVENLOAD_H
#define VERBENADOCK_CORE_EVENLOAD_H

#include <cstdint>
#include <vector>

namespace Verbenadock::Core::Internal {

/// An upstream that may take a request.
struct EvenCandidate
{
    /// Index in the service's upstream pool.
    std::uint32_t upstream = 0;
    /// Slots in use, multiplied by the relative speed of the upstream; greater than zero.
    double slots = 1;
    /// Requests expected to be in flight there now.
    double requests = 0;
    /// Factor for the share of the candidate.
    double preference = 1;
};

/// Random choice among upstreams that makes their load even although their load figures are out of date.
///
/// Usage: clear(), add() the candidates, then choose() below the level() that a number of requests reaches. The memory
/// is reused, so that a choice allocates nothing once the list has its full length.
class EvenLoad
{
public:
    void clear();
    void add(const EvenCandidate &candidate);

    bool empty() const;

    /// Requests per slot of all candidates together; zero without candidates.
    double meanLoad() const;

    /// Level in requests per slot that results when `further` requests fill the least loaded candidates first. Requires
    /// a candidate.
    double level(double further);

    /// Draws a candidate in proportion to its room below the level, times its preference. The fraction is a random
    /// number in [0, 1). Requires a candidate below the level.
    std::uint32_t choose(double level, double fraction) const;

private:
    std::vector<EvenCandidate> candidates;
};

} // namespace Verbenadock::Core::Internal

#endif
