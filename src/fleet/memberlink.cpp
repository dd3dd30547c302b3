// The part of FleetLink that registers this VM in the store and learns of the others.
#include "memberrecord.h"
#include "verbenadock/fleet/fleetlink.h"
#include "verbenadock/telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>

namespace Verbenadock::Fleet {

namespace asio = boost::asio;

namespace {

using Telemetry::logChange;
using Telemetry::LogLevel;

constexpr Duration StoreTimeout = std::chrono::milliseconds(700);
/// Delay between two attempts to register in the store.
constexpr Duration JoinRetryDelay = std::chrono::seconds(1);
/// Time over which the calls of all VMs are spread after the store returned from an older copy.
constexpr Duration RejoinSpread = std::chrono::seconds(1);

} // namespace

void FleetLink::beginEra(std::uint64_t era)
{
    if (era <= this->checkedEra) {
        return;
    }
    this->checkedEra = era;
    this->sendHeartbeat();
    const auto delay = RejoinSpread * static_cast<double>(std::hash<std::string>()(this->members.self().vm))
                       / static_cast<double>(SIZE_MAX);
    asio::co_spawn(
        this->context,
        [self = this->shared_from_this(), delay]() -> asio::awaitable<void> {
            asio::steady_timer timer(self->context, std::chrono::duration_cast<Duration>(delay));
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            co_await self->joinWithRetries(true);
        },
        asio::detached);
}

asio::awaitable<void> FleetLink::joinWithRetries(bool onlyIfUnregistered)
{
    const Platform::StoreClient store(this->settings.store->endpoint, StoreTimeout);
    while (!this->stopped && !this->leaving) {
        const bool joined = co_await this->join(store, onlyIfUnregistered);
        if (joined) {
            co_return;
        }
        asio::steady_timer timer(this->context, JoinRetryDelay);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> FleetLink::join(const Platform::StoreClient &store, bool onlyIfUnregistered)
{
    const std::string topic(Platform::MembersTopic);
    try {
        const auto &self = this->members.self();
        if (onlyIfUnregistered) {
            const auto registered = co_await store.newest(topic);
            if (std::ranges::any_of(registered.records, [&self](const auto &record) {
                    return internal::decodeMember(record) == self;
                })) {
                co_return true;
            }
        }
        co_await store.append(topic, Platform::joinKeyed(self.vm, internal::encodeMember(self)));
        const auto newest = co_await store.newest(topic);
        for (const auto &record : newest.records) {
            const auto member = internal::decodeMember(record);
            if (member) {
                this->members.update(*member);
            }
        }
    } catch (const Platform::PlatformError &error) {
        logChange(LogLevel::Warning, std::string("membership_join_failed reason=\"") + error.what() + "\"");
        co_return false;
    }
    this->knowsRegistrations = true;
    this->membersChanged();
    logChange(LogLevel::Info, "membership_joined vms=" + std::to_string(this->members.size()));
    this->broadcast(this->members.self());
    co_return true;
}

} // namespace Verbenadock::Fleet
