/// @file
/// Settings and configuration files: one pass reports every error with its location.

#include <algorithm>

#include <catch2/catch.hpp>

#include "daemon/settings_file.h"

using namespace goldcrestwood;

namespace {

const std::string validSettings = R"([instance]
id = "nha-be-1"
domain = "nha-be"
region = "saigon"

[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8090"
peers = "127.0.0.1:8100"

[platform]
log = "127.0.0.1:9000"
instances = "127.0.0.1:9000"

[serving]
ticket_key = "secret"
)";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::vector<std::string> texts(const Findings& findings)
{
    std::vector<std::string> result;
    for (const auto& finding : findings)
        result.push_back(toString(finding));
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace

TEST_CASE("valid settings are read with their defaults")
{
    const auto settings = parseSettings({ "site.toml", validSettings });
    REQUIRE(settings);
    CHECK(settings->instance.id == InstanceId("nha-be-1"));
    CHECK(settings->platform.timeout == std::chrono::seconds(1));
}

TEST_CASE("all findings are reported together with file, line and column")
{
    auto text = replaced(validSettings, "\"127.0.0.1:8090\"", "\"127.0.0.1:8080\"");
    text = replaced(text, "\"127.0.0.1:8100\"", "\"host:8100\"");
    text = replaced(text, "ticket_key = \"secret\"", "call_timeout = \"10\"\nresume_window = \"2h\"\ncolour = 1");
    const auto settings = parseSettings({ "site.toml", text });
    REQUIRE_FALSE(settings);
    CHECK(texts(settings.error()) == std::vector<std::string> {
              "site.toml:15:1: ticket_key is missing",
              "site.toml:16:16: call_timeout is \"10\"; expected a whole number with a unit of us, ms, s, min, h or d",
              "site.toml:17:17: resume_window is out of range",
              "site.toml:18:1: unknown key colour",
              "site.toml:8:13: operators has the same address as callers",
              "site.toml:9:9: peers is \"host:8100\"; expected an IP address and a port",
          });
}

TEST_CASE("a syntax error in TOML is reported with its location and without secrets")
{
    const auto settings = parseSettings({ "site.toml", validSettings + "[broken" });
    REQUIRE_FALSE(settings);
    REQUIRE(settings.error().size() == 1);
    CHECK(settings.error().front().location.line == 17);
    CHECK(toString(settings.error().front()).find("secret") == std::string::npos);
}

TEST_CASE("an overlay overrides the keys that it sets and adds entries")
{
    const NamedText base { "base.toml", "[[service]]\nname = \"kiln-voice\"\nblock_tokens = 512\ntokenizer = \"a\"\n" };
    const NamedText overlay { "saigon.toml", "[[service]]\nname = \"kiln-voice\"\nblock_tokens = 1024\n[[service]]\nname = \"crock-desk\"\n" };
    const auto configuration = parseConfiguration(base, { overlay });
    REQUIRE(configuration);
    REQUIRE(configuration->services.size() == 2);
    CHECK(configuration->services[0].blockTokens == 1024);
    CHECK(configuration->services[0].tokenizer == "a");
}

TEST_CASE("a finding in an overlay names the overlay")
{
    const NamedText base { "base.toml", "[[service]]\nname = \"kiln-voice\"\n" };
    const NamedText overlay { "saigon.toml", "[[service]]\nname = \"kiln-voice\"\nblock_tokens = 1\n[[service]]\nname = \"kiln-voice\"\n[[colour]]\n" };
    const auto configuration = parseConfiguration(base, { overlay });
    REQUIRE_FALSE(configuration);
    CHECK(texts(configuration.error()) == std::vector<std::string> {
              "saigon.toml:4:1: service has the same name as the one in line 1",
              "saigon.toml:6:3: unknown key colour",
          });
}
