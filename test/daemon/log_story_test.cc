#include <catch2/catch.hpp>

#include <sstream>

#include "daemon/log_story.h"

using namespace goldcrestwood;

namespace {

LogLines linesOf(const std::string& text)
{
    std::istringstream input(text);
    LogLines lines;
    readLog(input, lines);
    return lines;
}

const char* sample = R"(built in 0.0 s
  1.0 edge-1 {"time_ms":1500,"instance":"edge-1","event":"upstream_rests","upstream":"i-2","rest_ms":900}
  1.0 edge-1 {"time_ms":2000,"instance":"edge-1","event":"request_rejected","request":"a","status":503,"reason":"all upstreams are full","after_ms":400,"obstacles":"memory:7 resting:1"}
  1.0 edge-1 {"time_ms":1900,"instance":"edge-1","event":"request_attempt","request":"a","result":"refused","failure":"refused by the upstream","age_ms":300}
  1.0 edge-2 {"time_ms":2100,"instance":"edge-2","event":"request_rejected","request":"b","status":503,"reason":"all upstreams are full","after_ms":1,"obstacles":"memory:8"}
  1.0 edge-2 {"time_ms":2200,"instance":"edge-2","event":"request_attempt","request":"c","result":"answered","late":"pause","age_ms":900}
  1.0 edge-2 {"time_ms":2300,"instance":"edge-2","event":"request_attempt","request":"d","result":"answered","late":"","age_ms":90}
  1.0 edge-2 {"time_ms":2400,"instance":"edge-2","event":"request_attempt","request":"e","result":"cancelled","failure":"stream broke off","client_gone":true}
  1.0 edge-2 {"time_ms":2500,"instance":)";

} // namespace

TEST_CASE("failed and late requests are grouped by outcome, with an example request")
{
    const auto lines = linesOf(sample);
    CHECK(lines.unreadable == 1);
    const auto groups = groupFailures(lines);
    REQUIRE(groups.size() == 3);
    CHECK(groups[0] == FailureGroup { "503 all upstreams are full, mostly memory", 2, "a", 2, 2.1 });
    CHECK(groups[1].cause == "late: pause");
    CHECK(groups[2].cause == "not answered: stream broke off, the caller had left");
}

TEST_CASE("the trace of a request has its lines in order and the state changes of its daemon")
{
    const auto lines = linesOf(sample);
    std::ostringstream output;
    REQUIRE(explainRequest(lines, "a", output));
    const auto trace = output.str();
    const auto rest = trace.find("upstream_rests");
    const auto attempt = trace.find("request_attempt");
    const auto rejected = trace.find("request_rejected");
    CHECK(rest < attempt);
    CHECK(attempt < rejected);
    CHECK(rejected != std::string::npos);
    CHECK(trace.find("-> 503 all upstreams are full, mostly memory") != std::string::npos);
    CHECK(trace.find("edge-2") == std::string::npos);
    CHECK_FALSE(explainRequest(lines, "unknown", output));
}
