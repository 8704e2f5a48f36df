#include "porttiller/config/JsonText.h"
#include "porttiller/config/Resources.h"

#include <doctest/doctest.h>
#include <limits>

using namespace porttiller;

namespace {

std::string
Nested(int aDepth)
{
  std::string text;
  for (int i = 0; i < aDepth; ++i) {
    text += R"({"a":[)";
  }
  return text;
}

} // namespace

TEST_CASE("FieldReader::Integer rejects values that are not integers in range")
{
  constexpr IntegerRange kRange{ .mMin = 1,
                                 .mMax =
                                   std::numeric_limits<std::int64_t>::max() };
  for (const char* wrong : { "0",
                             "-1",
                             "1.5",
                             "\"4\"",
                             "true",
                             "null",
                             "[]",
                             "9223372036854775808",
                             "18446744073709551615" }) {
    CAPTURE(wrong);
    const auto json = ParseJsonObject(std::string(R"({"n":)") + wrong + "}");
    REQUIRE(json);
    FieldErrors errors;
    FieldReader(*json, "", errors).Integer("n", kRange);
    CHECK(errors.size() == 1);
  }
}

TEST_CASE("Numbers beyond 64 bits are errors or become null")
{
  for (const char* wrong : { "18446744073709551616",
                             "-9223372036854775809",
                             "99999999999999999999999999",
                             "1e999" }) {
    CAPTURE(wrong);
    const auto text = std::string(R"({"a":)") + wrong + R"(,"b":"9e9999"})";
    CHECK_FALSE(ParseJsonObject(text));
    CHECK(ReplaceOutOfRangeNumbers(text) == R"({"a":[null],"b":"9e9999"})");
  }
  const std::string fits =
    R"({"a":18446744073709551615,"b":-9223372036854775808,)"
    R"("c":0.333333333333333333333333,"d":1e9,"e":"\\\"1e999"})";
  CHECK(ParseJsonObject(fits));
  CHECK(ReplaceOutOfRangeNumbers(fits) == fits);
}

TEST_CASE("Deep nesting is an error, not a stack overflow")
{
  const auto open = Nested(10'000);
  std::string close;
  for (int i = 0; i < 10'000; ++i) {
    close += "]}";
  }
  CHECK_FALSE(ParseJsonObject(open + close));
  CHECK_FALSE(ParseJsonObject(open));
  CHECK(ParseJsonObject(R"({"a":[{"b":[{"c":1}]}]})"));
}

TEST_CASE(
  "FieldReader::Endpoint accepts only an IPv4 address with a valid port")
{
  const auto accepts = [](const std::string& aText) {
    const auto json = ParseJsonObject(R"({"a":")" + aText + "\"}");
    FieldErrors errors;
    FieldReader(*json, "", errors).Endpoint("a");
    return errors.empty();
  };
  CHECK(accepts("10.1.0.38:8145"));
  for (const char* wrong : { "10.1.0.38",
                             "10.1.0.38:",
                             "10.1.0.38:0",
                             "10.1.0.38:65536",
                             "10.1.0.38:-1",
                             "10.1.0.38:80x",
                             "10.1.0:80",
                             "box.example:80",
                             "[::1]:80",
                             "/run/server.sock:1",
                             ":80" }) {
    CAPTURE(wrong);
    CHECK_FALSE(accepts(wrong));
  }
}

TEST_CASE("Text that was cut is no closed JSON")
{
  const std::string whole = R"({"a":["}",{"b":"\\\"]"}],"c":{}})";
  CHECK(IsClosedJson(whole));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(IsClosedJson(whole.substr(0, size)));
  }
  CHECK_FALSE(IsClosedJson("7"));
  // Also text that is nested too deeply to be parsed.
  constexpr std::size_t kDeep = 100'000;
  CHECK(IsClosedJson(std::string(kDeep, '[') + std::string(kDeep, ']')));
}

TEST_CASE("The address of a box or server has a host and a port to connect to")
{
  const auto isValid = [](const std::string& aAddress) {
    const auto server = ParseResource(
      kBackendServerKind,
      "a",
      R"({"service":"s","box":"b","slots":1,"address":")" + aAddress + "\"}");
    const auto home = ParseResource(
      kBoxKind,
      "a",
      R"({"zone":"z","control_address":"10.0.0.1:1","home_address":")" +
        aAddress + "\"}");
    const auto control =
      ParseResource(kBoxKind,
                    "a",
                    R"({"zone":"z","home_address":"10.0.0.1:1",)"
                    R"("control_address":")" +
                      aAddress + "\"}");
    CHECK(server.has_value() == home.has_value());
    CHECK(server.has_value() == control.has_value());
    return server.has_value();
  };
  for (const char* address :
       { "10.0.0.1:1", "10.0.0.1:65535", "ledger.example:80", "[::1]:80" }) {
    CAPTURE(address);
    CHECK(isValid(address));
  }
  for (const char* address : { "10.0.0.1:0",
                               "10.0.0.1:00",
                               "10.0.0.1:65536",
                               "10.0.0.1:99999",
                               "10.0.0.1:-1",
                               "10.0.0.1:80x",
                               "10.0.0.1:80 ",
                               "10.0.0.1:",
                               "10.0.0.1",
                               ":80",
                               "*:80",
                               "no such host:80" }) {
    CAPTURE(address);
    CHECK_FALSE(isValid(address));
  }
}
