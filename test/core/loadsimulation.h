#ifndef VERBENADOCK_TEST_CORE_LOADSIMULATION_H
#define VERBENADOCK_TEST_CORE_LOADSIMULATION_H

#include "upstreampool.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <numeric>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace Verbenadock::Core::Test {

/// VMs that send the requests of one service.
struct LoadCase
{
    Bundles::Balancing balancing = Bundles::Balancing::Even;
    unsigned vms = 41;
    unsigned upstreams = 70;
    unsigned slots = 2;
    /// Requests offered per slot.
    double utilisation = 0.6;
    /// Interval of the reports. A figure is between a third and four thirds of it old.
    Duration interval = std::chrono::milliseconds(100);
    /// Mean work of a request; each takes 0.5 to 1.5 times as long.
    double workSeconds = 0.18;
    double seconds = 4;
    std::uint64_t seed = 1;
    unsigned dataCentres = 1;
    /// The first data centre gets this much more than the mean load, as a part of it; the others get less.
    double swing = 0;
    /// Time after which the next data centre gets the most; zero if it always is the first one.
    double peakSeconds = 0;
};

struct LoadResult
{
    unsigned requests = 0;
    /// Requests that reached a full upstream while another one had a free slot.
    unsigned misplaced = 0;
    /// Seconds that the requests waited for a slot, in total.
    double waited = 0;
    /// Sum over the arrivals of the requests at the busiest upstream over the mean of all.
    double busiest = 0;
    /// Requests that left their data centre, from the first one and from the others.
    unsigned leftFirst = 0;
    unsigned leftOthers = 0;
    unsigned fromFirst = 0;

    double misplacedShare() const
    {
        return static_cast<double>(this->misplaced) / std::max(1U, this->requests);
    }

    double meanWaitSeconds() const
    {
        return this->waited / std::max(1U, this->requests);
    }

    /// Requests at the busiest upstream over the mean of all upstreams.
    double busiestOverMean() const
    {
        return this->busiest / std::max(1U, this->requests);
    }
};

/// Timed arrivals and ends at upstreams with a queue, and VMs that choose by reports of all requests in flight.
///
/// Usage: LoadSimulation(case).run().
class LoadSimulation
{
public:
    explicit LoadSimulation(const LoadCase &parameters)
        : settings(parameters)
        , random(parameters.seed)
        , inFlight(parameters.upstreams)
        , freeAt(parameters.upstreams, std::vector<double>(parameters.slots))
        , reported(parameters.upstreams)
        , reportedAsFull(parameters.upstreams)
        , smoothedLoads(parameters.dataCentres)
    {
        Bundles::Service service;
        service.name = "s";
        service.prefersOwnDataCentre = true;
        service.balancing = parameters.balancing;
        for (unsigned number = 0; number < parameters.upstreams; ++number) {
            service.upstreams.push_back(
                {.id = std::to_string(number), .dataCentre = this->nameOf(number), .slots = parameters.slots});
        }
        for (unsigned vm = 0; vm < parameters.vms; ++vm) {
            this->pools.push_back(std::make_unique<Internal::UpstreamPool>());
            this->pools.back()->configure("b", &service, this->nameOf(vm), TimePoint{});
        }
    }

    LoadResult run()
    {
        constexpr double WarmUpSeconds = 1;
        const double interval = std::chrono::duration<double>(this->settings.interval).count();
        const double rate
            = this->settings.utilisation * this->settings.upstreams * this->settings.slots / this->settings.workSeconds;
        double nextArrival = this->exponential(rate);
        double nextCapture = interval;
        double nextDelivery = nextCapture + interval / 3;
        double nextRemote = RemoteInterval;
        const double end = WarmUpSeconds + this->settings.seconds;
        for (double now = 0; now < end;) {
            const double nextEnd = this->ends.empty() ? end : this->ends.top().at;
            now = std::min({nextArrival, nextCapture, nextDelivery, nextEnd, nextRemote});
            if (now == nextEnd && !this->ends.empty()) {
                this->finish(now);
            } else if (now == nextDelivery) {
                this->deliver(now);
                nextDelivery += interval;
            } else if (now == nextRemote) {
                this->reportToOtherDataCentres(now);
                nextRemote += RemoteInterval;
            } else if (now == nextCapture) {
                this->captured = this->inFlight;
                nextCapture += interval;
            } else {
                this->arrive(now, now >= WarmUpSeconds);
                nextArrival = now + this->exponential(rate);
            }
        }
        return this->result;
    }

private:
    struct End
    {
        double at = 0;
        double startedAt = 0;
        unsigned vm = 0;
        unsigned upstream = 0;

