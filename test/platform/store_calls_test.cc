#include <catch2/catch.hpp>

#include "goldcrestwood/log_position.h"
#include "platform/revisions.h"
#include "platform/store_calls.h"

using namespace goldcrestwood;

namespace {

HttpAnswer answerWith(const char* era)
{
    HttpAnswer answer;
    answer.status = 200;
    if (era != nullptr)
        answer.fields.set("Store-Era", era);
    return answer;
}

} // namespace

TEST_CASE("an answer tells how often the store has returned from an older copy")
{
    CHECK(platform::decodeEra(answerWith("7"), 3) == 7);
    CHECK(platform::decodeEra(answerWith(nullptr), 3) == 3);
    CHECK(platform::decodeEra(answerWith("8191"), 0) == maxLogEra);
    for (const auto* odd : { "", "-1", "2x", "8192", "99999999999999999999999" }) {
        const auto era = platform::decodeEra(answerWith(odd), 3);
        REQUIRE_FALSE(era.has_value());
        CHECK(toString(era.error().front()).find("Store-Era") != std::string::npos);
    }
}

TEST_CASE("calls carry the offset of a position")
{
    CHECK(platform::readCall("topic", logPosition(3, 12), Duration(0)).target.find("from=12&") != std::string::npos);
    CHECK(platform::appendCall("topic", {}, logPosition(3, 12)).target.ends_with("at=12"));
}

TEST_CASE("positions order offsets over returns of the store")
{
    CHECK(logPosition(0, 5) == 5);
    CHECK(logPosition(2, 0) > logPosition(1, maxLogOffset));
    CHECK(logEra(logPosition(maxLogEra, maxLogOffset)) == maxLogEra);
    CHECK(logOffset(logPosition(maxLogEra, maxLogOffset)) == maxLogOffset);
}

TEST_CASE("records that count their changes have a revision")
{
    CHECK(platform::operatorRevision("config", R"({"version":13})") == KeyedFeed::Revision({ 13, 0 }));
    CHECK(platform::operatorRevision("version/m", R"({"model":"m","version":2})") == KeyedFeed::Revision({ 2, 0 }));
    CHECK_FALSE(platform::operatorRevision("evacuate/a", R"({"version":13})").has_value());
    CHECK_FALSE(platform::operatorRevision("config", "{").has_value());
    CHECK(platform::operatorRevision("config", R"({"routes":[{"version":7}],"limits":{"version":8},"version":13,"services":[]})") == KeyedFeed::Revision({ 13, 0 }));
    for (const char* odd : { R"({"routes":[{"version":7}]})", R"({"version":"13"})", R"({"version":-1})", R"({"version":[13]})", R"([13])", R"({"a":"version","b":13})" })
        CHECK_FALSE(platform::operatorRevision("config", odd).has_value());
    const auto entry = [](const std::string& counts) {
        return R"({"service":"s","addr":"10.0.0.1:80","zone":"z","slots":1,"state":"ready")" + counts + "}";
    };
    CHECK(platform::entryRevision("i-1", entry(R"(,"born":5,"seq":9)")) == KeyedFeed::Revision({ 5, 9 }));
    CHECK(platform::entryRevision("i-1", entry(R"(,"seq":9)")) < platform::entryRevision("i-1", entry(R"(,"born":5,"seq":1)")));
    CHECK_FALSE(platform::entryRevision("i-1", entry("")).has_value());
    CHECK_FALSE(platform::entryRevision("i-1", R"([1])").has_value());
    // An entry that names no upstream must not outdate the sound ones after it.
    CHECK_FALSE(platform::entryRevision("i-1", R"({"service":"s","born":5,"seq":900})").has_value());
}
