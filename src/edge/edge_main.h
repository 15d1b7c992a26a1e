#pragma once

/// @file
/// Runs an entry daemon with the platform's settings file.

namespace goldcrestwood {

/// @param checkOnly Only check the settings and print all findings.
/// @return The exit code of the process.
int runEdge(bool checkOnly);

} // namespace goldcrestwood
