#include "bundlewatch.h"

#include "harness/fleetsettings.h"
#include "verbenadock/net/error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace Verbenadock::Measure {

namespace {

constexpr Duration RoundInterval = std::chrono::milliseconds(50);
constexpr Duration DumpTimeout = std::chrono::milliseconds(500);
constexpr Duration AppendWindow = std::chrono::seconds(1);

boost::asio::awaitable<void> fetchDump(Endpoint endpoint, std::string &dump)
{
    const Net::HttpRequest request{.target = "/dump"};
    try {
        const auto response = co_await Net::fetch(endpoint, request, DumpTimeout);
        dump = response.body;
    } catch (const Net::NetError &) {
        dump.clear();
    }
}

} // namespace

BundleWatch::BundleWatch(const Test::Fleet &watched)
    : fleet(watched)
    , seen(watched.vms.size())
    , thread([this] {
        this->run();
    })
{
}

BundleWatch::~BundleWatch()
{
    this->stopped = true;
    this->thread.join();
}

void BundleWatch::run()
{
    while (!this->stopped) {
        boost::asio::io_context context;
        std::vector<std::string> dumps(this->fleet.vms.size());
        for (std::size_t vm = 0; vm < dumps.size(); ++vm) {
            boost::asio::co_spawn(
                context, fetchDump(this->fleet.vms[vm].agentAdmin(), dumps[vm]), boost::asio::detached);
        }
        context.run();
        for (std::size_t vm = 0; vm < dumps.size(); ++vm) {
            this->note(vm, dumps[vm]);
        }
        this->noteAppends();
        std::this_thread::sleep_for(RoundInterval);
    }
}

void BundleWatch::note(std::size_t vm, const std::string &dump)
{
    const auto json = Test::Json::parse(dump, nullptr, false);
    // A restarted agent has nothing in force until it has heard of it, which is no step back.
    if (!json.is_object() || json["bundles"].empty()) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    const auto version = json["bundles"][0]["version"].get<std::uint64_t>();
    auto &state = this->seen[vm];
    this->revertCount += version < state.version ? 1 : 0;
    state.version = version;
    state.digest = json["bundles"][0]["digest"];
    state.first.try_emplace(version, monotonicNow());
    this->contents[version].insert(state.digest);
}

void BundleWatch::noteAppends()
{
    const auto count = this->fleet.logState()["appends"].get<std::uint64_t>();
    const std::lock_guard lock(this->mutex);
    this->appends.emplace_back(monotonicNow(), count);
}

void BundleWatch::approve(const std::string &digest)
{
    const std::lock_guard lock(this->mutex);
    this->approved.insert(digest);
}

std::size_t BundleWatch::reached(std::uint64_t version) const
{
    const auto times = this->firstSeen(version);
    return static_cast<std::size_t>(std::ranges::count_if(times, [](const auto &time) {
        return time.has_value();
    }));
}

std::vector<std::optional<TimePoint>> BundleWatch::firstSeen(std::uint64_t version) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::optional<TimePoint>> times;
    for (const auto &state : this->seen) {
        const auto position = state.first.lower_bound(version);
        times.push_back(position == state.first.end() ? std::nullopt : std::optional(position->second));
    }
    return times;
}

std::size_t BundleWatch::holding(const std::string &digest) const
{
    const std::lock_guard lock(this->mutex);
    return static_cast<std::size_t>(std::ranges::count(this->seen, digest, &Seen::digest));
}

std::size_t BundleWatch::reverts() const
{
    const std::lock_guard lock(this->mutex);
    return this->revertCount;
}

std::size_t BundleWatch::diverged() const
{
    const std::lock_guard lock(this->mutex);
    return static_cast<std::size_t>(std::ranges::count_if(this->contents, [](const auto &item) {
        return item.second.size() > 1;
    }));
}

std::size_t BundleWatch::unapproved() const
{
    const std::lock_guard lock(this->mutex);
    std::size_t count = 0;
    for (const auto &[version, digests] : this->contents) {
        count += static_cast<std::size_t>(std::ranges::count_if(digests, [this](const auto &digest) {
            return !this->approved.contains(digest);
        }));
    }
    return count;
}

std::uint64_t BundleWatch::appendsPerSecondMax() const
{
    const std::lock_guard lock(this->mutex);
    std::uint64_t most = 0;
    auto start = this->appends.begin();
    for (const auto &[at, count] : this->appends) {
        while (at - start->first > AppendWindow) {
            ++start;
        }
        most = std::max(most, count - start->second);
    }
    return most;
}

} // namespace Verbenadock::Measure
