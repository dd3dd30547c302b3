#ifndef VERBENADOCK_CONTROL_CBORSTRUCTURE_H
#define VERBENADOCK_CONTROL_CBORSTRUCTURE_H

#include <string_view>

namespace Verbenadock::Control::internal {

/// Whether the input is exactly one CBOR item of bounded depth, with definite lengths and without tags.
bool isPlainCbor(std::string_view bytes);

} // namespace Verbenadock::Control::internal

#endif
