// Member functions of Engine that apply the caps of customers.
#include "engine.h"

#include <algorithm>

namespace Verbenadock::Core::Internal {

namespace {

constexpr unsigned TooManyRequests = 429;

/// Refused callers return within this time, or fraction of the wait, after the time that the hubs stated, so that they
/// do not return together.
constexpr Duration MinReturnSpread = std::chrono::milliseconds(200);
constexpr double ReturnSpread = 0.4;

} // namespace

void Engine::countAndSchedule(std::uint32_t slot)
{
    auto &request = this->requests.at(slot);
    auto &service = this->serviceOf(request);
    const bool isCapped = request.customer && request.customer->requestsPerSecond > 0;
    if (!isCapped || request.counting == Counting::Granted) {
        service.retries.deposit();
        service.hedges.deposit();
    }
    if (request.deadline <= this->now) {
        this->failRequest(slot, RejectionReason::DeadlineExceeded);
        return;
    }
    if (isCapped && request.counting == Counting::Uncapped) {
        request.counting = Counting::Asked;
        request.countedCustomer = request.customer->name;
        this->updateTimer(slot);
        this->effects.emplace_back(
            ReserveAllowance{.request = request.id, .bundle = service.bundle, .customer = request.customer->name});
        return;
    }
    this->schedule(slot);
}

bool Engine::recount(std::uint32_t slot)
{
    auto &request = this->requests.at(slot);
    const bool isCapped = request.customer && request.customer->requestsPerSecond > 0;
    const bool isCounted = request.counting == Counting::Granted;
    const bool keepsCount = isCounted && (!request.customer || request.customer->name == request.countedCustomer);
    if (keepsCount || (!isCounted && !isCapped) || request.sentAttempts() > 0) {
        return false;
    }
    this->returnAllowance(request);
    request.counting = Counting::Uncapped;
    if (isCapped) {
        this->dequeue(slot);
        this->countAndSchedule(slot);
    }
    return isCapped;
}

void Engine::on(const AllowanceDecided &event)
{
    const auto slot = this->requests.find(event.request);
    if (!slot || this->requests.at(*slot).counting != Counting::Asked) {
        return;
    }
    auto &request = this->requests.at(*slot);
    if (event.decision == AllowanceDecided::Decision::Granted) {
        request.counting = Counting::Granted;
        if (!this->serviceOf(request).configured) {
            this->failRequest(*slot, RejectionReason::NotConfigured);
        } else if (!this->endsBeforeShutdown(request, this->now)) {
            this->failRequest(*slot, RejectionReason::ShuttingDown);
        } else {
            this->countAndSchedule(*slot);
        }
        return;
    }
    request.counting = Counting::Refused;
    if (event.decision == AllowanceDecided::Decision::Unknown) {
        this->failRequest(*slot, RejectionReason::AllowanceUnknown);
        return;
    }
    // A caller that returns too early is refused again, so the wait is at least the stated one.
    const auto spread
        = std::max(MinReturnSpread, std::chrono::duration_cast<Duration>(event.retryAfter * ReturnSpread));
    const auto wait = event.retryAfter + std::chrono::duration_cast<Duration>(spread * this->random.fraction());
    this->reject(request.id,
                 TooManyRequests,
                 RejectionReason::CustomerOverCap,
                 std::max(Duration(1), wait),
                 this->rejectionView(request));
    this->closeRequest(*slot);
}

void Engine::returnAllowance(const Request &request)
{
    const bool counts = request.counting == Counting::Asked || request.counting == Counting::Granted;
    if (counts && request.sentAttempts() == 0) {
        this->effects.emplace_back(ReturnAllowance{
            .request = request.id, .bundle = this->serviceOf(request).bundle, .customer = request.countedCustomer});
    }
}

} // namespace Verbenadock::Core::Internal
