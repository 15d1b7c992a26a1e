#include <catch2/catch.hpp>

#include "platform/decode.h"
#include "platform/headers.h"
#include "platform/names.h"
#include "platform/settings.h"

using namespace goldcrestwood;

TEST_CASE("a configuration is decoded into typed fields")
{
    const auto configuration = platform::decodeConfiguration(R"({"version":7,
        "routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":10000,"goal_ms":300,"priority":1,
          "backends":[{"service":"s","weight":90},{"service":"t","weight":10}],"attempts":2,"public":false,"resumable":true,"gap_aim_ms":250},
          {"host":"h","path_prefix":"/b/","kind":"safe","service":"t"}],
        "services":[{"name":"s","max_conns":360,"cold_per_s":17.0,"engine":{"slots":64,"kv_tokens":107588,"kv_bytes":327680,"link_mbps":740000.0}},
          {"name":"c","kv_store_addr":"10.0.0.1:80","zone":"z","kv_tokens":5}],
        "limits":{"header_bytes":100,"max_body_bytes":200,"header_timeout_ms":300,"idle_timeout_ms":400},
        "tenants":[{"name":"one","api_keys":["k"],"priority":2,"isolated":true}]})");
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    CHECK(configuration->routes[0].kind == RequestKind::Stream);
    CHECK(configuration->routes[0].isRepeatable());
    CHECK(configuration->routes[0].backends.size() == 2);
    CHECK(configuration->routes[1].kind == RequestKind::Idempotent);
    CHECK(configuration->routes[1].attempts == 1);
    CHECK(configuration->services[0].engine->cacheTokens == 107588);
    CHECK(configuration->services[1].store->address == "10.0.0.1:80");
    CHECK(configuration->limits.idleTimeout == std::chrono::milliseconds(400));
    CHECK(configuration->accounts[0].isIsolated);
    CHECK(configuration->hasAccounts);
}

TEST_CASE("the bounds of a service's replicas are decoded, and bounds that contradict each other are refused")
{
    const auto decode = [](const std::string& autoscale) {
        return platform::decodeConfiguration(R"({"version":1,"services":[{"name":"s","autoscale":)" + autoscale + "}]}");
    };
    const auto configuration = decode(R"({"min":2,"max":9,"boot_s":8.5})");
    REQUIRE(configuration);
    CHECK(configuration->services[0].autoscale == Autoscale { 2, 9, std::chrono::milliseconds(8500) });
    CHECK_FALSE(decode("null")->services[0].autoscale);
    for (const char* bad : { "5", "{}", R"({"min":2})", R"({"min":3,"max":2})", R"({"min":0,"max":0})", R"({"min":-1,"max":2})", R"({"min":1,"max":2,"boot_s":-1})" })
        CHECK_FALSE(decode(bad));
}

TEST_CASE("all findings of an invalid configuration are reported, each with its location")
{
    const auto configuration = platform::decodeConfiguration(R"({"version":"x","routes":[{"host":1,"path_prefix":"/a/","kind":"safe"}],"tenants":{}})");
    REQUIRE_FALSE(configuration);
    std::string all;
    for (const auto& finding : configuration.error())
        all += toString(finding) + "\n";
    CHECK(all.find("config.version") != std::string::npos);
    CHECK(all.find("config.routes.0.host") != std::string::npos);
    CHECK(all.find("config.tenants") != std::string::npos);
    CHECK_FALSE(platform::decodeConfiguration("{"));
}

TEST_CASE("an invalid registry entry is refused")
{
    const char* good = R"({"service":"s","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":64,"state":"ready","cold_left_ms":1500,
        "models":[{"name":"m","version":3,"adapters":[]}],"seq":4,"born":17,"new_field":{}})";
    const auto entry = platform::decodeUpstream("i-1", good);
    REQUIRE(entry);
    CHECK(entry->coldRemaining == std::chrono::milliseconds(1500));
    CHECK(entry->weights.at("m") == 3);
    CHECK(entry->born == 17);
    for (const char* bad : { "", "[]", R"({"service":"s"})", R"({"service":"s","addr":"a","zone":"z","slots":"many","state":"ready"})",
             R"({"service":"s","addr":"a","zone":"z","slots":1,"state":"asleep"})", "\xff\xfe" })
        CHECK_FALSE(platform::decodeUpstream("i-1", bad));
}

