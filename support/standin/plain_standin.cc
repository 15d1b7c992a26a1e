/// @file
/// Stand-in for a plain service whose calls must not be repeated; it counts the executions of each key.

#include <map>

#include "standin.h"

#include "goldcrestwood/hash.h"

using namespace goldcrestwood;
using namespace goldcrestwood::standin;

namespace {

struct PlainOptions {
    int workMs = 5;
    bool answersStatus = false;
};

struct PlainFaults {
    /// Status with which every call is answered after it took effect; 0 for none.
    int answerStatus = 0;
};

void visitFields(PlainFaults& faults, const auto& visit)
{
    visit("answer_status", faults.answerStatus);
}

struct CallOutcome {
    int runs = 0;
    int status = 200;
    std::string body;
};

/// Executes every call, including repeated ones, and records the outcome by key.
class CallLog {
public:
    CallOutcome run(const std::string& key, const std::string& path, const std::string& body, int status)
    {
        const std::lock_guard guard(this->lock);
        auto& outcome = this->outcomes[key];
        ++outcome.runs;
        ++this->total;
        outcome.status = status;
        outcome.body = nlohmann::json { { "path", path }, { "key", key }, { "run", outcome.runs },
            { "confirmation", toHex(stableHash(key + "\n" + body)) } }
                           .dump();
        return outcome;
    }

    nlohmann::json status(const std::string& key) const
    {
        const std::lock_guard guard(this->lock);
        const auto found = this->outcomes.find(key);
        if (found == this->outcomes.end())
            return { { "executed", false }, { "status", 0 }, { "body", "" } };
        return { { "executed", true }, { "status", found->second.status }, { "body", found->second.body } };
    }

    nlohmann::json counts() const
    {
        const std::lock_guard guard(this->lock);
        auto keys = nlohmann::json::object();
        for (const auto& [key, outcome] : this->outcomes)
            keys[key] = outcome.runs;
        return { { "total", this->total }, { "keys", keys } };
    }

private:
    mutable std::mutex lock;
    std::map<std::string, CallOutcome> outcomes;
    int total = 0;
};

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    PlainOptions options;
    po::options_description description("plain_standin");
    description.add_options()("work-ms", po::value(&options.workMs)->default_value(5), "time that a call takes")(
        "status", po::bool_switch(&options.answersStatus), "answer GET /status/KEY");
    const auto common = parseCommandLine(argc, argv, description);

    httplib::Server server;
    FaultSwitch<PlainFaults> faults(server, common.seed);
    CallLog calls;
    if (options.answersStatus) {
        server.Get(R"(/status/(.+))", faults.guarded([&](const auto& request, auto& response) {
            answerJson(response, calls.status(request.matches[1]));
        }));
    }
    server.Get("/counts", [&](const auto&, auto& response) { answerJson(response, calls.counts()); });
    server.Post(R"(/.*)", faults.guarded([&](const auto& request, auto& response) {
        std::this_thread::sleep_for(std::chrono::milliseconds(options.workMs));
        const auto forcedStatus = faults.own().answerStatus;
        const auto outcome = calls.run(request.get_header_value("Idempotency-Key"), request.path, request.body,
            forcedStatus == 0 ? 200 : forcedStatus);
        response.status = outcome.status;
        response.set_content(outcome.body, "application/json");
    }));
    return serve(server, common.listen);
}
