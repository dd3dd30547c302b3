#ifndef VERBENADOCK_NET_ERROR_H
#define VERBENADOCK_NET_ERROR_H

#include "verbenadock/base/error.h"

namespace Verbenadock::Net {

/// A socket operation failed or a peer violated a protocol.
class NetError : public Error
{
public:
    using Error::Error;
};

} // namespace Verbenadock::Net

#endif
