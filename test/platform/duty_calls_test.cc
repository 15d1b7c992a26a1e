#include <catch2/catch.hpp>

#include "platform/duty_calls.h"
#include "platform/settings.h"

using namespace goldcrestwood;

namespace {

tl::expected<EdgeSettings, Findings> settingsWith(const std::string& more)
{
    return platform::decodeSettings("node='n'\nzone='z'\nregion='r'\nip='1.2.3.4'\n[listen]\nfront='1.2.3.4:3'\nready='1.2.3.4:4'\ncontrol='1.2.3.4:1'\n"
                                    "directory='1.2.3.4:5'\n[limits]\n[platform]\naddr='9.9.9.9:1'\n"
            + more,
        "node.toml");
}

} // namespace

TEST_CASE("duties are off unless the settings list them")
{
    for (const auto* none : { "[bounds]\n", "[bounds]\n[cloud]\n", "[bounds]\n[cloud]\naddr='1.1.1.1:1'\nduties=[]\n", "[bounds]\n[cloud]\nduties=['other']\n" }) {
        const auto settings = settingsWith(none);
        REQUIRE(settings);
        CHECK_FALSE(settings->duties.reportsUsage);
        CHECK_FALSE(settings->duties.scalesReplicas);
    }
    const auto both = settingsWith("[bounds]\nreport_window_s=4\nusage_late_s=8\nusage_off=0.1\nmax_skew_ms=100\nfreeze_slack_ms=50\n"
                                   "[cloud]\naddr='1.1.1.1:1'\nduties=['autoscale','metering']\nduty_per_s=2.5\n");
    REQUIRE(both);
    CHECK(both->duties == DutySettings { "1.1.1.1:1", true, true, 2.5 });
    CHECK(both->bounds.usageWindow == std::chrono::seconds(4));
    CHECK(both->bounds.usageLateness == std::chrono::seconds(8));
    CHECK(both->bounds.usageTolerance == 0.1);
    CHECK(both->bounds.maxClockSkew == std::chrono::milliseconds(100));
    CHECK(both->bounds.freezeSlack == std::chrono::milliseconds(50));
}

TEST_CASE("settings with which no duty could work are reported")
{
    for (const auto* bad : { "[bounds]\n[cloud]\nduties=['metering']\n", "[bounds]\n[cloud]\nduties='metering'\n", "[bounds]\n[cloud]\nduties=[1]\n",
             "[bounds]\nreport_window_s=0\n", "[bounds]\n[[cloud]]\n" })
        CHECK_FALSE(settingsWith(bad));
}

TEST_CASE("calls name the holder and its fencing token")
{
    const platform::DutyHolder holder { InstanceId("edge-1"), 77 };
    const auto usage = platform::usageCall(holder, { 353445120, { { ClientAccount("jexa520"), 412 }, { ClientAccount("pude31"), 412 } } });
    CHECK(usage.method == http::verb::post);
    CHECK(usage.target == "/usage");
    CHECK(std::string(usage.contentType) == "application/json");
    CHECK(usage.body == R"({"window":353445120,"counts":{"jexa520":412,"pude31":412}})");
    const std::vector<std::pair<std::string, std::string>> headers(usage.headers.begin(), usage.headers.end());
    CHECK(headers == std::vector<std::pair<std::string, std::string>> { { "X-Goldcrestwood-Holder", "edge-1" }, { "X-Goldcrestwood-Fence-Token", "77" } });
    CHECK(platform::usageCall(holder, { 1, {} }).body == R"({"window":1,"counts":{}})");
    const auto scale = platform::scaleCall(holder, ServiceName("huvo11a"), FailureDomain("thu-duc"), 6);
    CHECK(scale.target == "/scale");
    CHECK(scale.body == R"({"service":"huvo11a","zone":"thu-duc","desired":6})");
}

TEST_CASE("only a 200 is an accepted call, and other answers are not taken for one of the refusals")
{
    const auto outcome = [](unsigned status) { return platform::decodeDutyAnswer(HttpAnswer { status, {}, {} }); };
    CHECK(outcome(200) == DutyOutcome::Accepted);
    CHECK(outcome(409) == DutyOutcome::Fenced);
    CHECK(outcome(429) == DutyOutcome::TooManyCalls);
    CHECK(outcome(500) == DutyOutcome::Unknown);
    CHECK(platform::decodeDutyAnswer(tl::unexpected(CallFailure { "none", 0 })) == DutyOutcome::Unknown);
}

TEST_CASE("messages of daemons of the earlier build are understood, and they ignore what is new")
{
    PeerDatagram datagram;
    datagram.usage = UsageNotice { InstanceId("a"), 1, 2, { { 3, { { ClientAccount("one"), 4 } } } }, true, 5, 6, {} };
    CHECK(decode<PeerDatagram>(encode(datagram)) == datagram);
    // A datagram of five fields, as the earlier build sends it.
    const std::string earlier("\x95\xc0\xc0\xc0\xc0\xc0", 6);
    REQUIRE(decode<PeerDatagram>(earlier));
    CHECK_FALSE(decode<PeerDatagram>(earlier)->usage);
    // A record with one field more than this build knows.
    DutyRecord record;
    record.holder = InstanceId("a");
    record.settledEnd = 9;
    auto longer = encode(record);
    longer.front() = static_cast<char>(longer.front() + 1);
    longer.push_back('\x2a');
    CHECK(decode<DutyRecord>(longer) == record);
}
