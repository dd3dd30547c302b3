#ifndef VERBENADOCK_FLEET_SERVICELOAD_H
#define VERBENADOCK_FLEET_SERVICELOAD_H

#include "verbenadock/core/event.h"

#include <map>
#include <string>

namespace Verbenadock::Fleet {

/// Load of each service in this data centre: requests in flight per slot, smoothed over some seconds.
///
/// Usage: configure() with each configuration, sample() periodically.
class ServiceLoad
{
public:
    explicit ServiceLoad(std::string dataCentre);

    void configure(const Core::Configuration &configuration);

    /// Records the load, in requests per slot, that another data centre reported. The report expires after some
    /// seconds.
    void setReportedLoad(const std::string &service, const std::string &dataCentre, double load, TimePoint now);

    /// Adds a sample of the requests in flight by service. Returns the smoothed load of each service with slots in this
    /// data centre.
    std::map<std::string, double> sample(const std::map<std::string, unsigned> &inFlight);

    /// Highest load among the data centres of the service. The own load alone may be low while the service is busy,
    /// because requests go to other data centres when all upstreams of one are out of use.
    double highestLoad(const std::string &service, TimePoint now) const;

    /// Requests of all VMs in flight at the service's upstreams, as far as data centres report them.
    double inFlight(const std::string &service, TimePoint now) const;

private:
    struct ReportedLoad
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
    std::map<std::string, std::map<std::string, ReportedLoad>> reported;
};

} // namespace Verbenadock::Fleet

#endif
