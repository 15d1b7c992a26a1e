/// @file
/// The goldcrestd daemon.

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>

#include <boost/program_options.hpp>

#include "daemon/heap.h"
#include "daemon/json_log.h"
#include "daemon/node.h"
#include "daemon/settings_file.h"
#include "edge/edge_main.h"

namespace {

namespace po = boost::program_options;
using namespace goldcrestwood;

constexpr const char* version = "goldcrestd 0.1.0";
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitStart = 4;
constexpr long pollNanoseconds = 100'000'000;

void printFindings(const Findings& findings)
{
    for (const auto& finding : findings)
        std::cerr << toString(finding) << '\n';
}

/// @return The number of a pending signal, or a negative number if there is none.
int waitForSignal(const sigset_t& signals)
{
    const timespec timeout { 0, pollNanoseconds };
    return sigtimedwait(&signals, nullptr, &timeout);
}

int run(const Settings& settings)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    startJsonLog("goldcrestd", settings.instance.id.value);
    Node node(settings);
    if (const auto error = node.start()) {
        logWarning("start_failed", { { "reason", *error } });
        return exitStart;
    }
    while (true) {
        const auto exitCode = waitForSignal(signals) > 0 ? node.onSignal() : node.poll();
        if (!exitCode)
            continue;
        if (*exitCode != 0)
            std::_Exit(*exitCode);
        node.stop();
        return 0;
    }
}

} // namespace

int main(int argc, char** argv)
try {
    po::options_description options("Usage: goldcrestd --config FILE [--check]\n       goldcrestd edge [--check]\n\nOptions");
    options.add_options()("config", po::value<std::string>(), "settings file in TOML")("check", "check the settings, print all findings and exit")("version", "print the version and exit")("help", "print this help and exit");
    po::options_description hidden;
    hidden.add(options).add_options()("mode", po::value<std::string>()->default_value("site"));
    po::positional_options_description positions;
    positions.add("mode", 1);
    po::variables_map arguments;
    po::store(po::command_line_parser(argc, argv).options(hidden).positional(positions).run(), arguments);
    if (arguments.count("help") != 0) {
        std::cout << options << "\nExit codes: 0 graceful shutdown, 1 immediate exit on a second signal, 2 usage,\n3 invalid settings, 4 cannot listen.\n";
        return 0;
    }
    if (arguments.count("version") != 0) {
        std::cout << version << '\n';
        return 0;
    }
    const auto& mode = arguments["mode"].as<std::string>();
    if (mode == "edge")
        return runEdge(arguments.count("check") != 0);
    if (mode != "site") {
        std::cerr << "goldcrestd: unknown mode '" << mode << "'; see --help\n";
        return exitUsage;
    }
    if (arguments.count("config") == 0) {
        std::cerr << "goldcrestd: --config FILE is missing; see --help\n";
        return exitUsage;
    }
    const auto document = readFile(arguments["config"].as<std::string>());
    const auto settings = document ? parseSettings(*document) : tl::unexpected(document.error());
    if (!settings) {
        printFindings(settings.error());
        return exitSettings;
    }
    if (arguments.count("check") != 0) {
        std::cout << document->name << ": no findings\n";
        return 0;
    }
    returnFreedBlocks();
    return run(*settings);
} catch (const po::error& error) {
    std::cerr << "goldcrestd: " << error.what() << "; see --help\n";
    return exitUsage;
}
