#pragma once

/// @file
/// Runs an entry daemon with the settings file of the platform.

namespace goldcrestwood {

/// @param checkOnly Check the settings, print all findings and return.
/// @return The exit code of the process.
int runEdge(bool checkOnly);

} // namespace goldcrestwood
