#ifndef VERBENADOCK_FLEET_SERVICELOAD_H
#define VERBENADOCK_FLEET_SERVICELOAD_H

#include "verbenadock/core/event.h"

#include <map>
#include <string>

namespace Verbenadock::Fleet {

/// How busy the upstreams of this data centre are: requests in flight per slot of each service, smoothed over some
/// seconds.
///
/// Usage: configure() with each configuration, sample() at regular times.
class ServiceLoad
{
public:
    explicit ServiceLoad(std::string dataCentre);

    void configure(const Core::Configuration &configuration);

    /// Another data centre reported its load. It counts for some seconds.
    void noteDataCentre(const std::string &service, const std::string &dataCentre, double load, TimePoint now);

    /// The smoothed load of each service with slots in this data centre, from the requests in flight at each now.
    std::map<std::string, double> sample(const std::map<std::string, unsigned> &inFlight);

    /// The load of the service in the busiest data centre. Work goes to other data centres when all upstreams of one
    /// are out of use, so that the own load alone may look calm.
    double busiest(const std::string &service, TimePoint now) const;

    /// Requests of all VMs at the service's upstreams, as far as the data centres report.
    double inFlight(const std::string &service, TimePoint now) const;

private:
    struct Reported
    {
        double load = 0;
        TimePoint at;
    };

    unsigned slotsIn(const std::string &service, const std::string &dataCentre) const;

    std::string ownDataCentre;
    /// By service and data centre.
    std::map<std::string, std::map<std::string, unsigned>> slots;
    std::map<std::string, double> smoothed;
    /// By service and data centre.
    std::map<std::string, std::map<std::string, Reported>> reported;
};

} // namespace Verbenadock::Fleet

#endif
