#ifndef VERBENADOCK_PLATFORM_DECODING_H
#define VERBENADOCK_PLATFORM_DECODING_H

#include "verbenadock/discovery/records.h"
#include "verbenadock/platform/storeclient.h"
#include "verbenadock/proxy/dialect.h"

namespace Verbenadock::Platform {

/// Decode what the operators and the upstreams wrote. Any bytes are accepted; what cannot be used becomes Unreadable.
Discovery::ConfigurationRecord decodeConfiguration(const KeyedRecord &record);
Discovery::UpstreamRecord decodeUpstream(const KeyedRecord &record);

/// The headers and conventions of the platform's callers and upstreams.
Proxy::Dialect platformDialect();

} // namespace Verbenadock::Platform

#endif
