// Answers of the store that are broken off: nothing is learned from them.
#include "porttiller/store/ObjectClient.h"
#include "standin/CutServerStandIn.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const std::string kObject =
  R"({"kind":"Service","name":"a","version":7,"spec":{"floor_slots":1}})";

std::string
WithLength(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + "\r\nContent-Type: application/json\r\n" +
         "Content-Length: " + std::to_string(kObject.size()) + "\r\n\r\n" +
         kObject;
}

std::string
InChunks(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + "\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n" +
         kObject.substr(0, 8) + "\r\n1000\r\n" + kObject.substr(8);
}

} // namespace

// The head was read up to the end of the connection as if it were whole: a
// write whose answer was cut counted as done, as not found, or as never sent.
TEST_CASE("An answer of the store that is cut at any byte says nothing")
{
  standin::CutServerStandIn server;
  for (const std::string status :
       { "200 OK", "404 Not Found", "409 Conflict", "503 Unavailable" }) {
    for (const auto& whole : { WithLength(status), InChunks(status) }) {
      for (std::size_t size = 0; size < whole.size(); ++size) {
        CAPTURE(status);
        CAPTURE(size);
        server.Set({ { .mBytes = whole.substr(0, size) } });
        ObjectClient client(
          { .mAddress = server.Address(), .mTimeout = Millis(2000) });
        const auto written = client.Create({ "Service", "a" }, "{}");
        REQUIRE_FALSE(written.has_value());
        CHECK(written.error().mKind == StoreErrorKind::kAmbiguous);
        const auto read = client.Get({ "Service", "a" });
        REQUIRE_FALSE(read.has_value());
        CHECK(read.error().mKind == StoreErrorKind::kUnavailable);
      }
    }
  }
}

TEST_CASE("A whole answer of the store counts, also if the connection ends")
{
  standin::CutServerStandIn server;
  server.Set({ { .mBytes = WithLength("404 Not Found") } });
  ObjectClient client(
    { .mAddress = server.Address(), .mTimeout = Millis(2000) });
  const auto read = client.Get({ "Service", "a" });
  REQUIRE_FALSE(read.has_value());
  CHECK(read.error().mKind == StoreErrorKind::kNotFound);
  server.Set(
    { { .mBytes = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + kObject } });
  CHECK(client.Get({ "Service", "a" }).has_value());
}
