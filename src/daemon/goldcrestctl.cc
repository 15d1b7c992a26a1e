/// @file
/// Command-line tool for operators.

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "daemon/clock.h"
#include "daemon/http_client.h"
#include "daemon/log_story.h"
#include "daemon/settings_file.h"
#include "goldcrestwood/catalog.h"
#include "goldcrestwood/keys.h"

namespace {

namespace po = boost::program_options;
using namespace goldcrestwood;
using nlohmann::json;

constexpr int exitOk = 0;
constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr int exitFindings = 3;
constexpr int exitUnreachable = 4;
constexpr int exitPending = 5;
constexpr Duration callTimeout = std::chrono::seconds(10);
constexpr Duration statusInterval = std::chrono::milliseconds(100);

constexpr const char* usage = R"(Usage: goldcrestctl [options] COMMAND [arguments]

Commands:
  check BASE [--overlay FILE]...   check a configuration and print all findings
  apply BASE [--overlay FILE]...   apply a configuration to every daemon
  show                             print the configuration in force
  status                           daemons, revisions in force, drained domains and upstreams
  domain out|in NAME               drain a failure domain, or put it back into use
  upstream leave|return ID         stop or resume new work at an upstream
  state                            dump the state of the daemon
  metrics                          print the daemon's metrics
  failures FILE...                 group failed and late requests in daemon logs by cause
  explain ID FILE...               trace one request through daemon logs
  key ACCOUNT SECRET               print the salt and hash of a client account's key

Exit codes: 0 done, 1 refused or conflict, 2 usage, 3 findings, 4 no answer,
5 accepted but not yet in force everywhere.
)";

struct Options {
    std::string address;
    std::vector<std::string> words;
    std::vector<std::string> overlays;
    std::string output;
    std::string base;
    double waitSeconds = 0;
};

void printFindings(const Findings& findings)
{
    for (const auto& finding : findings)
        std::cerr << toString(finding) << '\n';
}

tl::expected<Configuration, Findings> loadConfiguration(const Options& options)
{
    Findings findings;
    const auto load = [&findings](const std::string& path) {
        const auto document = readFile(path);
        if (!document)
            findings.insert(findings.end(), document.error().begin(), document.error().end());
        return document.value_or(NamedText { path, "" });
    };
    const auto base = load(options.words.at(1));
    std::vector<NamedText> overlays;
    for (const auto& path : options.overlays)
        overlays.push_back(load(path));
    if (!findings.empty())
        return tl::unexpected(findings);
    auto configuration = parseConfiguration(base, overlays);
    if (!configuration)
        return configuration;
    findings = validate(*configuration);
    if (!findings.empty())
        return tl::unexpected(findings);
    return configuration;
}

/// Prints the response to a call. @return The exit code for it.
int report(const HttpResult& result)
{
    if (!result) {
        std::cerr << "goldcrestctl: no answer from the daemon\n";
        return exitUnreachable;
    }
    const bool accepted = result->status >= 200 && result->status < 300;
    (accepted ? std::cout : std::cerr) << result->body;
    return accepted ? exitOk : exitRefused;
}

HttpResult call(const Options& options, const std::string& method, const std::string& path, const std::string& body = {}, const std::string& type = "application/json")
{
    return httpCall(options.address, { method, path, body, type, {} }, callTimeout);
}

void printStatusTable(const json& status)
{
    std::cout << "revision " << status.value("revision", 0) << '\n';
    std::cout << std::left << std::setw(20) << "DAEMON" << std::setw(16) << "DOMAIN" << std::setw(10) << "STATE" << std::setw(10) << "PHASE"
              << "REVISION\n";
    for (const auto& daemon : status["daemons"]) {
        std::cout << std::setw(20) << daemon.value("id", "") << std::setw(16) << daemon.value("domain", "") << std::setw(10) << daemon.value("state", "")
                  << std::setw(10) << daemon.value("phase", "") << daemon.value("revision", 0) << '\n';
    }
    for (const auto& out : status["out"])
        std::cout << "out: " << out.value("target", "") << ' ' << out.value("name", "") << (out.value("recorded", false) ? "" : " (in force, not yet recorded)") << '\n';
}

