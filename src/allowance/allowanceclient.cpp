#include "verbenadock/allowance/allowanceclient.h"

#include "parts.h"

#include <algorithm>
#include <utility>

namespace Verbenadock::Allowance {

namespace {

/// Time that a search waits for the answer of one hub, and of all hubs together. The latency between data centres is
/// 3 to 8 ms.
constexpr Duration AnswerTime = std::chrono::milliseconds(50);
constexpr Duration SearchTime = std::chrono::milliseconds(150);
/// The same while the VM starts. Callers would rather wait than be refused for tokens that nobody has lent yet; most of
/// them have a target latency of 0.8 s or more.
constexpr Duration SearchTimeAtStart = std::chrono::milliseconds(500);
/// Pause before all hubs are asked again, and the longest time for which a refusal counts, while the VM starts.
constexpr Duration RepeatTimeAtStart = std::chrono::milliseconds(30);

/// Longest time for which a hub that refused is not asked again for the same customer, because other VMs may return
/// tokens or lend more.
constexpr Duration MaxRefusalTime = std::chrono::milliseconds(200);

/// A hub is silent after this many unanswered requests in a row over this time. Single datagrams are lost, and a hub
/// may be busy for a moment.
constexpr unsigned SilentAfterTimeouts = 3;
constexpr Duration SilentAfterTime = std::chrono::milliseconds(100);
/// Time after which a silent hub is asked again.
constexpr Duration SilentHubPause = std::chrono::seconds(3);

/// Memory of tokens of the own pool that were given to requests. A request that is not sent ends sooner as a rule.
constexpr Duration UsedTokenMemory = std::chrono::seconds(5);

/// Numbers of messages per millisecond of the process's life, so that a restarted process does not take an answer to
/// its predecessor for one to itself.
constexpr std::uint64_t NumbersPerMillisecond = 1000;

} // namespace

AllowanceClient::AllowanceClient(AllowancePool &ownPool, std::string vm, std::uint64_t incarnation)
    : pool(ownPool)
    , ownVm(std::move(vm))
    , ownIncarnation(incarnation)
    , lastNumber(incarnation * NumbersPerMillisecond)
{
}

void AllowanceClient::vmsKnown(TimePoint now)
{
    if (this->loansDueAt == TimePoint::max()) {
        this->loansDueAt = now;
        this->keepsFrom = now + Internal::KeepDelay;
        this->startsUntil = now + Internal::StartTime;
    }
}

void AllowanceClient::setHubs(Hubs newHubs)
{
    this->hubs = std::move(newHubs);
}

AllowanceClient::Update AllowanceClient::capsChanged(TimePoint now)
{
    Update update;
    std::erase_if(this->waiting, [&](const auto &entry) {
        if (this->pool.isCapped(entry.first)) {
            return false;
        }
        for (const auto request : entry.second) {
            update.decisions.push_back({.request = request, .kind = Decision::Kind::Uncapped});
        }
        return true;
    });
    const auto isUncapped = [this](const auto &entry) {
        return !this->pool.isCapped(entry.first);
    };
    std::erase_if(this->searches, [this](const auto &entry) {
        return !this->pool.isCapped(entry.second.customer);
    });
    std::erase_if(this->grantedTokens, isUncapped);
    for (auto &entry : this->hubStates) {
        // A refusal under another cap says nothing about the new one.
        entry.second.refusals.clear();
    }
    // Customers whose caps are new have no tokens at the hubs yet.
    if (this->pool.hasCaps() && now >= this->loansDueAt) {
        this->renewLoans(update, now);
    }
    return update;
}

std::optional<Decision> AllowanceClient::takeToken(RequestId request, Mesh::CustomerNumber customer, TimePoint now)
{
    // Granted tokens expire, those of the own pool remain.
    if (const auto granted = this->grantedTokens.find(customer); granted != this->grantedTokens.end()) {
        auto &tokens = granted->second;
        std::erase_if(tokens, [now](TimePoint expiresAt) {
            return expiresAt <= now;
        });
        if (!tokens.empty()) {
            this->usedTokens[request] = {.customer = customer, .expiresAt = tokens.front(), .usedAt = now};
            tokens.pop_front();
            return Decision{.request = request, .kind = Decision::Kind::GrantedByHub};
        }
    }
    if (this->pool.take(customer, 1, now).tokens > 0) {
        this->usedTokens[request] = {.customer = customer, .expiresAt = std::nullopt, .usedAt = now};
        return Decision{.request = request, .kind = Decision::Kind::GrantedLocally};
    }
    return std::nullopt;
}

void AllowanceClient::serveWaiting(Mesh::CustomerNumber customer, Update &update, TimePoint now)
{
    const auto found = this->waiting.find(customer);
    if (found == this->waiting.end()) {
        return;
    }
    while (!found->second.empty()) {
        const auto decision = this->takeToken(found->second.front(), customer, now);
        if (!decision) {
            break;
        }
        update.decisions.push_back(*decision);
        found->second.pop_front();
    }
    if (found->second.empty()) {
        this->waiting.erase(found);
    }
    this->endSurplusSearches(customer);
}

AllowanceClient::Update AllowanceClient::reserve(RequestId request, Mesh::CustomerNumber customer, TimePoint now)
{
    Update update;
    if (!this->pool.isCapped(customer)) {
        update.decisions.push_back({.request = request, .kind = Decision::Kind::Uncapped});
        return update;
    }
    this->waiting[customer].push_back(request);
    this->serveWaiting(customer, update, now);
    if (this->waiting.contains(customer)) {
        this->startSearch(customer, update, now);
    }
    return update;
}

void AllowanceClient::startSearch(Mesh::CustomerNumber customer, Update &update, TimePoint now)
{
    Search search{.customer = customer,
                  .hubsLeft = this->hubsToAsk(),
                  .endsAt = now + (this->isStarting(now) ? SearchTimeAtStart : SearchTime)};
    if (const auto own = this->pool.take(customer, 0, now); own.retryAfter > Duration(0)) {
        search.dueAt = now + own.retryAfter;
        this->pool.noteRefused(customer, now);
    }
    this->continueSearch(std::move(search), update, now);
}

std::vector<std::string> AllowanceClient::hubsToAsk() const
{
    auto result = this->hubs.local;
    std::erase(result, this->ownVm);
    // Each search begins with another data centre, so that the tokens of all of them are used evenly.
    auto remote = this->hubs.remote;
    if (!remote.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(this->lastNumber % remote.size());
        std::rotate(remote.begin(), remote.begin() + first, remote.end());
    }
    result.insert(result.end(), remote.begin(), remote.end());
    return result;
}

void AllowanceClient::continueSearch(Search search, Update &update, TimePoint now)
{
    while (!search.hubsLeft.empty() && now < search.endsAt) {
        const auto hub = search.hubsLeft.front();
        search.hubsLeft.erase(search.hubsLeft.begin());
        const auto &refusals = this->hubStates[hub].refusals;
        const auto refusal = refusals.find(search.customer);
        if (refusal != refusals.end() && refusal->second.until > now) {
            search.dueAt = std::min(search.dueAt.value_or(TimePoint::max()), refusal->second.dueAt);
            continue;
        }
        if (!this->mayAsk(hub, now)) {
            continue;
        }
        update.messages.push_back({.vm = hub,
                                   .message = Mesh::AllowanceRequest{
                                       .vm = this->ownVm, .number = ++this->lastNumber, .customer = search.customer}});
        search.askedHub = hub;
        search.askedAt = now;
        search.answerDueAt = std::min(now + AnswerTime, search.endsAt);
        this->searches.emplace(this->lastNumber, std::move(search));
        return;
    }
    const auto waitingRequests = this->waiting.find(search.customer);
    if (waitingRequests == this->waiting.end()) {
        return;
    }
    if (this->isStarting(now) && now + RepeatTimeAtStart < search.endsAt) {
        search.hubsLeft = this->hubsToAsk();
        search.askedHub.clear();
        search.answerDueAt = now + RepeatTimeAtStart;
        this->searches.emplace(++this->lastNumber, std::move(search));
        return;
    }
    const auto request = waitingRequests->second.front();
    waitingRequests->second.pop_front();
    if (waitingRequests->second.empty()) {
        this->waiting.erase(waitingRequests);
    }
    update.decisions.push_back({.request = request,
                                .kind = search.dueAt ? Decision::Kind::OverCap : Decision::Kind::Unknown,
                                .retryAfter = search.dueAt ? std::max(Duration(1), *search.dueAt - now) : Duration(0)});
}

void AllowanceClient::abandonAsk(std::map<std::uint64_t, Search>::iterator search)
{
    if (search->second.askedHub.empty()) {
        this->searches.erase(search);
        return;
    }
    this->abandonedAsks.emplace(search->first,
                                AbandonedAsk{.hub = search->second.askedHub, .askedAt = search->second.askedAt});
    this->searches.erase(search);
}

void AllowanceClient::endSurplusSearches(Mesh::CustomerNumber customer)
{
    const auto found = this->waiting.find(customer);
    std::size_t wanted = found == this->waiting.end() ? 0 : found->second.size();
    for (auto search = this->searches.begin(); search != this->searches.end();) {
        const auto current = search++;
        if (current->second.customer != customer) {
            continue;
        }
        if (wanted > 0) {
            --wanted;
        } else {
            this->abandonAsk(current);
        }
    }
}

AllowanceClient::Update AllowanceClient::handle(const Mesh::AllowanceGrant &grant, TimePoint now)
{
    Update update;
    std::optional<Search> search;
    TimePoint askedAt;
    if (const auto found = this->searches.find(grant.number); found != this->searches.end()) {
        search = std::move(found->second);
        this->searches.erase(found);
        askedAt = search->askedAt;
        this->noteAnswer(search->askedHub, update, now);
    } else if (const auto late = this->abandonedAsks.find(grant.number); late != this->abandonedAsks.end()) {
        askedAt = late->second.askedAt;
        this->noteAnswer(late->second.hub, update, now);
        this->abandonedAsks.erase(late);
    } else {
        return update;
    }
    update.roundTrips.push_back(now - askedAt);
    if (!this->pool.isCapped(grant.customer)) {
        return update;
    }
    if (grant.tokens > 0) {
        auto &tokens = this->grantedTokens[grant.customer];
        tokens.insert(tokens.end(), grant.tokens, askedAt + Internal::TokenLifetime);
        this->serveWaiting(grant.customer, update, now);
        const auto found = this->waiting.find(grant.customer);
        // The token may have expired on its way, so that the request still waits.
        if (search && update.decisions.empty() && found != this->waiting.end()) {
            this->continueSearch(std::move(*search), update, now);
            this->endSurplusSearches(grant.customer);
        }
        return update;
    }
    if (!search) {
        return update;
    }
    if (grant.retryAfter > Duration(0)) {
        search->dueAt = std::min(search->dueAt.value_or(TimePoint::max()), now + grant.retryAfter);
        const auto longest = this->isStarting(now) ? RepeatTimeAtStart : MaxRefusalTime;
        this->hubStates[search->askedHub].refusals[grant.customer]
            = {.until = now + std::min(grant.retryAfter, longest), .dueAt = now + grant.retryAfter};
    }
    this->continueSearch(std::move(*search), update, now);
    return update;
}

void AllowanceClient::giveBack(RequestId request, TimePoint now)
{
    if (const auto used = this->usedTokens.find(request); used != this->usedTokens.end()) {
        if (!used->second.expiresAt) {
            this->pool.giveBack(used->second.customer, now);
        } else if (*used->second.expiresAt > now) {
            this->grantedTokens[used->second.customer].push_front(*used->second.expiresAt);
        }
        this->usedTokens.erase(used);
        return;
    }
    for (auto &[customer, requests] : this->waiting) {
        if (std::erase(requests, request) > 0) {
            const auto changed = customer;
            if (requests.empty()) {
                this->waiting.erase(changed);
            }
            this->endSurplusSearches(changed);
            return;
        }
    }
}

AllowanceClient::Update AllowanceClient::advance(TimePoint now)
{
    Update update;
    std::vector<std::uint64_t> overdue;
    for (const auto &[number, search] : this->searches) {
        if (search.answerDueAt <= now) {
            overdue.push_back(number);
        }
    }
    for (const auto number : overdue) {
        const auto found = this->searches.find(number);
        if (found == this->searches.end()) {
            continue;
        }
        auto search = found->second;
        if (!search.askedHub.empty()) {
            this->noteTimeout(search.askedHub, now);
        } else {
            // The own pool may have got tokens meanwhile.
            this->serveWaiting(search.customer, update, now);
            if (!this->searches.contains(number)) {
                continue;
            }
        }
        this->abandonAsk(this->searches.find(number));
        this->continueSearch(std::move(search), update, now);
    }
    std::erase_if(this->abandonedAsks, [now](const auto &entry) {
        return entry.second.askedAt + Internal::TokenLifetime <= now;
    });
    if (now >= this->loansDueAt && this->pool.hasCaps()) {
        this->renewLoans(update, now);
        this->forgetOldTokens(now);
    }
    return update;
}

std::optional<TimePoint> AllowanceClient::nextDeadline() const
{
    std::optional<TimePoint> earliest;
    if (this->pool.hasCaps() && this->loansDueAt != TimePoint::max()) {
        earliest = this->loansDueAt;
    }
    for (const auto &entry : this->searches) {
        earliest = std::min(earliest.value_or(TimePoint::max()), entry.second.answerDueAt);
    }
    return earliest;
}

std::size_t AllowanceClient::waitingCount() const
{
    std::size_t count = 0;
    for (const auto &entry : this->waiting) {
        count += entry.second.size();
    }
    return count;
}

bool AllowanceClient::isStarting(TimePoint now) const
{
    return now < this->startsUntil;
}

bool AllowanceClient::isSilent(const std::string &hub, TimePoint now) const
{
    const auto found = this->hubStates.find(hub);
    return found != this->hubStates.end() && found->second.timeouts >= SilentAfterTimeouts
           && now - found->second.firstTimeoutAt >= SilentAfterTime;
}

bool AllowanceClient::mayAsk(const std::string &hub, TimePoint now) const
{
    return !this->isSilent(hub, now) || now >= this->hubStates.at(hub).askAgainAt;
}

void AllowanceClient::noteAnswer(const std::string &hub, Update &update, TimePoint now)
{
    auto &state = this->hubStates[hub];
    state.timeouts = 0;
    if (!std::exchange(state.hasAnswered, true) && this->isStarting(now) && this->pool.hasCaps()
        && this->loansDueAt != TimePoint::max()) {
        this->renewLoans(update, now);
    }
}

void AllowanceClient::noteTimeout(const std::string &hub, TimePoint now)
{
    if (this->isStarting(now)) {
        return;
    }
    auto &state = this->hubStates[hub];
    if (state.timeouts == 0) {
        state.firstTimeoutAt = now;
    }
    ++state.timeouts;
    state.askAgainAt = now + SilentHubPause;
}

void AllowanceClient::forgetOldTokens(TimePoint now)
{
    std::erase_if(this->usedTokens, [now](const auto &entry) {
        return entry.second.expiresAt.value_or(entry.second.usedAt + UsedTokenMemory) <= now;
    });
}

} // namespace Verbenadock::Allowance
