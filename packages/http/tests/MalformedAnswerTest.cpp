// Answers that are no valid HTTP/1.x, in whatever parts they arrive.
#include "Mutate.h"
#include "porttiller/http/MessageReader.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <string>
#include <variant>
#include <vector>

using namespace porttiller;
using namespace std::string_literals;

namespace {

struct Incomplete
{};

using Reading = std::variant<Incomplete, MessageFault, HttpAnswer>;

// Reads the text in two parts, then the end of the connection.
Reading
Read(std::string_view aText, std::size_t aSplit, bool aHeadOnly = false)
{
  MessageReader reader(MessageKind::kAnswer, {});
  reader.Next(aHeadOnly);
  for (const auto part : { aText.substr(0, aSplit), aText.substr(aSplit) }) {
    if (const auto used = reader.Feed(part); !used) {
      return used.error();
    }
  }
  if (!reader.IsComplete() && !reader.End()) {
    return Incomplete{};
  }
  return reader.TakeAnswer();
}

void
CheckMalformed(const std::string& aText)
{
  for (std::size_t split = 0; split <= aText.size(); ++split) {
    CAPTURE(aText);
    CAPTURE(split);
    const auto reading = Read(aText, split);
    const auto* fault = std::get_if<MessageFault>(&reading);
    REQUIRE(fault != nullptr);
    CHECK(*fault == MessageFault::kMalformed);
  }
}

void
CheckRead(const std::string& aText,
          const HttpAnswer& aExpected,
          bool aHeadOnly = false)
{
  for (std::size_t split = 0; split <= aText.size(); ++split) {
    CAPTURE(aText);
    CAPTURE(split);
    const auto reading = Read(aText, split, aHeadOnly);
    const auto* answer = std::get_if<HttpAnswer>(&reading);
    REQUIRE(answer != nullptr);
    CHECK(answer->mStatus == aExpected.mStatus);
    CHECK(answer->mHeaders == aExpected.mHeaders);
    CHECK(answer->mBody.View() == aExpected.mBody.View());
  }
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kBody = "Content-Length: 2\r\n\r\nok";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
const HttpHeader kLength{ .mName = "Content-Length", .mValue = "2" };
const HttpHeader kCoding{ .mName = "Transfer-Encoding", .mValue = "chunked" };

} // namespace

TEST_CASE("A status that is not three digits from 100 to 599 is malformed")
{
  for (const char* status : { "000",
                              "001",
                              "0",
                              "20",
                              "050",
                              "99",
                              "099",
                              "600",
                              "777",
                              "999",
                              "00200",
                              "2000",
                              "+20",
                              "-20",
                              "20x",
                              "" }) {
    CheckMalformed("HTTP/1.1 "s + status + " X\r\n" + kBody);
    CheckMalformed("HTTP/1.1 "s + status + "\r\n" + kBody);
  }
  CheckMalformed("HTTP/1.1 000 X\r\n\r\n" + kOk + kBody);
  CheckMalformed("HTTP/1.1 050 X\r\n\r\n" + kOk + kBody);
  CheckMalformed("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 X\r\n" + kBody);
}

TEST_CASE("A reason phrase with a control character is malformed")
{
  for (const char byte : { '\r', '\0', '\x01', '\x1b', '\x7f' }) {
    CheckMalformed("HTTP/1.1 200 O"s + byte + "K\r\n" + kBody);
    CheckMalformed("HTTP/1.1 200 OK"s + byte + "\r\n" + kBody);
  }
}

TEST_CASE("An answer of another version of HTTP is malformed")
{
  for (const char* version : { "0.9", "1.2", "1.9", "2.0", "3.0" }) {
    CheckMalformed("HTTP/"s + version + " 200 OK\r\n" + kBody);
  }
}

TEST_CASE("A field name that is no token is malformed in head, interim head "
          "and trailers")
{
  for (const auto& field : { "X Foo: 1"s,
                             "X-Foo : 1"s,
                             " X-Foo: 1"s,
                             "\tX-Foo: 1"s,
                             "Content Length: 1"s,
                             "Content-Length : 1"s,
                             "X\tFoo: 1"s,
                             "X\rFoo: 1"s,
                             "X\0Foo: 1"s,
                             "X\x01"s + "Foo: 1",
                             "X\x7f"s + "Foo: 1",
                             "X\xe9"s + "Foo: 1",
                             "X(Foo: 1"s,
                             ": 1"s,
                             "X-Foo"s }) {
    const auto line = field + "\r\n";
    CheckMalformed(kOk + line + kBody);
    CheckMalformed("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + kOk +
                   kBody);
    CheckMalformed(kOk + kChunked + "2\r\nok\r\n0\r\n" + line + "\r\n");
  }
  CheckMalformed(kOk + "X-First: 1\r\nX Foo: 1\r\n" + kBody);
  CheckMalformed(kOk + "Content-Length : 1\r\n\r\nok");
}

TEST_CASE("A field value with a control character is malformed")
{
  for (const auto& value : { "\0"s, "\0a"s, "a\0b"s, "\x01"s, "a\x7f"s }) {
    CheckMalformed(kOk + "X-V: " + value + "\r\n" + kBody);
    CheckMalformed(kOk + "X-V:" + value + "\r\n" + kBody);
    CheckMalformed("HTTP/1.1 103 Early Hints\r\nX-V: " + value + "\r\n\r\n" +
                   kOk + kBody);
    CheckMalformed(kOk + kChunked + "0\r\nX-V: " + value + "\r\n\r\n");
  }
  CheckMalformed(kOk + "X-V: a\rb\r\n" + kBody);
  CheckMalformed(kOk + "X-V: a\r\r\n" + kBody);
}

TEST_CASE("Lines of chunks that do not end where they should are malformed")
{
  for (const auto& chunks : { "5\r\nhelloXX0\r\n\r\n"s,
                              "5\r\nhello\n\n0\r\n\r\n"s,
                              "5\r\nhello\r0\r\n\r\n"s,
                              "5\r\nhello\r\r0\r\n\r\n"s,
                              "5\rXhello\r\n0\r\n\r\n"s,
                              "5;a\nhello\r\n0\r\n\r\n"s,
                              "5;a\rb\r\nhello\r\n0\r\n\r\n"s,
                              "5;a=\0\r\nhello\r\n0\r\n\r\n"s,
                              "5;a=\x01\r\nhello\r\n0\r\n\r\n"s,
                              "0;a=\0\r\n\r\n"s,
                              "+5\r\nhello\r\n0\r\n\r\n"s,
                              " 5\r\nhello\r\n0\r\n\r\n"s,
                              "11111111111111111\r\nhello\r\n0\r\n\r\n"s }) {
    CheckMalformed(kOk + kChunked + chunks);
  }
}

TEST_CASE("A transfer coding that cannot be decoded is malformed")
{
  for (const char* coding : { "gzip",
                              "gzip, chunked",
                              "chunked, gzip",
                              "chunked, chunked",
                              "xchunked",
                              "chunkedx",
                              "identity",
                              "" }) {
    CheckMalformed(kOk + "Transfer-Encoding: " + coding +
                   "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    CheckMalformed(kOk + "Transfer-Encoding: " + coding + "\r\n" + kBody);
  }
  CheckMalformed(kOk + "Transfer-Encoding: chunked\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  CheckMalformed(kOk + "Transfer-Encoding: chunked\r\n" + kBody);
}

TEST_CASE("Valid answers of less common forms are read")
{
  const HttpAnswer ok{ .mStatus = 200, .mHeaders = { kLength }, .mBody = "ok" };
  for (const char* line :
       { "HTTP/1.1 200 OK\r\n",
         "HTTP/1.1 200 \r\n",
         "HTTP/1.1 200\r\n",
         "HTTP/1.1 200 \xc3\xa9t\xc3\xa9\r\n",
         "HTTP/1.1 200 a\tb\r\n",
         "HTTP/1.0 200 OK\r\n",
         "\r\nHTTP/1.1 200 OK\r\n",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" }) {
    CheckRead(line + kBody, ok);
  }
  CheckRead("HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" +
              "HTTP/1.1 102 Processing\r\n\r\n"s + kOk + kBody,
            ok);
  for (const int status : { 200, 299, 404, 599 }) {
    CheckRead("HTTP/1.1 " + std::to_string(status) + " X\r\n" + kBody,
              { .mStatus = status, .mHeaders = { kLength }, .mBody = "ok" });
  }
  CheckRead("HTTP/1.1 200 OK\nContent-Length: 2\n\nok", ok);
}

TEST_CASE("Values with tabs, bytes above 0x7f and folds are read")
{
  const auto read = [](const std::string& aField, const std::string& aValue) {
    CheckRead(kOk + aField + "\r\n" + kBody,
              { .mStatus = 200,
                .mHeaders = { { .mName = "X-V", .mValue = aValue }, kLength },
                .mBody = "ok" });
  };
  read("X-V: a\tb", "a\tb");
  read("X-V: \xe9\xff", "\xe9\xff");
  read("X-V:", "");
  read("X-V:a:b", "a:b");
  read("X-V: a\r\n b", "a b");
}

TEST_CASE("Bodies in chunks, until the end, and of no length are read")
{
  const HttpAnswer chunked{ .mStatus = 200,
                            .mHeaders = { kCoding },
                            .mBody = "hello" };
  for (const char* chunks : { "5\r\nhello\r\n0\r\n\r\n",
                              "5;a=b\r\nhello\r\n0;c\r\n\r\n",
                              "5;a=\"\xe9\t\"\r\nhello\r\n0\r\n\r\n",
                              "2\r\nhe\r\n03\r\nllo\r\n0\r\n\r\n" }) {
    CheckRead(kOk + kChunked + chunks, chunked);
  }
  CheckRead(kOk + kChunked + "5\r\nhello\r\n0\r\nX-T: 1\r\nX-U: 2\r\n\r\n",
            { .mStatus = 200,
              .mHeaders = { kCoding,
                            { .mName = "X-T", .mValue = "1" },
                            { .mName = "X-U", .mValue = "2" } },
              .mBody = "hello" });
  CheckRead(
    kOk + "TRANSFER-ENCODING: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    { .mStatus = 200,
      .mHeaders = { { .mName = "TRANSFER-ENCODING", .mValue = "Chunked" } },
      .mBody = "ok" });
  CheckRead("HTTP/1.0 200 OK\r\n\r\nabc", { .mStatus = 200, .mBody = "abc" });
  CheckRead("HTTP/1.1 204 No Content\r\n\r\n", { .mStatus = 204 });
  CheckRead("HTTP/1.1 304 Not Modified\r\n\r\n", { .mStatus = 304 });
  CheckRead(kOk + "Content-Length: 2\r\n\r\n",
            { .mStatus = 200, .mHeaders = { kLength } },
            true);
  // Of a body that is over the limit, and not sent.
  const HttpHeader large{ .mName = "Content-Length", .mValue = "99999999999" };
  CheckRead(kOk + "Content-Length: 99999999999\r\n\r\n",
            { .mStatus = 200, .mHeaders = { large } },
            true);
}

// RFC 9112, 6.3: whatever its fields say.
TEST_CASE("Interim answers, 204 and 304 have no body")
{
  const HttpAnswer ok{ .mStatus = 200, .mHeaders = { kLength }, .mBody = "ok" };
  CheckRead(
    "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n" + kOk + kBody, ok);
  CheckRead("HTTP/1.1 103 Early Hints\r\n" + kChunked + kOk + kBody, ok);
  for (const int status : { 204, 304 }) {
    const auto line = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    CheckRead(line + "Content-Length: 2\r\n\r\n",
              { .mStatus = status, .mHeaders = { kLength } });
    CheckRead(line + kChunked, { .mStatus = status, .mHeaders = { kCoding } });
    // The next answer is not its body.
    CheckRead(line + "Content-Length: 2\r\n\r\n" + kOk + kBody,
              { .mStatus = status, .mHeaders = { kLength } });
  }
}

TEST_CASE("A mutated answer is well-formed or refused, however it is split")
{
  const std::array texts = {
    kOk + "X-V: a\r\nX-W:\r\n" + kBody,
    kOk + kChunked + "5;a=b\r\nhello\r\n0\r\nX-T: 1\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nX-V: 1\r\n\r\n" + kOk + kBody,
  };
  const auto isToken = [](const std::string& aName) {
    return !aName.empty() &&
           std::all_of(aName.begin(), aName.end(), [](unsigned char aByte) {
             return aByte > ' ' && aByte < '\x7f' &&
                    "\"(),/:;<=>?@[\\]{}"s.find(static_cast<char>(aByte)) ==
                      std::string::npos;
           });
  };
  const auto isText = [](const std::string& aValue) {
    return std::none_of(aValue.begin(), aValue.end(), [](unsigned char aByte) {
      return (aByte < ' ' && aByte != '\t') || aByte == '\x7f';
    });
  };
  CHECK(rc::check([&] {
    const auto text = Mutated(texts.at(static_cast<std::size_t>(Draw(0, 3))));
    const auto whole = Read(text, text.size());
    const auto split = Read(text,
                            static_cast<std::size_t>(Draw<std::int64_t>(
                              0, static_cast<std::int64_t>(text.size()) + 1)));
    RC_ASSERT(whole.index() == split.index());
    const auto* answer = std::get_if<HttpAnswer>(&whole);
    if (answer == nullptr) {
      return;
    }
    const auto& other = std::get<HttpAnswer>(split);
    RC_ASSERT(answer->mStatus == other.mStatus);
    RC_ASSERT(answer->mHeaders == other.mHeaders);
    RC_ASSERT(answer->mBody.View() == other.mBody.View());
    RC_ASSERT(answer->mStatus >= 200 && answer->mStatus <= 599);
    for (const auto& header : answer->mHeaders) {
      RC_ASSERT(isToken(header.mName));
      RC_ASSERT(isText(header.mValue));
    }
  }));
}
