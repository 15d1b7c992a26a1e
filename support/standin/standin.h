#pragma once

/// @file
/// Shared code of the stand-ins: command line, HTTP server and faults that can be changed at run time.

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include <boost/program_options.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "goldcrestwood/random.h"

namespace goldcrestwood::standin {

using Clock = std::chrono::steady_clock;

/// Options of every stand-in.
struct CommonOptions {
    std::string listen;
    std::uint64_t seed = 1;
};

/// Faults that every stand-in supports. `POST /faults` takes their names in snake_case.
struct CommonFaults {
    /// Delay before each call, in milliseconds.
    int delayMs = 0;
    /// Share of calls that fail with 500 before they take effect.
    double errorShare = 0;
    /// Every call fails with 503.
    bool outage = false;
    /// Share of calls whose answer is delayed after they took effect.
    double loseAnswersShare = 0;
    /// Delay of such an answer, in milliseconds.
    int lostAnswerMs = 30000;
};

/// Calls @p visit with the name and value of each field; each stand-in overloads this for its own fault type.
void visitFields(CommonFaults& faults, const auto& visit)
{
    visit("delay_ms", faults.delayMs);
    visit("error_share", faults.errorShare);
    visit("outage", faults.outage);
    visit("lose_answers_share", faults.loseAnswersShare);
    visit("lost_answer_ms", faults.lostAnswerMs);
}

/// Parses the command line; prints the help or an error and exits the process if needed.
/// @param options The stand-in's own options; the common ones are added.
CommonOptions parseCommandLine(int argc, char** argv, boost::program_options::options_description options);

/// Serves until the process is killed. @return The exit code if the address can't be bound.
int serve(httplib::Server& server, const std::string& listen);

/// Makes every currently open connection silent permanently; later connections work.
void silenceOpenConnections();

/// Blocks while the connection served by the calling thread is silent.
void waitWhileSilent();

/// Sets @p body as the JSON answer.
void answerJson(httplib::Response& response, const nlohmann::json& body, int status = 200);

/// @return @p value as 16 hexadecimal digits.
std::string toHex(std::uint64_t value);

/// @return A client for `IP:PORT` with short timeouts.
httplib::Client makeClient(const std::string& address);

/// The faults of one stand-in: the common faults and its own.
/// @tparam Own Type of the stand-in's own faults.
template <typename Own>
class FaultSwitch {
public:
    FaultSwitch(httplib::Server& server, std::uint64_t seed)
        : random(seed)
    {
        server.Get("/faults", [this](const httplib::Request&, httplib::Response& response) {
            answerJson(response, this->toJson());
        });
        server.Post("/faults", [this](const httplib::Request& request, httplib::Response& response) {
            this->change(request, response);
        });
    }

    Own own() const
    {
        const std::lock_guard guard(this->lock);
        return this->ownFaults;
    }

    CommonFaults common() const
    {
        const std::lock_guard guard(this->lock);
        return this->commonFaults;
    }

    /// @return True with probability @p share.
    bool draw(double share)
    {
        if (share <= 0)
            return false;
        const std::lock_guard guard(this->lock);
        return uniform(this->random) < share;
    }

    /// @return @p handler with the common faults applied to each call.
    httplib::Server::Handler guarded(httplib::Server::Handler handler)
    {
        return [this, handler = std::move(handler)](const httplib::Request& request, httplib::Response& response) {
            waitWhileSilent();
            const auto faults = this->common();
            std::this_thread::sleep_for(std::chrono::milliseconds(faults.delayMs));
            if (faults.outage)
                return answerJson(response, { { "error", "outage" } }, 503);
            if (this->draw(faults.errorShare))
                return answerJson(response, { { "error", "injected" } }, 500);
            handler(request, response);
            if (this->draw(faults.loseAnswersShare))
                std::this_thread::sleep_for(std::chrono::milliseconds(faults.lostAnswerMs));
            waitWhileSilent();
        };
    }

private:
    nlohmann::json toJson() const
    {
        auto all = nlohmann::json::object();
        auto common = this->common();
        auto own = this->own();
        const auto add = [&all](const char* name, const auto& value) { all[name] = value; };
        visitFields(common, add);
        visitFields(own, add);
        return all;
    }

    void change(const httplib::Request& request, httplib::Response& response)
    {
        auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return answerJson(response, { { "error", "not a JSON object" } }, 400);
        if (body.contains("silence_open_connections")) {
            silenceOpenConnections();
            body.erase("silence_open_connections");
        }
        auto all = this->toJson();
        for (const auto& [name, value] : body.items()) {
            if (!all.contains(name))
                return answerJson(response, { { "error", "unknown fault " + name } }, 400);
            all[name] = value;
        }
        try {
            this->set(all);
        } catch (const nlohmann::json::exception& error) {
            return answerJson(response, { { "error", error.what() } }, 400);
        }
        answerJson(response, this->toJson());
    }

    void set(const nlohmann::json& all)
    {
        CommonFaults common;
        Own own;
        const auto take = [&all](const char* name, auto& value) { all.at(name).get_to(value); };
        visitFields(common, take);
        visitFields(own, take);
        const std::lock_guard guard(this->lock);
        this->commonFaults = common;
        this->ownFaults = own;
    }

    mutable std::mutex lock;
    CommonFaults commonFaults;
    Own ownFaults;
    Random random;
};

} // namespace goldcrestwood::standin
