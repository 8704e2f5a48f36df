#include "porttiller/control/HealthCheck.h"

#include "standin/EndlessServerStandIn.h"
#include "standin/RawServerStandIn.h"

#include <doctest/doctest.h>
#include <string>

using namespace porttiller;
using namespace std::string_literals;

namespace {

constexpr const char* kEndlessAddress = "127.0.0.1:22947";
const std::string kId = "Instance-Id: i-1\r\n";
const std::string kBody = "Content-Length: 2\r\n\r\nok";

bool
IsReady(const std::string& aAddress)
{
  const ServerRecord server{ .mIncarnation =
                               ServerIncarnation(BackendServerName("i-1")),
                             .mAddress = aAddress };
  return SaysReady(server,
                   { .mPath = "/health",
                     .mHeaders = { .mServerId = "Instance-Id" },
                     .mTimeout = Millis(1000) });
}

} // namespace

TEST_CASE("A malformed answer to a health check does not say ready")
{
  standin::RawServerStandIn server("127.0.0.1:0", "");
  const auto isReady = [&](const std::string& aAnswer) {
    server.SetAnswer(aAnswer);
    return IsReady(server.Address());
  };
  CHECK(isReady("HTTP/1.1 200 OK\r\n" + kId + kBody));
  for (const auto& answer :
       { "HTTP/1.1 000 X\r\n" + kId + kBody,
         "HTTP/1.1 00200 X\r\n" + kId + kBody,
         "HTTP/2.0 200 OK\r\n" + kId + kBody,
         "HTTP/1.1 200 O\rK\r\n" + kId + kBody,
         "HTTP/1.1 200 OK\r\nX Foo: 1\r\n" + kId + kBody,
         "HTTP/1.1 200 OK\r\nX-V: \0\r\n"s + kId + kBody,
         "HTTP/1.1 200 OK\r\nInstance-Id : i-1\r\n" + kBody }) {
    CAPTURE(answer);
    CHECK_FALSE(isReady(answer));
  }
}

TEST_CASE("An answer without end to a health check does not say ready")
{
  const auto begin = "HTTP/1.1 200 OK\r\n" + kId;
  for (const auto& answer :
       { standin::EndlessAnswer{ .mBegin = begin, .mRepeat = "X: 1\r\n" },
         standin::EndlessAnswer{ .mBegin = begin + "\r\n", .mRepeat = "x" },
         standin::EndlessAnswer{ .mBegin =
                                   begin + "Transfer-Encoding: chunked\r\n\r\n",
                                 .mRepeat = "1\r\nx\r\n" } }) {
    CAPTURE(answer.mBegin);
    const standin::EndlessServerStandIn server(kEndlessAddress, answer);
    CHECK_FALSE(IsReady(kEndlessAddress));
  }
}
