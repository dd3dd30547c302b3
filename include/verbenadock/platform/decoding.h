#ifndef VERBENADOCK_PLATFORM_DECODING_H
#define VERBENADOCK_PLATFORM_DECODING_H

#include "verbenadock/discovery/records.h"
#include "verbenadock/platform/storeclient.h"
#include "verbenadock/proxy/dialect.h"

namespace Verbenadock::Platform {

/// Decode records of the operators and of the upstreams. Never throw for invalid content, which becomes Unreadable.
Discovery::ConfigurationRecord decodeConfiguration(const KeyedRecord &record);
Discovery::UpstreamRecord decodeUpstream(const KeyedRecord &record);

/// Headers and conventions of the platform's callers and upstreams.
Proxy::Dialect platformDialect();

} // namespace Verbenadock::Platform

#endif
