#include "verbenadock/settings/settings.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Settings;
using namespace std::chrono_literals;

namespace {

std::string mistakesOf(const std::string &toml)
{
    try {
        parseEntrySettings(toml);
        return {};
    } catch (const InvalidSettings &error) {
        return error.what();
    }
}

std::string sample(const std::string &name)
{
    return readFile(std::string(SAMPLES_DIR) + "/" + name);
}

const std::string ValidEntry = "[process]\nvm_id = \"a\"\ndata_centre = \"b\"\n"
                               "[callers]\nlisten = \"127.0.0.1:1\"\n[peers]\nlisten = \"127.0.0.1:3\"\n"
                               "[agent]\nendpoint = \"127.0.0.1:2\"\n";

} // namespace

// Guards against samples that operators copy and that a later change of a key has broken.
TEST_CASE("the sample settings parse")
{
    CHECK(parseEntrySettings(sample("entry.toml")).listen == Endpoint{"127.0.1.1", 8080});
    const auto agent = parseAgentSettings(sample("agent.toml"));
    CHECK(agent.peerPort == 9104);
    CHECK(agent.operators.size() == 2);
    const auto ctl = parseCtlSettings(sample("ctl.toml"));
    CHECK(ctl.agents.size() == 3);
    CHECK(ctl.operators == agent.operators);
}

// Guards against comments that state other defaults than the code has.
TEST_CASE("the defaults that the entry's sample shows are the real ones")
{
    std::string uncommented = sample("entry.toml");
    for (const std::string key :
         {"level", "max_", "proven_", "upstream_idle", "caller_", "header_", "drain_", "limit"}) {
        for (auto at = uncommented.find("\n# " + key); at != std::string::npos; at = uncommented.find("\n# " + key)) {
            uncommented.erase(at + 1, 2);
        }
    }
    REQUIRE(uncommented != sample("entry.toml"));
    CHECK(parseEntrySettings(uncommented) == parseEntrySettings(sample("entry.toml")));
}

// Guards against an entry that starts with neither source of its configuration, or with half of one.
TEST_CASE("an entry follows either an agent or the store")
{
    const std::string common = ValidEntry.substr(0, ValidEntry.find("[agent]"));
    const auto settings = parseEntrySettings(
        common + "[store]\nendpoint = \"10.0.0.1:7\"\nseeds = [\"10.0.0.2:8\"]\npoll_interval = \"1 s\"\n");
    REQUIRE(settings.store);
    CHECK(*settings.store
          == StoreSettings{.endpoint = {"10.0.0.1", 7}, .seeds = {{"10.0.0.2", 8}}, .pollInterval = 1s});
    CHECK_FALSE(parseEntrySettings(ValidEntry).store);
    // The platform fills in whole numbers or fractions.
    const auto granted
        = parseEntrySettings(common
                             + "[store]\nendpoint = \"10.0.0.1:7\"\nretry_allowance = 58.5\nretry_window_s = 7.5\n"
                               "processor_share = 0.2\n");
    CHECK(granted.store->retryAllowance == 58);
    CHECK(granted.store->retryWindow == 7500ms);
    CHECK(granted.store->processorShare == Approx(0.2));
    CHECK(mistakesOf(common + "[store]\nendpoint = \"10.0.0.1:7\"\nretry_window_s = 0\n").find("retry_window_s")
          != std::string::npos);
    CHECK(mistakesOf(common).find("agent") != std::string::npos);
    CHECK(mistakesOf(common + "[store]\n").find("store.endpoint") != std::string::npos);
    CHECK(mistakesOf(common + "[store]\nendpoint = \"10.0.0.1:7\"\nendpiont = 1\n").find("endpiont")
          != std::string::npos);
}

