#ifndef VERBENADOCK_BUNDLE_SERVICEREADER_H
#define VERBENADOCK_BUNDLE_SERVICEREADER_H

#include "verbenadock/bundle/bundle.h"
#include "verbenadock/toml/tablereader.h"

#include <map>
#include <string>

namespace Verbenadock::Bundles::internal {

/// Maps each endpoint to the path of its upstream, over all services of a bundle.
using EndpointOwners = std::map<Endpoint, std::string>;

/// Reads [services.NAME] and reports its mistakes to the reader.
Service readService(Toml::TableReader &reader, EndpointOwners &owners);

} // namespace Verbenadock::Bundles::internal

#endif
