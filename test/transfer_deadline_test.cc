#include <catch2/catch.hpp>

#include "goldcrestwood/transfer_deadline.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };
constexpr Duration timeout = 900ms;

} // namespace

TEST_CASE("a large record over a slow link arrives whole")
{
    // 600 KB at 100 KB/s, in pieces of 20 KB.
    TransferDeadline deadline(start, timeout);
    auto now = start;
    while (deadline.bytes() < 600'000) {
        now += 200ms;
        REQUIRE(now < deadline.end());
        deadline.onBytes(20'000, now);
    }
    CHECK(now - start == 6s);
    CHECK(deadline.isProgressing(now));
}

TEST_CASE("a peer that is silent from the start or within a transfer is found in time")
{
    TransferDeadline deadline(start, timeout);
    CHECK(deadline.end() == start + timeout);
    deadline.onBytes(0, start + 100ms);
    CHECK(deadline.end() == start + timeout);
    deadline.onBytes(1'000'000, start + 100ms);
    CHECK(deadline.end() == start + 100ms + TransferDeadline::maxPause);
    CHECK_FALSE(deadline.isProgressing(deadline.end()));
    CHECK_FALSE(TransferDeadline(start, timeout).isProgressing(start));
}

TEST_CASE("a transfer that trickles ends")
{
    TransferDeadline deadline(start, timeout);
    auto now = start;
    while (now < deadline.end() && now < start + 60s) {
        deadline.onBytes(100, now);
        now += 100ms;
    }
    CHECK(now < start + 2s);
}
