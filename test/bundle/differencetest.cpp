#include "verbenadock/bundle/difference.h"

#include <catch2/catch.hpp>

using namespace Verbenadock::Bundles;

// Guards against a sign-off of changes that the difference omitted.
TEST_CASE("a difference shows each changed line with three lines of context")
{
    const std::string before = "1\n2\n3\n4\n5\n6\n7\n8\n9\n10\n11\n12\n13\n14\n";
    const std::string after = "1\n2\n3\n4\nfive\n6\n7\n8\n9\n10\n11\n12\n13\n14\n15";
    CHECK(unifiedDifference({"a", before}, {"b", after})
          == "--- a\n+++ b\n@@ -2,7 +2,7 @@\n 2\n 3\n 4\n-5\n+five\n 6\n 7\n 8\n@@ -12,3 +12,4 @@\n 12\n 13\n 14\n+15\n"
             "\\ No newline at end of file\n");
    CHECK(unifiedDifference({"a", before}, {"b", before}).empty());
    CHECK(unifiedDifference({"a", ""}, {"b", "x\n"}) == "--- a\n+++ b\n@@ -0,0 +1,1 @@\n+x\n");
    CHECK(unifiedDifference({"a", "x\ny\n"}, {"b", "y\n"}) == "--- a\n+++ b\n@@ -1,2 +1,1 @@\n-x\n y\n");
}

// Guards against a table of gigabytes for two large texts without common lines.
TEST_CASE("very large changes are shown as one replaced block")
{
    std::string before;
    std::string after;
    for (unsigned line = 0; line < 5000; ++line) {
        before += "a" + std::to_string(line) + "\n";
        after += "b" + std::to_string(line) + "\n";
    }
    CHECK_THAT(unifiedDifference({"a", before}, {"b", after}), Catch::Contains("@@ -1,5000 +1,5000 @@\n-a0\n"));
}
