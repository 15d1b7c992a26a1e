#include "daemon/json_log.h"

#include <cstdio>
#include <ctime>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace goldcrestwood {

namespace {

    /// Prefix of a message that is a JSON object with the fields of the log line.
    constexpr char structuredPrefix = '\x1e';

    std::string utcTime(const google::LogMessageTime& time)
    {
        const auto seconds = static_cast<std::time_t>(time.timestamp());
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        char text[40];
        const auto length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
        char result[64];
        std::snprintf(result, sizeof(result), "%.*s.%06dZ", static_cast<int>(length), text, static_cast<int>(time.usec()));
        return result;
    }

    class JsonLinesSink : public google::LogSink {
    public:
        explicit JsonLinesSink(std::string instanceName)
            : instance(std::move(instanceName))
        {
        }

        void send(google::LogSeverity severity, const char*, const char* file, int line,
            const google::LogMessageTime& time, const char* message, std::size_t length) override
        {
            const std::string_view text(message, length);
            nlohmann::json record = { { "time", utcTime(time) }, { "level", google::GetLogSeverityName(severity) }, { "instance", this->instance } };
            if (!text.empty() && text.front() == structuredPrefix) {
                record.update(nlohmann::json::parse(text.substr(1), nullptr, false));
            } else {
                record["message"] = text;
                record["source"] = std::string(file) + ":" + std::to_string(line);
            }
            const auto out = record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
            std::fwrite(out.data(), 1, out.size(), stderr);
        }

    private:
        std::string instance;
    };

    std::string structured(std::string_view event, std::initializer_list<LogField> fields)
    {
        nlohmann::json record = { { "event", event } };
        for (const auto& [name, value] : fields)
            record[std::string(name)] = value;
        return structuredPrefix + record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

} // namespace

void startJsonLog(const char* program, const std::string& instance)
{
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    google::InitGoogleLogging(program);
    static JsonLinesSink sink(instance);
    google::AddLogSink(&sink);
}

void logEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG(INFO) << structured(event, fields);
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG(WARNING) << structured(event, fields);
}

} // namespace goldcrestwood
