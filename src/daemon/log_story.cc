#include "daemon/log_story.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <set>

namespace goldcrestwood {

namespace {

    using nlohmann::json;

    /// State changes logged up to this long before a request's arrival may have affected it, milliseconds.
    constexpr double stateChangeLeadMs = 1000;

    std::string textOf(const json& event, const char* field)
    {
        const auto found = event.find(field);
        return found != event.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    double numberOf(const json& event, const char* field)
    {
        const auto found = event.find(field);
        return found != event.end() && found->is_number() ? found->get<double>() : 0;
    }

    /// @return The obstacle that excluded the most upstreams, from a text such as "memory:7 resting:1".
    std::string mainObstacle(const std::string& obstacles)
    {
        std::string best;
        int most = 0;
        for (std::size_t begin = 0; begin < obstacles.size();) {
            const auto end = std::min(obstacles.find(' ', begin), obstacles.size());
            const auto colon = obstacles.find(':', begin);
            if (colon < end)
                if (const auto count = std::atoi(obstacles.c_str() + colon + 1); count > most) {
                    most = count;
                    best = obstacles.substr(begin, colon - begin);
                }
            begin = end + 1;
        }
        return best;
    }

    /// @return Why the request of @p event failed or was late; empty if it did not.
    std::string causeOf(const json& event)
    {
        const auto name = textOf(event, "event");
        if (name == "request_rejected") {
            const auto obstacle = mainObstacle(textOf(event, "obstacles"));
            return std::to_string(static_cast<int>(numberOf(event, "status"))) + ' ' + textOf(event, "reason") + (obstacle.empty() ? "" : ", mostly " + obstacle);
        }
        if (name != "request_attempt")
            return {};
        const auto result = textOf(event, "result");
        if (result == "answered") {
            const auto late = textOf(event, "late");
            return late.empty() ? late : "late: " + late;
        }
        const auto failure = textOf(event, "failure");
        const auto left = event.value("client_gone", false) ? ", the caller had left" : "";
        return "not answered: " + (failure.empty() ? result : failure) + left;
    }

    void printEvent(const json& event, double beginMs, std::ostream& output)
    {
        output << std::fixed << std::setprecision(1) << std::setw(10) << numberOf(event, "time_ms") - beginMs << " ms  " << textOf(event, "instance") << "  " << textOf(event, "event");
        for (const auto& [name, value] : event.items())
            if (name != "time_ms" && name != "instance" && name != "event" && name != "request")
                output << "  " << name << '=' << (value.is_string() ? value.get<std::string>() : value.dump());
        output << '\n';
    }

} // namespace

void readLog(std::istream& input, LogLines& lines)
{
    for (std::string line; std::getline(input, line);) {
        const auto brace = line.find('{');
        if (brace == std::string::npos)
            continue;
        auto event = json::parse(line.substr(brace), nullptr, false);
        if (event.is_object() && event.contains("event"))
            lines.events.push_back(std::move(event));
        else
            ++lines.unreadable;
    }
    std::stable_sort(lines.events.begin(), lines.events.end(), [](const auto& left, const auto& right) { return numberOf(left, "time_ms") < numberOf(right, "time_ms"); });
}

std::vector<FailureGroup> groupFailures(const LogLines& lines)
{
    // A request's last line states its outcome.
    std::map<std::string, const json*> last;
    for (const auto& event : lines.events)
        if (const auto id = textOf(event, "request"); !id.empty())
            last[id] = &event;
    std::map<std::string, FailureGroup> groups;
    for (const auto& [id, event] : last) {
        const auto cause = causeOf(*event);
        if (cause.empty())
            continue;
        const auto second = numberOf(*event, "time_ms") / 1000;
        auto& group = groups.try_emplace(cause, FailureGroup { cause, 0, id, second, second }).first->second;
        ++group.requests;
        if (second < group.firstSecond) {
            group.firstSecond = second;
            group.example = id;
        }
        group.lastSecond = std::max(group.lastSecond, second);
    }
    std::vector<FailureGroup> result;
    result.reserve(groups.size());
    for (auto& [cause, group] : groups)
        result.push_back(std::move(group));
    std::stable_sort(result.begin(), result.end(), [](const auto& left, const auto& right) { return left.requests > right.requests; });
    return result;
}

bool explainRequest(const LogLines& lines, const std::string& id, std::ostream& output)
{
    double begin = 0;
    double end = 0;
    std::set<std::string> instances;
    for (const auto& event : lines.events)
        if (textOf(event, "request") == id) {
            // A line is logged at the end of the period that it describes.
            const auto time = numberOf(event, "time_ms");
            const auto received = time - std::max(numberOf(event, "age_ms"), numberOf(event, "after_ms"));
            begin = instances.empty() ? received : std::min(begin, received);
            end = time;
            instances.insert(textOf(event, "instance"));
        }
    if (instances.empty())
        return false;
    for (const auto& event : lines.events) {
        const auto time = numberOf(event, "time_ms");
        const bool isOwn = textOf(event, "request") == id;
        const bool isStateChange = textOf(event, "request").empty() && instances.contains(textOf(event, "instance")) && time >= begin - stateChangeLeadMs && time <= end;
        if (isOwn || isStateChange)
            printEvent(event, begin, output);
        if (isOwn)
            if (const auto cause = causeOf(event); !cause.empty())
                output << "              -> " << cause << '\n';
    }
    return true;
}

} // namespace goldcrestwood