TEST_CASE("a registry entry with a number too large, a port out of range or deep nesting is refused with its place")
{
    const auto decode = [](const std::string& field, const std::string& value) {
        std::map<std::string, std::string> fields { { "service", "\"s\"" }, { "addr", "\"10.0.0.1:80\"" }, { "zone", "\"z\"" }, { "slots", "64" },
            { "state", "\"ready\"" }, { "cold_left_ms", "0" }, { "models", "[]" }, { "born", "17" } };
        fields[field] = value;
        std::string text;
        for (const auto& [name, content] : fields)
            text.append(text.empty() ? "{\"" : ",\"").append(name).append("\":").append(content);
        return platform::decodeUpstream("i-1", text + "}");
    };
    REQUIRE(decode("slots", "4294967295"));
    CHECK(decode("slots", "4294967295")->slots == 4294967295U);
    const std::vector<std::pair<std::string, std::string>> odd { { "slots", "4294967296" }, { "slots", "18446744073709551615" }, { "slots", "-1" },
        { "born", "18446744073709551615" }, { "cold_left_ms", "1e300" }, { "cold_left_ms", "-5" }, { "addr", "\"10.0.0.1:99999\"" },
        { "addr", "\"10.0.0.1:4294967376\"" }, { "addr", "\"10.0.0.1:0\"" }, { "addr", "\"10.0.0.1:80x\"" }, { "addr", "\"10.0.0.1\"" }, { "addr", "\"host:80\"" } };
    for (const auto& [field, value] : odd) {
        INFO(field << " " << value);
        const auto entry = decode(field, value);
        REQUIRE_FALSE(entry);
        CHECK(toString(entry.error().front()).find("servers/i-1." + field) != std::string::npos);
    }
    CHECK_FALSE(decode("slots", "1e400"));
    constexpr std::size_t depth = 120000;
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    CHECK_FALSE(decode("addr", nested));
    CHECK(decode("other", nested));
    CHECK_FALSE(platform::decodeUpstream("i-1", nested));
    CHECK_FALSE(platform::decodeUpstream("i-1", std::string(depth, '[')));
}

TEST_CASE("slices and keyed records are decoded, truncated ones refused")
{
    const std::string header = std::string(7, '\0') + "\x05" + std::string(7, '\0') + "\x02";
    const auto slice = platform::decodeSlice(header + platform::encodeRecords({ "ab", "" }));
    REQUIRE(slice);
    CHECK(slice->endOffset == 5);
    CHECK(slice->oldestOffset == 2);
    CHECK(slice->records == std::vector<std::string> { "ab", "" });
    CHECK_FALSE(platform::decodeSlice("short"));
    CHECK_FALSE(platform::decodeSlice(header + std::string("\0\0\0\x09x", 5)));
    CHECK(platform::decodeKeyed("\x01kvalue", 3) == KeyedRecord { "k", "value", 3 });
    CHECK(platform::decodeKeyed("\x01k", 3) == KeyedRecord { "k", std::nullopt, 3 });
    CHECK_FALSE(platform::decodeKeyed("\x09k", 3));
}

// Fault: an answer of a few megabytes that made no sense decoded to many times the memory of the process.
TEST_CASE("an upstream's answer that makes no sense is refused after a bounded number of findings")
{
    const auto events = [](const std::string& rows) { return R"({"boot_epoch":7,"next_token":3,"events":[)" + rows + "]}"; };
    REQUIRE(platform::decodeCacheEvents(events(R"([1,"+","m/w1/all","aa",60,"m"])")));
    std::string zeros = "0";
    for (int row = 0; row < 5000; ++row)
        zeros += ",0";
    const auto spoiled = platform::decodeCacheEvents(events(zeros));
    REQUIRE_FALSE(spoiled);
    CHECK(spoiled.error().size() == 100);
    const auto nested = std::string(50, '[') + std::string(50, ']');
    const auto deep = platform::decodeCacheEvents(events(nested));
    REQUIRE_FALSE(deep);
    CHECK(toString(deep.error().front()).find("nested too deeply") != std::string::npos);
    CHECK_FALSE(platform::decodeReport(R"({"models":)" + nested + "}"));
    CHECK_FALSE(platform::decodeCacheListing(R"({"boot_epoch":7,"next_token":3,"held":)" + nested + "}"));
}

