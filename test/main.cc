/// @file
/// Entry point that every unit test program shares.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