/// @return The live daemons that have not yet reached @p revision.
std::vector<std::string> laggingDaemons(const json& status, std::uint64_t revision)
{
    std::vector<std::string> lagging;
    for (const auto& daemon : status["daemons"]) {
        const auto state = daemon.value("state", "");
        const bool counts = state == "alive" && daemon.value("phase", "") != "Left";
        if (counts && daemon.value("revision", std::uint64_t { 0 }) < revision)
            lagging.push_back(daemon.value("id", ""));
    }
    return lagging;
}

int waitInForce(const Options& options, std::uint64_t revision)
{
    const auto begin = monotonicNow();
    std::vector<std::string> lagging { "(no status)" };
    while (toSeconds(monotonicNow() - begin) < options.waitSeconds) {
        if (const auto status = call(options, "GET", "/admin/status"); status && status->status == 200)
            lagging = laggingDaemons(json::parse(status->body), revision);
        if (lagging.empty()) {
            std::cout << "revision " << revision << " in force on every daemon after " << toSeconds(monotonicNow() - begin) << " s\n";
            return exitOk;
        }
        std::this_thread::sleep_for(statusInterval);
    }
    std::cerr << "revision " << revision << " accepted, not yet in force on:";
    for (const auto& id : lagging)
        std::cerr << ' ' << id;
    std::cerr << '\n';
    return exitPending;
}

int check(const Options& options)
{
    const auto configuration = loadConfiguration(options);
    if (!configuration) {
        printFindings(configuration.error());
        return exitFindings;
    }
    std::cout << "no findings: " << configuration->accounts.size() << " accounts, " << configuration->services.size() << " services, "
              << configuration->upstreams.size() << " upstreams\n";
    return exitOk;
}

int apply(const Options& options)
{
    const auto configuration = loadConfiguration(options);
    if (!configuration) {
        printFindings(configuration.error());
        return exitFindings;
    }
    const auto path = "/admin/apply" + (options.base.empty() ? std::string() : "?base=" + options.base);
    const auto result = call(options, "POST", path, encode(*configuration), "application/msgpack");
    if (const auto code = report(result); code != exitOk)
        return code;
    return waitInForce(options, json::parse(result->body).value("revision", std::uint64_t { 0 }));
}

int status(const Options& options)
{
    const auto result = call(options, "GET", "/admin/status");
    if (!result || result->status != 200 || options.output == "json")
        return report(result);
    printStatusTable(json::parse(result->body));
    return exitOk;
}

int makeKey(const Options& options)
{
    const auto hash = makeKeyHash(options.words.at(2));
    if (!hash) {
        std::cerr << "goldcrestctl: " << toString(hash.error()) << '\n';
        return exitRefused;
    }
    std::cout << "[[account]]\nname = \"" << options.words.at(1) << "\"\nkey_salt = \"" << hash->salt << "\"\nkey_hash = \"" << hash->hash << "\"\n";
    return exitOk;
}

/// Reads the log files given from argument @p first on. @return The exit code if one cannot be opened.
tl::expected<LogLines, int> readLogs(const Options& options, std::size_t first)
{
    LogLines lines;
    for (std::size_t index = first; index < options.words.size(); ++index) {
        std::ifstream file(options.words[index]);
        if (!file) {
            std::cerr << "goldcrestctl: cannot open the log '" << options.words[index] << "'\n";
            return tl::unexpected(exitUsage);
        }
        readLog(file, lines);
    }
    if (lines.unreadable > 0)
        std::cerr << "goldcrestctl: " << lines.unreadable << " lines are not log events and were skipped\n";
    return lines;
}

