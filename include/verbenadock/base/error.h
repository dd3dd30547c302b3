#ifndef VERBENADOCK_BASE_ERROR_H
#define VERBENADOCK_BASE_ERROR_H

#include <stdexcept>

namespace Verbenadock {

/// Root of all exceptions of the project. Each library derives its own type and turns errors from below into it.
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace Verbenadock

#endif