// Guards against an operator who has to fix one mistake per restart.
TEST_CASE("every mistake is reported at once with its line and key")
{
    const std::string text = mistakesOf("[process]\nvm_id = 7\nadmin = \"localhost:1\"\nvmid = \"x\"\n"
                                        "[callers]\nlisten = \"127.0.0.1:1\"\n"
                                        "[limits]\nheader_timeout = 5\nmax_body_bytes = \"64 kB\"\n"
                                        "max_requests = 0\n[extra]\n");
    INFO(text);
    for (const std::string expected : {"line 2: process.vm_id: expected text, not an integer",
                                       "line 1: process.data_centre: missing",
                                       "line 3: process.admin: 'localhost:1'",
                                       "line 4: process.vmid: unknown key",
                                       "agent.endpoint: missing",
                                       "line 8: limits.header_timeout: expected a duration",
                                       "line 9: limits.max_body_bytes: expected a size",
                                       "line 10: limits.max_requests: 0 is out of range; it has to be from 1",
                                       "line 11: extra: unknown key"}) {
        CHECK_THAT(text, Catch::Contains(expected));
    }
}

TEST_CASE("durations and sizes are read in every unit")
{
    const auto settings = parseEntrySettings(ValidEntry
                                             + "[limits]\nheader_timeout = \"1500 us\"\n"
                                               "caller_idle_timeout = \"2 h\"\nmax_header_bytes = 2048\n"
                                               "max_body_bytes = \"3 GiB\"\n[shutdown]\nlimit = \"5 min\"\n");
    CHECK(settings.limits.headerTimeout == 1500us);
    CHECK(settings.limits.callerIdleTimeout == 2h);
    CHECK(settings.limits.maxHeaderBytes == 2048);
    CHECK(settings.limits.maxBodyBytes == 3221225472);
    CHECK(settings.shutdownLimit == 5min);
}

// Guards against values that overflow or that silently take another meaning.
TEST_CASE("a duration that is not exact is refused")
{
    for (const std::string value : {"\"-1 s\"",
                                    "\"1.5 s\"",
                                    "\"1 m\"",
                                    "\"s\"",
                                    "\"9223372036854775807 h\"",
                                    "\"99999999999999999999 s\"",
                                    "\"1 s \"",
                                    "\"25 h\"",
                                    "\"\"",
                                    "true"}) {
        auto toml = ValidEntry + "[limits]\nheader_timeout = ";
        toml += value + "\n";
        const auto text = mistakesOf(toml);
        INFO("value " << value << ": " << text);
        CHECK_THAT(text, Catch::Contains("line 11: limits.header_timeout: "));
    }
}

// Guards against a process that fails on bind with an error that does not name the setting.
TEST_CASE("two keys with the same listening endpoint are refused")
{
    CHECK_THAT(mistakesOf("[process]\nvm_id = \"a\"\ndata_centre = \"b\"\nadmin = \"127.0.0.1:1\"\n"
                          "[callers]\nlisten = \"127.0.0.1:1\"\n[peers]\nlisten = \"127.0.0.1:3\"\n"
                          "[agent]\nendpoint = \"127.0.0.1:2\"\n"),
               Catch::Contains("process.admin: 127.0.0.1:1 is already the endpoint of callers.listen"));
}

// Guards against one person with two names who signs off their own proposal.
TEST_CASE("operators need distinct names and keys, and there are at least two")
{
    const std::string head = "[log]\nendpoint = \"127.0.0.1:1\"\n";
    const std::string key = "public_key = \"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\"\n";
    const std::string one = "[[operators]]\nname = \"a\"\n" + key;
    CHECK_THROWS_WITH(parseCtlSettings(head), Catch::Contains("operators: missing"));
    CHECK_THROWS_WITH(parseCtlSettings(head + one), Catch::Contains("at least two operators"));
    CHECK_THROWS_WITH(parseCtlSettings(head + one + "[[operators]]\nname = \"b\"\n" + key),
                      Catch::Contains("belongs to operator 'a' already"));
    CHECK_THROWS_WITH(parseCtlSettings(head + one + "[[operators]]\nname = \"a\"\npublic_key = \"AB=\"\n"),
                      Catch::Contains("'a' is already an operator") && Catch::Contains("is not a public key"));
}

TEST_CASE("a syntax error is reported with its line, and a missing file with its name")
{
    CHECK_THAT(mistakesOf("[process]\nvm_id = \n"), Catch::StartsWith("line 2: "));
    CHECK_THROWS_WITH(readFile("/nonexistent/entry.toml"), Catch::Contains("/nonexistent/entry.toml: No such file"));
    CHECK_THROWS_WITH(readFile("/"), Catch::Contains("cannot read /"));
}
