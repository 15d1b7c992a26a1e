#include "goldcrestwood/error.h"

namespace goldcrestwood {

std::string toString(const Finding& finding)
{
    const auto& [file, line, column] = finding.location;
    if (line == 0)
        return file + ": " + finding.message;
    return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + finding.message;
}

} // namespace goldcrestwood
