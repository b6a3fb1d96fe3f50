// The entry point shared by every Catch2 test program of the workspace.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
