#ifndef VERBENADOCK_BASE_ERROR_H
#define VERBENADOCK_BASE_ERROR_H

#include <stdexcept>

namespace Verbenadock {

/// Base class of all exceptions of the project. Each library derives its own type and converts errors of lower layers
/// to this type.
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace Verbenadock

#endif