TEST_CASE("base64 values of a listing are decoded with any padding")
{
    const auto page = platform::decodeListing(
        R"({"items":[{"key":"a","value":"YQ==","offset":1},{"key":"b","value":"YWI=","offset":2},{"key":"c","value":"YWJj","offset":3}],"more":false,"end":4})");
    REQUIRE(page);
    CHECK(page->records[0].value == "a");
    CHECK(page->records[1].value == "ab");
    CHECK(page->records[2].value == "abc");
    CHECK_FALSE(platform::decodeListing(R"({"items":[{"key":"a","value":"====","offset":1}],"end":4})"));
}

TEST_CASE("an answer may announce a shutdown or a backoff, and invalid values are findings")
{
    http::response_header<> header;
    const auto decoded = [&](unsigned status) { return platform::decodeNotice(status, header); };
    CHECK(decoded(503) == platform::DecodedNotice {});
    header.set("server-leaving", "1");
    CHECK(decoded(200).notice.isLeaving);
    CHECK(decoded(421).notice.isLeaving);
    header.set("Server-Leaving", "soon");
    CHECK_FALSE(decoded(200).notice.isLeaving);
    CHECK(toString(decoded(200).findings.at(0)) == "Server-Leaving: cannot be read: 'soon'");
    header.clear();
    header.set("Retry-After", "1.5");
    CHECK(decoded(503).notice.backoff == std::chrono::milliseconds(1500));
    // Retry-After is a backoff only with status 503.
    CHECK(decoded(429) == platform::DecodedNotice {});
    header.set("Retry-After", "1e300");
    CHECK(decoded(503).notice.backoff > std::chrono::hours(24 * 365));
    for (const char* bad : { "", "-1", "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT", "2s" }) {
        header.set("Retry-After", bad);
        CHECK_FALSE(decoded(503).notice.backoff);
        CHECK(decoded(503).findings.size() == 1);
    }
}

TEST_CASE("system headers and hop-by-hop headers of a caller are not forwarded")
{
    http::request<http::string_body> request { http::verb::post, "/a/b?c", 11 };
    for (const auto* name : platform::systemHeaders)
        request.set(name, "forged");
    request.set("Connection", "keep-alive, X-Hop");
    request.set("X-Hop", "1");
    request.set("X-Kept", "yes");
    request.set(platform::requestIdHeader, "id");
    request.body() = "body";
    request.prepare_payload();
    platform::UpstreamHeaders headers;
    headers.account = "one";
    headers.timeLeft = std::chrono::milliseconds(1234);
    const auto sent = platform::encodeForUpstream(request, headers);
    CHECK(sent.target() == "/a/b?c");
    CHECK(sent.body() == "body");
    CHECK(sent["X-Kept"] == "yes");
    CHECK(sent[platform::requestIdHeader] == "id");
    CHECK(sent[platform::accountHeader] == "one");
    CHECK(sent[platform::deadlineHeader] == "1234");
    CHECK(sent.find("X-Hop") == sent.end());
    for (const auto* name : platform::systemHeaders)
        CHECK(sent[name] != "forged");
}

TEST_CASE("invalid settings are reported with their lines")
{
    const auto good = platform::decodeSettings("node='n'\nzone='z'\nregion='r'\nip='1.2.3.4'\nseeds=['1.2.3.4:1','1.2.3.5:1']\n[listen]\nfront='1.2.3.4:3'\n"
                                               "ready='1.2.3.4:4'\ncontrol='1.2.3.4:1'\ndirectory='1.2.3.4:5'\n[limits]\ncpu_share=0.25\nmemory_mb=110\nmax_fds=512\n"
                                               "[platform]\naddr='9.9.9.9:1'\n[bounds]\ngrace_s=8\nretry_ratio=0.2\nfence_required=false\n[unknown]\nx=1\n",
        "node.toml");
    REQUIRE(good);
    CHECK(good->seeds == std::vector<std::string> { "1.2.3.5:1" });
    CHECK(good->bounds.shutdownGrace == std::chrono::seconds(8));
    CHECK_FALSE(good->bounds.fencesChecked);
    CHECK(good->memoryBytes == 110'000'000);
    CHECK(good->maxDescriptors == 512);
    const auto bad = platform::decodeSettings("node=1\nzone='z'\nregion='r'\nip='i'\n[limits]\nmemory_mb='x'\n[listen]\n[bounds]\n", "node.toml");
    REQUIRE_FALSE(bad);
    CHECK(bad.error().size() >= 6);
    CHECK(toString(bad.error().front()).find("node.toml:1:") == 0);
    CHECK_FALSE(platform::decodeSettings("= 1", "node.toml"));
}

