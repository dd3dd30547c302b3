#include "requesttable.h"

#include <algorithm>
#include <utility>

namespace Verbenadock::Core::Internal {

const Attempt *Request::find(AttemptId attempt) const
{
    const auto found = std::find_if(this->attempts.begin(), this->attempts.end(), [attempt](const Attempt &candidate) {
        return candidate.id == attempt;
    });
    return found == this->attempts.end() ? nullptr : &*found;
}

Attempt *Request::find(AttemptId attempt)
{
    return const_cast<Attempt *>(std::as_const(*this).find(attempt));
}

std::size_t Request::activeAttempts() const
{
    return static_cast<std::size_t>(
        std::count_if(this->attempts.begin(), this->attempts.end(), [](const Attempt &attempt) {
            return attempt.active;
        }));
}

bool Request::excludes(std::uint32_t upstream) const
{
    const auto from = this->attempts.begin() + static_cast<std::ptrdiff_t>(this->firstExcludingAttempt);
    return std::any_of(from, this->attempts.end(), [upstream](const Attempt &attempt) {
        return attempt.upstream == upstream && attempt.excludesUpstream;
    });
}

bool Request::allAttemptsShed() const
{
    return std::all_of(this->attempts.begin(), this->attempts.end(), [](const Attempt &attempt) {
        return attempt.shed;
    });
}

bool Request::hadStaleConnection() const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(), [](const Attempt &attempt) {
        return attempt.staleConnection;
    });
}

void Request::readmitAfterStaleConnections()
{
    for (auto &attempt : this->attempts) {
        const auto sameUpstream = [&attempt](const Attempt &candidate) {
            return candidate.upstream == attempt.upstream;
        };
        if (attempt.staleConnection && std::count_if(this->attempts.begin(), this->attempts.end(), sameUpstream) == 1) {
            attempt.excludesUpstream = false;
        }
    }
}

std::size_t Request::sentAttempts() const
{
    return static_cast<std::size_t>(
        std::count_if(this->attempts.begin(), this->attempts.end(), [](const Attempt &attempt) {
            return !attempt.unsent;
        }));
}

bool Request::allowsAnotherAttempt() const
{
    return this->maxAttempts == 0 || this->sentAttempts() < this->maxAttempts;
}

bool Request::mayHaveRun() const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(), [](const Attempt &attempt) {
        return !attempt.provenNotRun;
    });
}

std::uint32_t RequestTable::open(RequestId id)
{
    if (this->freeSlots.empty()) {
        this->freeSlots.push_back(static_cast<std::uint32_t>(this->requests.size()));
        this->requests.emplace_back();
    }
    const auto slot = this->freeSlots.back();
    this->freeSlots.pop_back();
    // The memory of the attempts is reused, so that no allocation happens here in steady state.
    auto attempts = std::move(this->requests[slot].attempts);
    attempts.clear();
    this->requests[slot] = Request{};
    this->requests[slot].id = id;
    this->requests[slot].attempts = std::move(attempts);
    this->slotById.emplace(id, slot);
    return slot;
}

std::optional<std::uint32_t> RequestTable::find(RequestId id) const
{
    const auto found = this->slotById.find(id);
    return found == this->slotById.end() ? std::nullopt : std::optional(found->second);
}

Request &RequestTable::at(std::uint32_t slot)
{
    return this->requests[slot];
}

const Request &RequestTable::at(std::uint32_t slot) const
{
    return this->requests[slot];
}

void RequestTable::close(std::uint32_t slot)
{
    this->slotById.erase(this->requests[slot].id);
    this->freeSlots.push_back(slot);
}

std::size_t RequestTable::size() const
{
    return this->slotById.size();
}

std::vector<std::uint32_t> RequestTable::openSlots() const
{
    std::vector<std::pair<RequestId, std::uint32_t>> byId(this->slotById.begin(), this->slotById.end());
    std::sort(byId.begin(), byId.end());
    std::vector<std::uint32_t> result;
    result.reserve(byId.size());
    for (const auto &[id, slot] : byId) {
        result.push_back(slot);
    }
    return result;
}

} // namespace Verbenadock::Core::Internal