        bool operator>(const End &other) const
        {
            return this->at > other.at;
        }
    };

    /// Interval of the reports of full upstreams to other data centres; every second one smooths the loads of the data
    /// centres, and every sixth one reports them, as Fleet::LoadExchange does.
    static constexpr double RemoteInterval = 0.2;
    static constexpr unsigned PerSample = 2;
    static constexpr unsigned PerLoadReport = 6;
    static constexpr double NewestSampleWeight = 0.2;

    /// VMs and upstreams are distributed over the data centres in turn.
    unsigned dataCentreOf(unsigned number) const
    {
        return number % this->settings.dataCentres;
    }

    std::string nameOf(unsigned number) const
    {
        return "dc" + std::to_string(this->dataCentreOf(number));
    }

    unsigned chooseVm(double now)
    {
        if (this->settings.dataCentres == 1) {
            return this->random.below(this->settings.vms);
        }
        const bool isAtPeak = this->random.fraction() * this->settings.dataCentres < 1 + this->settings.swing;
        const unsigned peak
            = this->settings.peakSeconds > 0 ? static_cast<unsigned>(now / this->settings.peakSeconds) : 0;
        const unsigned distance = isAtPeak ? 0 : 1 + this->random.below(this->settings.dataCentres - 1);
        const unsigned dataCentre = (peak + distance) % this->settings.dataCentres;
        return dataCentre
               + this->settings.dataCentres * this->random.below(this->settings.vms / this->settings.dataCentres);
    }

