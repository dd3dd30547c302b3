// The only translation unit that compiles easylogging++. Console output of the library goes to standard error, because
// standard output is reserved for the results of a program.
#define ELPP_CUSTOM_COUT std::cerr
// The package provides this source file to be compiled into the program.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)

INITIALIZE_EASYLOGGINGPP
