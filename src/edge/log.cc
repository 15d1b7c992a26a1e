#include "edge/log.h"

#include <chrono>

#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace goldcrestwood::edge {

namespace {

    /// Limit for successful requests: more lines add little information and cost processor time.
    constexpr std::int64_t routineLinesPerSecond = 10;
    /// Limit for failed requests and state changes; bounds the cost of a burst of refusals.
    constexpr std::int64_t decisionLinesPerSecond = 60;

    struct LogState {
        std::string instance;
        std::int64_t second = 0;
        std::int64_t routine = 0;
        std::int64_t decisions = 0;
        std::uint64_t dropped = 0;
    };

    LogState& state()
    {
        static LogState instance;
        return instance;
    }

    bool isOverRate(LogClass kind, std::int64_t nowSeconds)
    {
        auto& log = state();
        if (log.second != nowSeconds) {
            log.second = nowSeconds;
            log.routine = 0;
            log.decisions = 0;
        }
        if (kind == LogClass::Routine)
            return ++log.routine > routineLinesPerSecond;
        if (kind == LogClass::Decision)
            return ++log.decisions > decisionLinesPerSecond;
        return false;
    }

} // namespace

void startLog(const std::string& instance)
{
    state().instance = instance;
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        static_cast<void>(::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK));
}

void log(LogClass kind, const char* event, std::initializer_list<LogField> fields)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    if (isOverRate(kind, now / 1000)) {
        ++state().dropped;
        return;
    }
    nlohmann::ordered_json line = { { "time_ms", now }, { "instance", state().instance }, { "event", event } };
    for (const auto& [name, value] : fields)
        std::visit([&, key = name](const auto& content) { line[key] = content; }, value);
    if (state().dropped > 0)
        line["lines_dropped"] = state().dropped;
    const auto text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    if (::write(STDOUT_FILENO, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
        ++state().dropped;
}

std::uint64_t droppedLines()
{
    return state().dropped;
}

} // namespace goldcrestwood::edge