int failures(const Options& options)
{
    const auto lines = readLogs(options, 1);
    if (!lines)
        return lines.error();
    const auto groups = groupFailures(*lines);
    if (options.output == "json") {
        json rows = json::array();
        for (const auto& group : groups)
            rows.push_back({ { "cause", group.cause }, { "requests", group.requests }, { "example", group.example }, { "first", group.firstSecond }, { "last", group.lastSecond } });
        std::cout << rows.dump(2) << '\n';
        return exitOk;
    }
    std::cout << std::right << std::setw(8) << "REQUESTS"
              << "  " << std::left << std::setw(18) << "EXAMPLE" << std::setw(16) << "FIRST" << std::setw(16) << "LAST"
              << "CAUSE\n";
    for (const auto& group : groups)
        std::cout << std::right << std::setw(8) << group.requests << "  " << std::left << std::setw(18) << group.example << std::fixed << std::setprecision(1)
                  << std::setw(16) << group.firstSecond << std::setw(16) << group.lastSecond << group.cause << '\n';
    return exitOk;
}

int explain(const Options& options)
{
    const auto lines = readLogs(options, 2);
    if (!lines)
        return lines.error();
    if (explainRequest(*lines, options.words[1], std::cout))
        return exitOk;
    std::cerr << "goldcrestctl: no log line has the request '" << options.words[1] << "'; lines of successful requests are limited in number\n";
    return exitRefused;
}

int runCommand(const Options& options)
{
    const auto& words = options.words;
    const auto count = words.size();
    const auto is = [&](const char* command, std::size_t wanted) { return words.front() == command && count == wanted; };
    if (is("check", 2))
        return check(options);
    if (is("apply", 2))
        return apply(options);
    if (is("show", 1))
        return report(call(options, "GET", "/admin/configuration"));
    if (is("status", 1))
        return status(options);
    if (is("domain", 3) && (words[1] == "out" || words[1] == "in"))
        return report(call(options, "POST", "/admin/domains/" + words[2] + "/" + words[1]));
    if (is("upstream", 3) && (words[1] == "leave" || words[1] == "return"))
        return report(call(options, "POST", "/admin/upstreams/" + words[2] + "/" + words[1]));
    if (is("state", 1))
        return report(call(options, "GET", "/debug/state"));
    if (is("metrics", 1))
        return report(call(options, "GET", "/metrics"));
    if (is("key", 3))
        return makeKey(options);
    if (words.front() == "failures" && count >= 2)
        return failures(options);
    if (words.front() == "explain" && count >= 3)
        return explain(options);
    std::cerr << "goldcrestctl: unknown command or wrong number of arguments; see --help\n";
    return exitUsage;
}

} // namespace

int main(int argc, char** argv)
try {
    Options options;
    po::options_description visible("Options");
    visible.add_options()("daemon", po::value(&options.address)->default_value("127.0.0.1:8090"), "operator address of a daemon")("overlay", po::value(&options.overlays)->composing(), "site overlay; may be given more than once")("output", po::value(&options.output)->default_value("table"), "json or table")("base", po::value(&options.base), "revision that the edit is based on")("wait", po::value(&options.waitSeconds)->default_value(10), "seconds to wait until a change is in force everywhere")("version", "print the version and exit")("help", "print this help and exit");
    po::options_description all;
    all.add(visible).add_options()("words", po::value(&options.words));
    po::positional_options_description positional;
    positional.add("words", -1);
    po::variables_map arguments;
    po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(), arguments);
    po::notify(arguments);
    if (arguments.count("help") != 0) {
        std::cout << usage << '\n'
                  << visible;
        return exitOk;
    }
    if (arguments.count("version") != 0) {
        std::cout << "goldcrestctl 0.1.0\n";
        return exitOk;
    }
    if (options.words.empty()) {
        std::cerr << usage;
        return exitUsage;
    }
    return runCommand(options);
} catch (const std::exception& error) {
    std::cerr << "goldcrestctl: " << error.what() << '\n';
    return exitUsage;
}
