// The one translation unit that compiles Catch2's main function; every test program links it.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
