// The one translation unit that compiles easylogging++. Its console output goes to standard error, because standard
// output belongs to the results of a program.
#define ELPP_CUSTOM_COUT std::cerr
// The package ships this file to be compiled into the program.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)

INITIALIZE_EASYLOGGINGPP
