// The main function that all Catch2 test programs of the repository link.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
