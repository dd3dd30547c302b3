#ifndef VERBENADOCK_NET_ERROR_H
#define VERBENADOCK_NET_ERROR_H

#include "verbenadock/base/error.h"

namespace Verbenadock::Net {

/// An operation on a socket or a protocol failed.
class NetError : public Error
{
public:
    using Error::Error;
};

} // namespace Verbenadock::Net

#endif