TEST_CASE("entries that differ only in their write counter are equivalent")
{
    const std::string entry = R"({"service":"s","seq":12,"state":"ready"})";
    CHECK(platform::isEquivalentEntry(entry, R"({"service":"s","seq":13,"state":"ready"})"));
    CHECK_FALSE(platform::isEquivalentEntry(entry, R"({"service":"s","seq":13,"state":"draining"})"));
    CHECK_FALSE(platform::isEquivalentEntry(entry, R"({"service":"t","seq":12,"state":"ready"})"));
    CHECK(platform::isEquivalentEntry("torn", "torn"));
    CHECK_FALSE(platform::isEquivalentEntry("torn", entry));
}

TEST_CASE("a roll-out's order and status are decoded and encoded, and invalid fields are reported")
{
    const auto order = platform::decodeRolloutOrder(R"({"service":"model","target":"v2","duration_s":12})");
    REQUIRE(order);
    CHECK(*order == RolloutOrder { ServiceName("model"), "v2", std::chrono::seconds(12) });
    const auto untimed = platform::decodeRolloutOrder(R"({"service":"model","target":"v2"})");
    REQUIRE_FALSE(untimed);
    CHECK(untimed.error().front().location.file == "rollout.duration_s");
    CHECK_FALSE(platform::decodeRolloutOrder(R"({"service":"model","target":"v2","duration_s":0})"));
    const platform::RolloutStatus status { "v2", RolloutState::Reverted };
    const auto record = platform::decodeKeyed(platform::encodeRolloutStatus(ServiceName("model"), status), 0);
    REQUIRE(record);
    CHECK(record->key == "rollout/model");
    CHECK(platform::decodeRolloutStatus(*record->value) == status);
    CHECK_FALSE(platform::decodeRolloutStatus(R"({"state":"odd","target":"v2"})"));
}

TEST_CASE("a request limit that cannot be read is a finding, not a limit")
{
    const auto limitOf = [](const char* value) {
        http::fields fields;
        fields.set("Server-Limit", value);
        return platform::decodeRequestLimit(fields);
    };
    REQUIRE_FALSE(platform::decodeRequestLimit(http::fields()).value());
    REQUIRE(limitOf("2.7").value() == 2.7);
    REQUIRE(limitOf("0").value() == 0.0);
    REQUIRE(limitOf("1e300").value() == 1e6);
    for (const auto* value : { "", "abc", "-1", "nan", "inf", "2.7 requests", "2,7" })
        REQUIRE(limitOf(value).error().location.file == "Server-Limit");
}

TEST_CASE("a load report has three or four numbers, the last one a plausible pace")
{
    const auto loadOf = [](const char* value) {
        http::fields fields;
        fields.set("X-Goldcrestwood-Server-Load", value);
        return platform::decodeServerLoad(fields);
    };
    REQUIRE_FALSE(platform::decodeServerLoad(http::fields()).value());
    REQUIRE(loadOf("3,0,64").value() == ServerLoad { 3, 0, 64, std::nullopt });
    REQUIRE(loadOf("3,12,64,250").value() == ServerLoad { 3, 12, 64, 250 });
    for (const auto* value : { "", "3", "3,0", "3,0,64,", "3,0,64,100,1", "3, 0, 64", "3,,64", "-1,0,64", "3,0,64,0", "3,0,64,9",
             "3,0,64,10001", "3,0,64,-100", "3,0,64,1.5", "3,0,64,99999999999", "a,b,c" })
        REQUIRE(loadOf(value).error().location.file == "X-Goldcrestwood-Server-Load");
    http::fields twice;
    twice.insert("X-Goldcrestwood-Server-Load", "3,0,64,100");
    twice.insert("X-Goldcrestwood-Server-Load", "3,0,64,250");
    REQUIRE_FALSE(platform::decodeServerLoad(twice));
}
