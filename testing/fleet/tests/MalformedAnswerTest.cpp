// A backend server whose answers are no valid HTTP, behind its home and behind
// another box: no byte of them reaches a caller.
#include "fleet/MeshFleet.h"
#include "fleet/RawCaller.h"
#include "standin/RawServerStandIn.h"

#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <doctest/doctest.h>

using namespace porttiller;
using namespace porttiller::fleet;
using namespace std::string_literals;
using standin::RawServerStandIn;

namespace {

constexpr int kPortBase = 23'200;
constexpr int kBoxes = 2;
constexpr int kMaxRequests = 24;
constexpr Millis kWait{ 15'000 };
constexpr int kSeenRequests = 1; // of each kind, through each box

const std::string kSigned =
  "Request-Id: {id}\r\nResponse-Signature: s.{id}\r\n";
const std::string kOk = "HTTP/1.1 200 OK\r\n" + kSigned;
const std::string kBody = "Content-Length: 6\r\n\r\nbroken";
const std::string kWhole = kOk + kBody;

const std::array kMalformed = {
  "HTTP/1.1 000 X\r\n" + kSigned + kBody,
  "HTTP/1.1 000 X\r\n" + kSigned + "\r\n" + kWhole,
  "HTTP/1.1 20 X\r\n" + kSigned + kBody,
  "HTTP/1.1 999 X\r\n" + kSigned + kBody,
  "HTTP/1.1 00200 OK\r\n" + kSigned + kBody,
  "HTTP/1.1 200 O\rK\r\n" + kSigned + kBody,
  "HTTP/2.0 200 OK\r\n" + kSigned + kBody,
  kOk + "X Broken: 1\r\n" + kBody,
  kOk + "X\x01"s + "Broken: 1\r\n" + kBody,
  kOk + "Content-Length : 3\r\n\r\nbroken",
  kOk + "X-V: \0broken\r\n"s + kBody,
  kOk + "Transfer-Encoding: chunked\r\n\r\n6\r\nbrokenXX0\r\n\r\n",
  kOk + "Transfer-Encoding: gzip, chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
  kOk + "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\nX Broken: "
        "1\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nX Broken: 1\r\n\r\n" + kWhole,
};

// Sends one request on a connection of its own and returns all that comes back.
std::string
SendRaw(const std::string& aAddress, const MeshRequest& aRequest)
{
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(aAddress));
  socket.setReceiveTimeout(Poco::Timespan(10, 0));
  const auto request =
    HeadOf(aRequest) + "Content-Length: 0\r\nConnection: close\r\n\r\n";
  socket.sendBytes(request.data(), static_cast<int>(request.size()));
  return ReadToEnd(socket);
}

bool
HasStatus(const std::string& aAnswer, std::initializer_list<int> aStatuses)
{
  return std::any_of(aStatuses.begin(), aStatuses.end(), [&](int aStatus) {
    return aAnswer.starts_with("HTTP/1.1 " + std::to_string(aStatus) + " ");
  });
}

// Requests through both boxes until the broken server has had some of each
// kind through each box.
class Callers
{
public:
  Callers(MeshFleet& aFleet, const RawServerStandIn& aServer)
    : mFleet(aFleet)
    , mServer(aServer)
  {
  }

  void Play()
  {
    Seen seen{};
    for (int i = 0; i < kMaxRequests && !IsEnough(seen); ++i) {
      const int box = i % kBoxes;
      const bool once = i / kBoxes % 2 == 0;
      seen.at(box).at(once ? 1 : 0) += SendOne(i, box, once) ? 1 : 0;
    }
  }

private:
  using Seen = std::array<std::array<int, 2>, kBoxes>;

  static bool IsEnough(const Seen& aSeen)
  {
    return std::all_of(aSeen.begin(), aSeen.end(), [](const auto& aOfBox) {
      return aOfBox[0] >= kSeenRequests && aOfBox[1] >= kSeenRequests;
    });
  }

  // Whether the broken server has seen it.
  bool SendOne(int aNumber, int aBox, bool aOnce)
  {
    const auto id = "m-" + std::to_string(aNumber);
    const auto answer = SendRaw(mFleet.CallerAddress(aBox),
                                { .mBox = aBox,
                                  .mMethod = aOnce ? "POST" : "GET",
                                  .mTarget = aOnce ? "/once/x" : "/safe/x",
                                  .mId = id });
    const bool seen = mServer.HasSeen(id);
    CAPTURE(aBox);
    CAPTURE(aOnce);
    CAPTURE(seen);
    CAPTURE(answer);
    CHECK(HasStatus(answer, { 200, 502, 503, 504 }));
    CHECK(answer.find("roken") == std::string::npos);
    CHECK(mFleet.RunsOf(id) <= 1);
    if (answer.starts_with("HTTP/1.1 200 ")) {
      CHECK(mFleet.RunsOf(id) == 1);
      CHECK(answer.ends_with("i-1|" + id + "|"));
    }
    if (seen && aOnce) {
      CHECK(HasStatus(answer, { 502, 504 }));
      CHECK(mFleet.RunsOf(id) == 0);
    }
    return seen;
  }

  MeshFleet& mFleet;
  const RawServerStandIn& mServer;
};

} // namespace

TEST_CASE("A malformed answer of a backend server reaches no caller")
{
  for (const auto& malformed : kMalformed) {
    CAPTURE(malformed);
    MeshFleet fleet(kBoxes, kPortBase);
    const auto address = fleet.Server(0).Options().mAddress;
    fleet.Server(0).Stop();
    const RawServerStandIn broken(address, malformed);
    Callers(fleet, broken).Play();
    CHECK(broken.Requests() > 0);
    CHECK(broken.RequestsOnUsedConnections() == 0);
  }
}

TEST_CASE("Without another server a malformed answer has an unknown outcome")
{
  for (const auto& malformed : kMalformed) {
    CAPTURE(malformed);
    MeshFleet fleet(kBoxes, kPortBase);
    REQUIRE(fleet.Server(1).Leave());
    REQUIRE(fleet.WaitServers(1));
    const auto address = fleet.Server(0).Options().mAddress;
    fleet.Server(0).Stop();
    const RawServerStandIn broken(address, malformed);
    Callers(fleet, broken).Play();
    CHECK(broken.Requests() >= kBoxes);
    CHECK(broken.RequestsOnUsedConnections() == 0);
    CHECK(fleet.LogOf(0).find("server-malformed") != std::string::npos);
    CHECK(WaitUntil(kWait, [&] {
      const auto metrics = fleet.MetricsOf(0);
      return metrics.find("porttiller_malformed_answers ") !=
               std::string::npos &&
             metrics.find("porttiller_malformed_answers 0\n") ==
               std::string::npos;
    }));
  }
}

// The same stand-in with whole answers, so that the cases above can fail.
TEST_CASE("Whole answers of the stand-in reach callers")
{
  MeshFleet fleet(kBoxes, kPortBase);
  REQUIRE(fleet.Server(1).Leave());
  REQUIRE(fleet.WaitServers(1));
  const auto address = fleet.Server(0).Options().mAddress;
  fleet.Server(0).Stop();
  const RawServerStandIn server(address, kWhole);
  for (int box = 0; box < kBoxes; ++box) {
    const auto answer =
      SendRaw(fleet.CallerAddress(box), { .mBox = box, .mId = "w" });
    CAPTURE(answer);
    CHECK(HasStatus(answer, { 200 }));
    CHECK(answer.ends_with("broken"));
  }
  CHECK(server.Requests() == kBoxes);
}
