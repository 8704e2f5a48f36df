// Requests that a backend server may read differently than this proxy.
#include "porttiller/http/MessageReader.h"

#include <doctest/doctest.h>
#include <string>

using namespace porttiller;
using namespace std::string_literals;

namespace {

tl::expected<std::size_t, MessageFault>
Feed(MessageReader& aReader, std::string_view aText, std::size_t aSplit)
{
  auto used = aReader.Feed(aText.substr(0, aSplit));
  return used ? aReader.Feed(aText.substr(aSplit)) : used;
}

void
CheckMalformed(const std::string& aText)
{
  for (std::size_t split = 0; split <= aText.size(); ++split) {
    CAPTURE(aText);
    CAPTURE(split);
    MessageReader reader(MessageKind::kRequest, {});
    const auto used = Feed(reader, aText, split);
    REQUIRE_FALSE(used.has_value());
    CHECK(used.error() == MessageFault::kMalformed);
  }
}

void
CheckRead(const std::string& aText, const std::string& aBody)
{
  for (std::size_t split = 0; split <= aText.size(); ++split) {
    CAPTURE(aText);
    CAPTURE(split);
    MessageReader reader(MessageKind::kRequest, {});
    REQUIRE(Feed(reader, aText, split));
    REQUIRE(reader.IsComplete());
    CHECK(reader.TakeRequest().mBody == aBody);
  }
}

const std::string kPost = "POST /x HTTP/1.1\r\nHost: a\r\n";
const std::string kBody = "Content-Length: 2\r\n\r\nok";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("A request with fields that are no tokens or text is malformed")
{
  for (const auto& field : { "X Foo: 1"s,
                             "X-Foo : 1"s,
                             "Host : t"s,
                             "Content-Length : 0"s,
                             " X: 1"s,
                             "X\x01: 1"s,
                             "X-V: \0"s,
                             "X-V: a\x01"s,
                             "X-V: a\rb"s,
                             "X"s }) {
    CheckMalformed("POST /x HTTP/1.1\r\n" + field + "\r\n" + kBody);
    CheckMalformed(kPost + kChunked + "0\r\n" + field + "\r\n\r\n");
  }
}

TEST_CASE("A request with chunks or a coding that is not read is malformed")
{
  for (const char* coding : { "gzip",
                              "gzip, chunked",
                              "chunked, gzip",
                              "chunked, chunked",
                              "xchunked",
                              "identity",
                              "" }) {
    CheckMalformed(kPost + "Transfer-Encoding: " + coding +
                   "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  }
  for (const auto& chunks : { "5\r\nhelloXX0\r\n\r\n"s,
                              "5;a\nhello\r\n0\r\n\r\n"s,
                              "5;a=\0\r\nhello\r\n0\r\n\r\n"s,
                              "5\r\nhello\n\n0\r\n\r\n"s }) {
    CheckMalformed(kPost + kChunked + chunks);
  }
}

TEST_CASE("A request with control characters in its line is malformed")
{
  for (const char byte : { '\0', '\x01', '\x7f', '\r' }) {
    CheckMalformed("GET /x"s + byte + "y HTTP/1.1\r\nHost: a\r\n\r\n");
  }
}

TEST_CASE("Valid requests of less common forms are read")
{
  CheckRead(kPost + kBody, "ok");
  CheckRead("\r\n" + kPost + kBody, "ok");
  CheckRead("POST /x HTTP/1.1\nHost: a\nContent-Length: 2\n\nok", "ok");
  CheckRead("POST /x HTTP/1.0\r\n" + kBody, "ok");
  CheckRead("GET /x HTTP/1.1\r\nHost: a\r\nX-V: \xe9\t1\r\n y\r\n\r\n", "");
  CheckRead(kPost + kChunked + "2;a=b\r\nok\r\n0\r\nX-T: 1\r\n\r\n", "ok");
}
