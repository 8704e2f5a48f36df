// Answers of the store that are no valid HTTP, belong to no request, or do not
// end.
#include "porttiller/store/ObjectClient.h"
#include "standin/EndlessServerStandIn.h"
#include "standin/RawServerStandIn.h"

#include <array>
#include <doctest/doctest.h>
#include <string>

using namespace porttiller;
using namespace std::string_literals;
using standin::EndlessAnswer;
using standin::EndlessServerStandIn;
using standin::RawServerStandIn;

namespace {

constexpr const char* kAnyPort = "127.0.0.1:0";
constexpr const char* kEndlessAddress = "127.0.0.1:22948";
constexpr Millis kTimeout{ 1000 };
// Of an answer, with what the sockets of both ends hold beside it.
constexpr std::uint64_t kMaxAnswerBytes = 40 << 20;

const ObjectKey kKey{ "Service", "a" };
const std::string kObject =
  R"({"kind":"Service","name":"a","version":7,"spec":{"floor_slots":1}})";

std::string
Answer(const std::string& aStatusLine, const std::string& aFields = "")
{
  return aStatusLine + "\r\n" + aFields +
         "Content-Length: " + std::to_string(kObject.size()) + "\r\n\r\n" +
         kObject;
}

ObjectClient
ClientOf(const std::string& aAddress)
{
  return ObjectClient({ .mAddress = aAddress, .mTimeout = kTimeout });
}

} // namespace

TEST_CASE("A malformed answer of the store says nothing")
{
  RawServerStandIn store(kAnyPort, "");
  auto client = ClientOf(store.Address());
  for (const auto& answer : { Answer("HTTP/1.1 000 X"),
                              Answer("HTTP/1.1 020 X"),
                              Answer("HTTP/1.1 20 X"),
                              Answer("HTTP/1.1 600 X"),
                              Answer("HTTP/1.1 999 X"),
                              Answer("HTTP/2.0 200 OK"),
                              Answer("HTTP/1.1 200 O\rK"),
                              Answer("HTTP/1.1 200 OK", "X Foo: 1\r\n"),
                              Answer("HTTP/1.1 200 OK", "X-V: \0\r\n"s),
                              Answer("HTTP/1.1 200 OK", "X\x01: 1\r\n"),
                              Answer("HTTP/1.1 404 Not Found", "X Foo: 1\r\n"),
                              "not http at all\r\n\r\n"s }) {
    CAPTURE(answer);
    store.SetAnswer(answer);
    const auto read = client.Get(kKey);
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().mKind == StoreErrorKind::kUnavailable);
    const auto written = client.Create(kKey, "{}");
    REQUIRE_FALSE(written.has_value());
    CHECK(written.error().mKind == StoreErrorKind::kAmbiguous);
  }
  CHECK(store.RequestsOnUsedConnections() == 0);
}

TEST_CASE("A write that the store answers with a failure of its own may have "
          "taken effect")
{
  RawServerStandIn store(kAnyPort, "");
  auto client = ClientOf(store.Address());
  for (const char* status : { "500 X", "502 X", "504 X" }) {
    CAPTURE(status);
    store.SetAnswer(Answer("HTTP/1.1 "s + status));
    CHECK(client.Create(kKey, "{}").error().mKind ==
          StoreErrorKind::kAmbiguous);
    CHECK(client.Get(kKey).error().mKind == StoreErrorKind::kUnavailable);
  }
  for (const char* status : { "429 X", "503 X", "401 X" }) {
    CAPTURE(status);
    store.SetAnswer(Answer("HTTP/1.1 "s + status));
    CHECK(client.Create(kKey, "{}").error().mKind ==
          StoreErrorKind::kUnavailable);
  }
}

TEST_CASE("An answer of the store behind another one belongs to no request")
{
  RawServerStandIn store(
    kAnyPort, Answer("HTTP/1.1 200 OK") + Answer("HTTP/1.1 404 Not Found"));
  auto client = ClientOf(store.Address());
  for (int i = 0; i < 4; ++i) {
    CHECK(client.Get(kKey).has_value());
    CHECK(client.Create(kKey, "{}").has_value());
  }
  CHECK(store.RequestsOnUsedConnections() == 0);
}

TEST_CASE("Answers of the store share a connection")
{
  RawServerStandIn store(kAnyPort, Answer("HTTP/1.1 200 OK"));
  auto client = ClientOf(store.Address());
  for (int i = 0; i < 4; ++i) {
    CHECK(client.Get(kKey).has_value());
  }
  CHECK(store.RequestsOnUsedConnections() == 3);
}

TEST_CASE("An answer of the store without end is cut off")
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string filler(4096, 'x');
  const std::array answers = {
    EndlessAnswer{ .mBegin = "HTTP/1.1 200 ", .mRepeat = filler },
    EndlessAnswer{ .mBegin = ok + "X: ", .mRepeat = filler },
    EndlessAnswer{ .mBegin = ok, .mRepeat = "X: 1\r\n" },
    EndlessAnswer{ .mRepeat = "HTTP/1.1 102 Processing\r\n\r\n" },
    EndlessAnswer{ .mBegin = ok + "\r\n{\"items\":[\"", .mRepeat = filler },
    EndlessAnswer{ .mBegin = ok + "Transfer-Encoding: chunked\r\n\r\n5;x=",
                   .mRepeat = filler },
    EndlessAnswer{ .mBegin = ok + "Transfer-Encoding: chunked\r\n\r\n",
                   .mRepeat = "1000\r\n" + filler + "\r\n" },
    EndlessAnswer{ .mBegin = ok + "Content-Length: 99999999999\r\n\r\n",
                   .mRepeat = filler },
    EndlessAnswer{ .mBegin = ok + "Content-Length: 1000000\r\n\r\n",
                   .mRepeat = filler,
                   .mStopAfter = 500'000 },
  };
  for (const auto& answer : answers) {
    CAPTURE(answer.mBegin);
    const EndlessServerStandIn store(kEndlessAddress, answer);
    auto client = ClientOf(kEndlessAddress);
    CHECK(client.List("Service").error().mKind == StoreErrorKind::kUnavailable);
    CHECK(client.Create(kKey, "{}").error().mKind ==
          StoreErrorKind::kAmbiguous);
    CHECK(store.MostBytesSent() < kMaxAnswerBytes);
  }
}
