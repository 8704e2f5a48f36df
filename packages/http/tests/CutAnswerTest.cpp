// Answers that a server breaks off, at every byte of head and framing.
#include "porttiller/http/HttpPool.h"
#include "standin/CutServerStandIn.h"

#include <doctest/doctest.h>

using namespace porttiller;
using standin::CutAnswer;
using standin::CutBy;

namespace {

struct Form
{
  const char* mName;
  std::string mBytes;
  std::size_t mWhole; // bytes from which on it is complete if it is closed
  const char* mMethod = "GET";
  bool mEndsByClose = false;
};

std::vector<Form>
Forms()
{
  const std::string ok = "HTTP/1.1 200 OK\r\nX: 1\r\n";
  const std::string length = ok + "Content-Length: 4\r\n\r\nbody";
  const std::string chunked =
    ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  const std::string trailers =
    ok + "Transfer-Encoding: chunked\r\n\r\n4;e=1\r\nbody\r\n0\r\nT: 1\r\n\r\n";
  const std::string interim =
    "HTTP/1.1 103 Early Hints\r\nL: x\r\n\r\n" + length;
  const std::string old = "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody";
  const std::string untilClose = ok + "\r\n";
  const std::string head = ok + "Content-Length: 4\r\n\r\n";
  return {
    { .mName = "length", .mBytes = length, .mWhole = length.size() },
    { .mName = "chunks", .mBytes = chunked, .mWhole = chunked.size() },
    { .mName = "trailers", .mBytes = trailers, .mWhole = trailers.size() },
    { .mName = "interim", .mBytes = interim, .mWhole = interim.size() },
    { .mName = "HTTP/1.0", .mBytes = old, .mWhole = old.size() },
    { .mName = "until close",
      .mBytes = untilClose + "body",
      .mWhole = untilClose.size(),
      .mEndsByClose = true },
    { .mName = "HEAD",
      .mBytes = head,
      .mWhole = head.size(),
      .mMethod = "HEAD" },
  };
}

const std::string kFirst = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";

tl::expected<HttpAnswer, ExchangeError>
Ask(HttpPool& aPool, const char* aMethod)
{
  const auto deadline = Now() + Millis(5000);
  auto exchange = aPool.Begin(
    { .mMethod = aMethod, .mTarget = "/", .mHeaders = { { "Host", "a" } } },
    deadline);
  if (!exchange) {
    return tl::make_unexpected(exchange.error());
  }
  return (*exchange)->ReadAnswer(deadline);
}

// Sends the first aSize bytes and ends the connection: on a new connection, or
// behind a whole answer.
void
CheckCut(standin::CutServerStandIn& aServer,
         const Form& aForm,
         std::size_t aSize,
         const CutAnswer& aHow,
         bool aReused)
{
  CAPTURE(aForm.mName);
  CAPTURE(aSize);
  CAPTURE(static_cast<int>(aHow.mBy));
  auto cut = aHow;
  cut.mBytes = aForm.mBytes.substr(0, aSize);
  aServer.Set(aReused ? standin::CutServerStandIn::Answers{ { kFirst }, cut }
                      : standin::CutServerStandIn::Answers{ cut });
  HttpPool pool({ .mAddress = aServer.Address() });
  if (aReused) {
    const auto first = Ask(pool, "GET");
    REQUIRE(first);
    CHECK(first->mBody == "first");
  }
  const auto answer = Ask(pool, aForm.mMethod);
  const bool whole =
    aSize >= aForm.mWhole && (!aForm.mEndsByClose || cut.mBy != CutBy::kReset);
  CHECK(answer.has_value() == whole);
  if (answer && aForm.mMethod == std::string("GET")) {
    CHECK(answer->mBody ==
          (aForm.mEndsByClose
             ? aForm.mBytes.substr(aForm.mWhole, aSize - aForm.mWhole)
             : std::string("body")));
  }
}

} // namespace

// A server that stops within the head of its answer must never make a 200 with
// an empty or short body.
TEST_CASE("An answer that is cut at any byte is never complete")
{
  standin::CutServerStandIn server;
  for (const auto& form : Forms()) {
    for (std::size_t size = 0; size <= form.mBytes.size(); ++size) {
      CheckCut(server, form, size, { .mBy = CutBy::kClose }, size % 2 == 0);
      CheckCut(server, form, size, { .mBy = CutBy::kReset }, size % 2 == 1);
    }
  }
}

TEST_CASE("An answer that is cut late, or half-closed, is never complete")
{
  standin::CutServerStandIn server;
  constexpr std::size_t kStep = 7;
  for (const auto& form : Forms()) {
    for (std::size_t size = 1; size < form.mBytes.size(); size += kStep) {
      CheckCut(server, form, size, { .mBy = CutBy::kHalfClose }, false);
      CheckCut(server, form, size, { .mDelay = Millis(200) }, true);
    }
  }
}
