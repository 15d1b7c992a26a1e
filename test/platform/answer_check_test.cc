#include "edge/answer_check.h"

#include <catch2/catch.hpp>

using namespace goldcrestwood;

namespace {

using Fields = std::vector<std::pair<const char*, const char*>>;

constexpr std::pair ownId("X-Goldcrestwood-Request-Id", "r1");
constexpr std::pair otherId("X-Goldcrestwood-Request-Id", "r0");
constexpr std::pair signature("X-Goldcrestwood-Response-Seal", "s.r1");
constexpr std::pair notRun("X-Goldcrestwood-Not-Executed", "1");
constexpr std::pair gzip("content-encoding", "gzip");

struct HeadCase {
    const char* name;
    unsigned status;
    Fields fields;
    HeadVerdict verdict;
};

/// @return What a head with @p fields is to a request with @p requestId.
HeadVerdict verdictOf(unsigned status, const Fields& fields, const std::string& requestId)
{
    http::response_header<> header;
    header.result(status);
    for (const auto& [name, value] : fields)
        header.insert(name, value);
    return checkHead(platform::decodeAnswer(header), status, requestId);
}

} // namespace

// MIXED: bytes of a faulty upstream, the first on their connection, were the success of an order that had not run.
TEST_CASE("an answer is the upstream's own only with the request's id, and as a success only with the signature")
{
    for (const auto& [name, status, fields, verdict] : {
             HeadCase { "success", 200, { ownId, signature }, HeadVerdict::Own },
             HeadCase { "failure", 500, { ownId, signature }, HeadVerdict::Own },
             HeadCase { "refusal", 503, { ownId, notRun }, HeadVerdict::Own },
             HeadCase { "success without id and signature", 200, {}, HeadVerdict::Unidentified },
             HeadCase { "success with a signature alone", 200, { signature }, HeadVerdict::Unidentified },
             HeadCase { "failure without an id", 500, {}, HeadVerdict::Unidentified },
             HeadCase { "refusal without an id", 503, { notRun }, HeadVerdict::Unidentified },
             HeadCase { "success without a signature", 200, { ownId }, HeadVerdict::Unsigned },
             HeadCase { "empty success without a signature", 204, { ownId }, HeadVerdict::Unsigned },
             HeadCase { "success with an empty signature", 200, { ownId, { signature.first, "" } }, HeadVerdict::Unsigned },
             HeadCase { "success that has not run", 200, { ownId, signature, notRun }, HeadVerdict::Contradictory },
             HeadCase { "success with the id of another request as well", 200, { ownId, otherId, signature }, HeadVerdict::Ambiguous },
             HeadCase { "success with two signatures", 200, { ownId, signature, { signature.first, "t.r1" } }, HeadVerdict::Ambiguous },
             HeadCase { "success with an empty signature as well", 200, { ownId, signature, { signature.first, "" } }, HeadVerdict::Ambiguous },
             HeadCase { "success with the same id twice", 200, { ownId, ownId, signature }, HeadVerdict::Ambiguous },
             HeadCase { "refusal of two requests", 503, { otherId, ownId, notRun }, HeadVerdict::Ambiguous },
             HeadCase { "encoded success", 200, { ownId, signature, gzip }, HeadVerdict::Encoded },
             HeadCase { "success with an empty content coding", 200, { ownId, signature, { gzip.first, "" } }, HeadVerdict::Encoded },
             HeadCase { "encoded failure", 500, { ownId, signature, gzip }, HeadVerdict::Encoded },
             HeadCase { "encoded refusal", 503, { ownId, notRun, gzip }, HeadVerdict::Encoded },
             HeadCase { "encoded answer to another request", 200, { otherId, signature, gzip }, HeadVerdict::Stale },
             HeadCase { "answer to another request", 200, { otherId, signature }, HeadVerdict::Stale },
             HeadCase { "refusal of another request", 503, { otherId, notRun }, HeadVerdict::Stale } }) {
        INFO(name);
        CHECK(verdictOf(status, fields, "r1") == verdict);
    }
}

TEST_CASE("an answer without an id belongs to a request that has none")
{
    CHECK(verdictOf(400, { notRun }, "") == HeadVerdict::Own);
    CHECK(verdictOf(200, {}, "") == HeadVerdict::Unsigned);
}
