// The one translation unit that compiles easylogging++. Its console output goes to standard error, because standard
// output belongs to the results of a program.
#define ELPP_CUSTOM_COUT std::cerr
#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP
