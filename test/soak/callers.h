#ifndef VERBENADOCK_SOAK_CALLERS_H
#define VERBENADOCK_SOAK_CALLERS_H

#include "harness/storefleet.h"
#include "soak/record.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace Verbenadock::Soak {

namespace internal {

class Connection;

} // namespace internal

/// Callers on threads of their own, each with open connections that it uses until the entry closes them.
///
/// Usage: construct to start, stop() to end, then take the records().
class Callers
{
public:
    Callers(const Test::StoreFleet &served,
            std::size_t count,
            std::uint64_t seed,
            const std::atomic<std::uint64_t> &newest);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    void stop();
    std::vector<CallRecord> records();

private:
    void run(std::size_t number, std::uint64_t seed);
    /// Sends some lookups at once on the connection, which is null after an answer that ended it.
    void callPipelined(const std::string &idPrefix,
                       std::size_t vm,
                       std::mt19937_64 &random,
                       std::unique_ptr<internal::Connection> &connection);
    void keep(CallRecord record);
    Net::HttpRequest nextRequest(std::mt19937_64 &random, CallRecord &record) const;

    const Test::StoreFleet &fleet;
    const std::atomic<std::uint64_t> &newestVersion;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::vector<CallRecord> done;
    std::vector<std::thread> threads;
};

} // namespace Verbenadock::Soak

#endif
