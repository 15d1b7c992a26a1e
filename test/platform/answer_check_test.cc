#include "edge/answer_check.h"

#include <catch2/catch.hpp>

using namespace goldcrestwood;

namespace {

struct HeadCase {
    const char* name;
    const char* requestId;
    bool isSealed;
    bool provesNotRun;
    unsigned status;
    HeadVerdict verdict;
};

} // namespace

// MIXED: bytes of a faulty upstream, the first on their connection, were the success of an order that had not run.
TEST_CASE("an answer is the upstream's own only with the request's id, and as a success only with the signature")
{
    const std::string request = "r1";
    for (const auto& [name, id, isSealed, provesNotRun, status, verdict] : {
             HeadCase { "success", "r1", true, false, 200, HeadVerdict::Own },
             HeadCase { "failure", "r1", true, false, 500, HeadVerdict::Own },
             HeadCase { "refusal", "r1", false, true, 503, HeadVerdict::Own },
             HeadCase { "success without id and signature", "", false, false, 200, HeadVerdict::Unidentified },
             HeadCase { "success with a signature alone", "", true, false, 200, HeadVerdict::Unidentified },
             HeadCase { "failure without an id", "", false, false, 500, HeadVerdict::Unidentified },
             HeadCase { "refusal without an id", "", false, true, 503, HeadVerdict::Unidentified },
             HeadCase { "success without a signature", "r1", false, false, 200, HeadVerdict::Unsigned },
             HeadCase { "empty success without a signature", "r1", false, false, 204, HeadVerdict::Unsigned },
             HeadCase { "success that has not run", "r1", true, true, 200, HeadVerdict::Contradictory },
             HeadCase { "answer to another request", "r0", true, false, 200, HeadVerdict::Stale },
             HeadCase { "refusal of another request", "r0", false, true, 503, HeadVerdict::Stale } }) {
        INFO(name);
        platform::AnswerInfo answer;
        answer.requestId = id;
        answer.isSealed = isSealed;
        answer.provesNotRun = provesNotRun;
        CHECK(checkHead(answer, status, request) == verdict);
    }
}

TEST_CASE("an answer without an id belongs to a request that has none")
{
    platform::AnswerInfo refusal;
    refusal.provesNotRun = true;
    CHECK(checkHead(refusal, 400, "") == HeadVerdict::Own);
    CHECK(checkHead({}, 200, "") == HeadVerdict::Unsigned);
}
