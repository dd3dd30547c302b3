#include "harness/environment.h"
#include "harness/process.h"
#include "verbenadock/base/error.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sys/stat.h>

using namespace Verbenadock;
using namespace Verbenadock::Test;

namespace {

const std::filesystem::path Ctl = std::filesystem::path(PROGRAM_DIR) / "verbenadock-ctl";
const std::string Sample = std::string(SAMPLES_DIR) + "/moka.toml";

struct Answer
{
    int status = -1;
    std::string text;
};

/// The stand-in of the log and two operators; the only agent of the fleet is down.
struct Operators
{
    TemporaryDirectory directory;
    AddressBlock addresses;
    std::string address = addresses.next();
    Endpoint log{address, 7001};
    Endpoint control{address, 7901};
    Process server{std::filesystem::path(PROGRAM_DIR) / "standin-log",
                   {"--listen=" + toString(log), "--control=" + toString(control)},
                   directory.path() / "log.log"};
    unsigned runs = 0;

    Operators()
    {
        std::string table;
        for (const std::string name : {"a", "b"}) {
            auto key = runToEnd(Ctl, {"keygen", this->file(name + ".pem")});
            key.pop_back();
            table.append("[[operators]]\nname = \"")
                .append(name)
                .append("\"\npublic_key = \"")
                .append(key)
                .append("\"\n");
        }
        for (const std::string name : {"a", "b"}) {
            std::ofstream(this->file(name + ".toml"))
                << "[operator]\nname = \"" << name << "\"\nprivate_key_file = \"" << this->file(name + ".pem")
                << "\"\n[log]\nendpoint = \"" << toString(this->log) << "\"\n[fleet]\nagents = [\"" << this->address
                << ":7103\"]\n"
                << table;
        }
        waitFor("the log's control port", std::chrono::seconds(5), [this] {
            return getJson(this->control, "/state").is_object();
        });
    }

    std::string file(const std::string &name) const
    {
        return (this->directory.path() / name).string();
    }

    Answer run(const std::string &name, std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), {"--config", this->file(name + ".toml")});
        const auto output = this->directory.path() / ("output" + std::to_string(this->runs++));
        Process process(Ctl, arguments, output);
        Answer answer{.status = process.waitForExit(std::chrono::seconds(30)).value_or(-1), .text = {}};
        std::ifstream stream(output);
        answer.text.assign(std::istreambuf_iterator<char>(stream), {});
        return answer;
    }

    int status(const std::string &name, const std::vector<std::string> &arguments)
    {
        return this->run(name, arguments).status;
    }
};

} // namespace

// Guards against a private key that other users of the VM can read, and against overwriting one.
TEST_CASE("keygen writes a key for its owner only and never over another file")
{
    Operators operators;
    struct stat status
    {
    };
    REQUIRE(::stat(operators.file("a.pem").c_str(), &status) == 0);
    CHECK((status.st_mode & 0777) == 0600);
    CHECK(operators.status("a", {"keygen", operators.file("a.pem")}) == 2);
}

// Guards against a version that one operator puts in force alone, and against exit statuses that hide a refusal.
TEST_CASE("a version needs a proposal, a sign-off by another operator and a roll-out")
{
    Operators operators;
    CHECK(operators.status("a", {"roll-out", "moka", "1"}) == 3);
    CHECK(operators.status("a", {"propose", Sample}) == 0);
    CHECK(operators.status("a", {"sign-off", "moka", "1"}) == 3);
    CHECK(operators.status("b", {"roll-out", "moka", "1"}) == 3);
    CHECK(operators.status("b", {"sign-off", "moka", "1"}) == 0);
    CHECK(operators.status("b", {"roll-out", "moka", "1"}) == 0);
    CHECK(operators.status("b", {"propose", Sample}) == 3);
    CHECK(operators.status("a", {"diff", "moka", "7"}) == 2);
    CHECK(operators.status("a", {"diff", "moka"}) == 1);
    const auto waited = operators.run("b", {"roll-out", "moka", "1", "--wait", "--wait-seconds", "1"});
    CHECK(waited.status == 5);
    CHECK_THAT(waited.text, Catch::Contains("unreachable"));
    CHECK(operators.status("a", {"status"}) == 4);
}

// Guards against an operator who is told that an accepted record was lost, and so rolls out something else.
TEST_CASE("an append whose answer is lost is found in the log and not repeated")
{
    Operators operators;
    postJson(operators.control, "/set", {{"loseAppendAnswers", 1}});
    CHECK(operators.status("a", {"propose", Sample}) == 0);
    CHECK(getJson(operators.control, "/state")["streams"]["configuration"]["next"] == 1);
    const auto history = Json::parse(operators.run("a", {"--json", "history"}).text);
    REQUIRE(history["entries"].size() == 1);
    CHECK(history["entries"][0]["result"] == "proposed");
}

TEST_CASE("while the log is unavailable, operators hear that nothing can be accepted")
{
    Operators operators;
    const auto outage = GENERATE(as<std::string>(), "error", "refuse");
    postJson(operators.control, "/set", {{"outage", outage}});
    const auto answer = operators.run("a", {"propose", Sample});
    INFO(answer.text);
    CHECK(answer.status == 4);
    CHECK_THAT(answer.text, Catch::Contains("nothing can be accepted while the log is unavailable"));
}
