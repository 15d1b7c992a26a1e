#include <catch2/catch.hpp>

#include "goldcrestwood/daemon_view.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };

EdgeHeartbeat beat(const char* instance, const char* domain, std::uint64_t incarnation, std::uint64_t sequence, bool isReady = true)
{
    EdgeHeartbeat message;
    message.instance = InstanceId(instance);
    message.domain = FailureDomain(domain);
    message.incarnation = incarnation;
    message.sequence = sequence;
    message.frontAddress = std::string(instance) + ":1";
    message.isReady = isReady;
    return message;
}

} // namespace

TEST_CASE("callers are not sent to daemons that are silent, stopping or not ready")
{
    DaemonView view;
    view.onHeartbeat(beat("a", "north", 1, 1), start);
    view.onHeartbeat(beat("b", "south", 1, 1), start + 1s);
    view.onHeartbeat(beat("c", "north", 1, 1, false), start + 1s);
    CHECK(view.readyFronts(FailureDomain("south"), start + 1s) == std::vector<std::string> { "b:1", "a:1" });
    CHECK(view.readyFronts(FailureDomain("north"), start + 2s) == std::vector<std::string> { "b:1" });
}

TEST_CASE("old datagrams of a daemon change nothing")
{
    DaemonView view;
    CHECK(view.onHeartbeat(beat("a", "north", 2, 5, false), start));
    CHECK_FALSE(view.onHeartbeat(beat("a", "north", 2, 4), start));
    CHECK_FALSE(view.onHeartbeat(beat("a", "north", 1, 9), start));
    CHECK(view.readyFronts(FailureDomain("north"), start).empty());
    CHECK(view.onHeartbeat(beat("a", "north", 3, 1), start));
    CHECK(view.readyFronts(FailureDomain("north"), start).size() == 1);
}
