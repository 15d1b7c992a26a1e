#include "edge/edge_main.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "daemon/heap.h"
#include "edge/edge_server.h"
#include "edge/log.h"
#include "platform/settings.h"

namespace goldcrestwood {

namespace {

    constexpr int exitUsage = 2;
    constexpr int exitSettings = 3;
    constexpr int exitStart = 4;

} // namespace

int runEdge(bool checkOnly)
{
    const char* path = std::getenv(platform::settingsVariable);
    if (path == nullptr) {
        std::cerr << "goldcrestd: the environment variable " << platform::settingsVariable << " is not set to a settings file\n";
        return exitUsage;
    }
    std::ifstream file(path);
    if (!file) {
        std::cerr << "goldcrestd: cannot read " << path << '\n';
        return exitSettings;
    }
    std::stringstream text;
    text << file.rdbuf();
    auto settings = platform::decodeSettings(text.str(), path);
    if (!settings) {
        for (const auto& finding : settings.error())
            std::cerr << toString(finding) << '\n';
        return exitSettings;
    }
    if (checkOnly) {
        std::cout << path << ": no findings\n";
        return 0;
    }
    returnFreedBlocks();
    rlimit descriptors {};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0)
        settings->maxDescriptors = settings->maxDescriptors == 0 ? descriptors.rlim_cur : std::min<std::uint64_t>(settings->maxDescriptors, descriptors.rlim_cur);
    std::signal(SIGPIPE, SIG_IGN);
    edge::startLog(settings->instance.value);
    asio::io_context loop(1);
    try {
        EdgeServer server(loop, std::move(*settings), std::random_device()());
        server.start();
        loop.run();
    } catch (const boost::system::system_error& error) {
        std::cerr << "goldcrestd: cannot start: " << error.what() << '\n';
        std::_Exit(exitStart);
    }
    // Remaining connections end with the process; their coroutines refer to the server, which no longer exists.
    std::_Exit(0);
}

} // namespace goldcrestwood
