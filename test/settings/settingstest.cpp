#include "verbenadock/settings/settings.h"

#include <catch2/catch.hpp>

#include <regex>

using namespace Verbenadock;
using namespace Verbenadock::Settings;
using namespace std::chrono_literals;

namespace {

std::string mistakesIn(const std::string &toml)
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

// Guards against sample files, which operators copy, that no longer parse after a key was changed.
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

// Guards against commented-out defaults in the sample that differ from the defaults in the code.
TEST_CASE("the sample of the entry shows the actual defaults")
{
    std::string withDefaults = sample("entry.toml");
    for (const std::string key :
         {"level", "max_", "proven_", "upstream_idle", "caller_", "header_", "drain_", "limit"}) {
        for (auto position = withDefaults.find("\n# " + key); position != std::string::npos;
             position = withDefaults.find("\n# " + key)) {
            withDefaults.erase(position + 1, 2);
        }
    }
    REQUIRE(withDefaults != sample("entry.toml"));
    CHECK(parseEntrySettings(withDefaults) == parseEntrySettings(sample("entry.toml")));
}

// Guards against an entry that starts without a source of its configuration, or with incomplete settings for its
// source.
TEST_CASE("an entry reads its configuration from an agent or from the store")
{
    const std::string common = ValidEntry.substr(0, ValidEntry.find("[agent]"));
    const auto settings = parseEntrySettings(
        common + "[store]\nendpoint = \"10.0.0.1:7\"\nseeds = [\"10.0.0.2:8\"]\npoll_interval = \"1 s\"\n");
    REQUIRE(settings.store);
    CHECK(*settings.store
          == StoreSettings{.endpoint = {"10.0.0.1", 7}, .seeds = {{"10.0.0.2", 8}}, .pollInterval = 1s});
    CHECK_FALSE(parseEntrySettings(ValidEntry).store);
    // The platform inserts integers or fractions.
    const auto withFractions
        = parseEntrySettings(common
                             + "[store]\nendpoint = \"10.0.0.1:7\"\nretry_allowance = 58.5\nretry_window_s = 7.5\n"
                               "processor_share = 0.2\ncap_slack = 20\nlink_mbps = 10\n");
    CHECK(withFractions.store->retryAllowance == 58);
    CHECK(withFractions.store->retryWindow == 7500ms);
    CHECK(withFractions.store->processorShare == Approx(0.2));
    CHECK(withFractions.store->capSlack == Approx(20));
    CHECK(settings.store->capSlack == 0);
    CHECK(withFractions.store->linkMbps == Approx(10));
    CHECK(settings.store->linkMbps == 0);
    CHECK(mistakesIn(common + "[store]\nendpoint = \"10.0.0.1:7\"\nretry_window_s = 0\n").find("retry_window_s")
          != std::string::npos);
    CHECK(mistakesIn(common + "[store]\nendpoint = \"10.0.0.1:7\"\ncap_slack = -1\n").find("cap_slack")
          != std::string::npos);
    CHECK(mistakesIn(common + "[store]\nendpoint = \"10.0.0.1:7\"\nlink_mbps = -1\n").find("link_mbps")
          != std::string::npos);
    CHECK(mistakesIn(common).find("agent") != std::string::npos);
    CHECK(mistakesIn(common + "[store]\n").find("store.endpoint") != std::string::npos);
    CHECK(mistakesIn(common + "[store]\nendpoint = \"10.0.0.1:7\"\nendpiont = 1\n").find("endpiont")
          != std::string::npos);
}

// Guards against an error message with only the first mistake, so that each mistake costs a restart.
TEST_CASE("every mistake is reported at once with its line and key")
{
    const std::string text = mistakesIn("[process]\nvm_id = 7\nadmin = \"localhost:1\"\nvmid = \"x\"\n"
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

TEST_CASE("durations and sizes are accepted in every unit")
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

// Guards against a shutdown that cuts requests off long before SIGKILL.
TEST_CASE("the shutdown limit of the deployment follows the time of SIGKILL")
{
    // Only the values that the platform fills in decide the result; the others have the shape of real ones.
    const auto deployed = [](const std::string &graceSeconds) {
        auto text = readFile(DEPLOY_DIR "/entry.toml");
        text = std::regex_replace(text, std::regex(R"(\{\{#seeds\}\}.*\{\{/seeds\}\})"), "");
        text = std::regex_replace(text, std::regex(R"(\{\{[#/][A-Za-z.]+\}\})"), "");
        text = std::regex_replace(text, std::regex(R"(\{\{bounds\.graceS\}\})"), graceSeconds);
        for (int port = 1; text.find("{{") != std::string::npos; ++port) {
            const auto start = text.find("{{");
            const auto end = text.find("}}", start) + 2;
            const auto name = text.substr(start + 2, end - start - 4);
            const bool isAddress = name.starts_with("listen.") || name == "platform.address";
            const auto value = isAddress      ? "10.0.0.1:" + std::to_string(port)
                               : name == "ip" ? std::string("10.0.0.2")
                                              : std::to_string(port);
            text.replace(start, end - start, value);
        }
        return parseEntrySettings(text);
    };
    CHECK(deployed("6").shutdownLimit == 5700ms);
    CHECK(deployed("10").shutdownLimit == 9700ms);
    CHECK(deployed("7.5").shutdownLimit == 7200ms);
    CHECK(deployed("2").drainDelay < deployed("2").shutdownLimit);
    CHECK(deployed("10").drainDelay == 2200ms);
}

// Guards against revoked keys that an entry serves for as long as it is cut off, where the platform forbids it.
TEST_CASE("strict revocation and its time are read from the store's settings")
{
    const auto storeSettings = [](const std::string &lines) {
        auto text = ValidEntry.substr(0, ValidEntry.find("[agent]")) + "[store]\nendpoint = \"127.0.0.1:9\"\n" + lines;
        return parseEntrySettings(text).store.value();
    };
    CHECK_FALSE(storeSettings("").strictRevocation);
    CHECK(storeSettings("").revocation == 5s);
    CHECK(storeSettings("strict_revocation = true\nrevocation_s = 3.5\n").strictRevocation);
    CHECK(storeSettings("revocation_s = 3.5\n").revocation == 3500ms);
    CHECK(storeSettings("revocation_s = 8\n").revocation == 8s);
    CHECK_THROWS_WITH(storeSettings("revocation_s = 0\n"), Catch::Contains("revocation_s: "));
    CHECK_THROWS_WITH(storeSettings("strict_revocation = \"yes\"\n"), Catch::Contains("strict_revocation: "));
}

// Guards against a process that holds more than its VM has, and against one that can hold nothing.
TEST_CASE("the held bytes follow the memory of the VM, and the deployment fills it in")
{
    const auto heldBytes = [](const std::string &lines) {
        const auto limits = parseEntrySettings(ValidEntry + "[limits]\n" + lines).limits;
        return limits.heldBytes;
    };
    CHECK(heldBytes("") == 0);
    CHECK(heldBytes("memory_mb = 0\n") == 0);
    CHECK(heldBytes("memory_mb = 160\n") == 40'000'000);
    CHECK(heldBytes("memory_mb = 64\n") == 16'000'000);
    CHECK(heldBytes("memory_mb = 389\n") == 154'500'000);
    CHECK(readFile(DEPLOY_DIR "/entry.toml").find("{{#limits.memoryMb}}memory_mb = {{limits.memoryMb}}\n")
          != std::string::npos);
}

// Guards against a depth with which a connection serves nothing.
TEST_CASE("the pipeline depth is at least 1")
{
    CHECK(parseEntrySettings(ValidEntry + "[limits]\npipeline_depth = 1\n").limits.pipelineDepth == 1);
    CHECK(mistakesIn(ValidEntry + "[limits]\npipeline_depth = 0\n").find("pipeline_depth") != std::string::npos);
}

// Guards against a limit of which nobody can tell where it comes from.
TEST_CASE("a shutdown limit beside the time of SIGKILL is reported")
{
    CHECK_THAT(mistakesIn(ValidEntry + "[shutdown]\nlimit = \"5 s\"\nkill_after_s = 6\n"),
               Catch::Contains("shutdown.kill_after_s: cannot be combined with limit"));
    CHECK_THAT(mistakesIn(ValidEntry + "[shutdown]\nkill_after_s = 0.1\n"), Catch::Contains("out of range"));
}

// Guards against values that overflow or are silently misread.
TEST_CASE("a malformed or out-of-range duration is reported")
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
        const auto text = mistakesIn(toml);
        INFO("value " << value << ": " << text);
        CHECK_THAT(text, Catch::Contains("line 11: limits.header_timeout: "));
    }
}

// Guards against a process that fails in bind(), with an error that does not name the setting.
TEST_CASE("two keys with the same endpoint are reported")
{
    CHECK_THAT(mistakesIn("[process]\nvm_id = \"a\"\ndata_centre = \"b\"\nadmin = \"127.0.0.1:1\"\n"
                          "[callers]\nlisten = \"127.0.0.1:1\"\n[peers]\nlisten = \"127.0.0.1:3\"\n"
                          "[agent]\nendpoint = \"127.0.0.1:2\"\n"),
               Catch::Contains("process.admin: 127.0.0.1:1 is already the endpoint of callers.listen"));
}

// Guards against a person who signs off their own proposal under a second name.
TEST_CASE("at least two operators with distinct names and keys are required")
{
    const std::string head = "[log]\nendpoint = \"127.0.0.1:1\"\n";
    const std::string key = "public_key = \"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\"\n";
    const std::string firstOperator = "[[operators]]\nname = \"a\"\n" + key;
    CHECK_THROWS_WITH(parseCtlSettings(head), Catch::Contains("operators: missing"));
    CHECK_THROWS_WITH(parseCtlSettings(head + firstOperator), Catch::Contains("at least two operators"));
    CHECK_THROWS_WITH(parseCtlSettings(head + firstOperator + "[[operators]]\nname = \"b\"\n" + key),
                      Catch::Contains("belongs to operator 'a' already"));
    CHECK_THROWS_WITH(parseCtlSettings(head + firstOperator + "[[operators]]\nname = \"a\"\npublic_key = \"AB=\"\n"),
                      Catch::Contains("'a' is already an operator") && Catch::Contains("is not a public key"));
}

TEST_CASE("a syntax error is reported with its line and an unreadable file with its name")
{
    CHECK_THAT(mistakesIn("[process]\nvm_id = \n"), Catch::StartsWith("line 2: "));
    CHECK_THROWS_WITH(readFile("/nonexistent/entry.toml"), Catch::Contains("/nonexistent/entry.toml: No such file"));
    CHECK_THROWS_WITH(readFile("/"), Catch::Contains("cannot read /"));
}