    static TimePoint timeAt(double seconds)
    {
        return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 + seconds)));
    }

    double exponential(double rate)
    {
        return -std::log(1 - this->random.fraction()) / rate;
    }

    void arrive(double now, bool counts)
    {
        const unsigned vm = this->chooseVm(now);
        const Internal::Request request{.idempotent = true};
        const auto upstream = this->pools[vm]->pick(request, timeAt(now), this->random);
        if (!upstream) {
            return;
        }
        const auto hasFreeSlot = [this](unsigned requests) {
            return requests < this->settings.slots;
        };
        const bool misplaced
            = !hasFreeSlot(this->inFlight[*upstream]) && std::ranges::any_of(this->inFlight, hasFreeSlot);
        this->result.requests += counts ? 1 : 0;
        this->result.misplaced += counts && misplaced ? 1 : 0;
        const bool isFromFirst = this->dataCentreOf(vm) == 0;
        const bool left = this->dataCentreOf(vm) != this->dataCentreOf(*upstream);
        this->result.fromFirst += counts && isFromFirst ? 1 : 0;
        this->result.leftFirst += counts && left && isFromFirst ? 1 : 0;
        this->result.leftOthers += counts && left && !isFromFirst ? 1 : 0;
        ++this->inFlight[*upstream];
        this->pools[vm]->start(*upstream, timeAt(now));
        const auto slot = std::ranges::min_element(this->freeAt[*upstream]);
        const double start = std::max(now, *slot);
        if (counts) {
            const double total = std::accumulate(this->inFlight.begin(), this->inFlight.end(), 0.0);
            this->result.waited += start - now;
            this->result.busiest += std::ranges::max(this->inFlight) * this->settings.upstreams / total;
        }
        *slot = start + this->settings.workSeconds * (0.5 + this->random.fraction());
        this->ends.push({.at = *slot, .startedAt = now, .vm = vm, .upstream = *upstream});
    }

    void finish(double now)
    {
        const auto ended = this->ends.top();
        this->ends.pop();
        --this->inFlight[ended.upstream];
        auto &pool = *this->pools[ended.vm];
        pool.finish(ended.upstream, timeAt(now));
        pool.noteSuccess(ended.upstream, timeAt(now));
        pool.noteLatency(ended.upstream, timeAt(now) - timeAt(ended.startedAt), timeAt(now));
    }

    void deliver(double now)
    {
        for (unsigned upstream = 0; upstream < this->settings.upstreams; ++upstream) {
            if (this->captured[upstream] == this->reported[upstream]) {
                continue;
            }
            this->reported[upstream] = this->captured[upstream];
            const auto change = this->changeOf(upstream, this->captured[upstream], now);
            for (unsigned vm = this->dataCentreOf(upstream); vm < this->settings.vms;
                 vm += this->settings.dataCentres) {
                this->pools[vm]->noteOtherEntriesLoad(change);
            }
        }
    }

    LoadChanged changeOf(unsigned upstream, unsigned requests, double now) const
    {
        return {.at = timeAt(now),
                .upstream = {.bundle = "b", .service = "s", .upstream = std::to_string(upstream)},
                .otherEntriesInFlight = requests,
                .includesOwn = true};
    }

    void reportToOtherDataCentres(double now)
    {
        ++this->remoteReports;
        for (unsigned upstream = 0; upstream < this->settings.upstreams; ++upstream) {
            const auto full = this->inFlight[upstream] >= this->settings.slots ? this->inFlight[upstream] : 0;
            if (full != std::exchange(this->reportedAsFull[upstream], full)) {
                const auto change = this->changeOf(upstream, full, now);
                this->forOtherDataCentres(this->dataCentreOf(upstream), [&change](Internal::UpstreamPool &pool) {
                    pool.noteOtherEntriesLoad(change);
                });
            }
        }
        for (unsigned dataCentre = 0; dataCentre < this->settings.dataCentres; ++dataCentre) {
            this->reportLoadOf(dataCentre, now);
        }
    }

    void reportLoadOf(unsigned dataCentre, double now)
    {
        auto &smoothed = this->smoothedLoads[dataCentre];
        if (this->remoteReports % PerSample == 0) {
            double requests = 0;
            double slots = 0;
            for (unsigned upstream = dataCentre; upstream < this->settings.upstreams;
                 upstream += this->settings.dataCentres) {
                requests += this->inFlight[upstream];
                slots += this->settings.slots;
            }
            smoothed += NewestSampleWeight * (requests / slots - smoothed);
        }
        if (this->remoteReports % PerLoadReport == 0) {
            this->forOtherDataCentres(dataCentre, [&](Internal::UpstreamPool &pool) {
                pool.noteDataCentreLoad(this->nameOf(dataCentre), smoothed, timeAt(now));
            });
        }
    }

    template<typename Function>
    void forOtherDataCentres(unsigned dataCentre, Function function)
    {
        for (unsigned vm = 0; vm < this->settings.vms; ++vm) {
            if (this->dataCentreOf(vm) != dataCentre) {
                function(*this->pools[vm]);
            }
        }
    }

    LoadCase settings;
    Internal::Random random;
    std::vector<std::unique_ptr<Internal::UpstreamPool>> pools;
    std::vector<unsigned> inFlight;
    /// For each upstream, the times at which its slots have done all requests so far.
    std::vector<std::vector<double>> freeAt;
    std::vector<unsigned> captured;
    std::vector<unsigned> reported;
    std::vector<unsigned> reportedAsFull;
    std::vector<double> smoothedLoads;
    unsigned remoteReports = 0;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    LoadResult result;
};

} // namespace Verbenadock::Core::Test

#endif
