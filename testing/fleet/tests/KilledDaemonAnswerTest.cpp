// Daemons that are killed while they write an answer: nobody takes what arrived
// for a whole one.
#include "fleet/MeshFleet.h"
#include "fleet/RawCaller.h"

#include <Poco/Net/StreamSocket.h>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace porttiller;
using namespace porttiller::fleet;

namespace {

constexpr int kPortBase = 24'600;
constexpr std::size_t kBytes = 4 << 20; // of an answer

std::string
Target()
{
  return "/safe/bytes=" + std::to_string(kBytes);
}

// Sends one request and reads until the connection ends, slowly enough for a
// kill in between.
std::string
ReadSlowly(const std::string& aAddress, const std::string& aId)
{
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(aAddress));
  socket.setReceiveTimeout(Poco::Timespan(5, 0));
  const auto request =
    HeadOf({ .mTarget = Target(), .mId = aId }) + "Connection: close\r\n\r\n";
  socket.sendBytes(request.data(), static_cast<int>(request.size()));
  return ReadToEnd(socket);
}

// Whether the bytes are a whole answer by their own framing.
bool
LooksWhole(const std::string& aText)
{
  MessageReader reader(MessageKind::kAnswer, {});
  const auto used = reader.Feed(aText);
  return used && (reader.IsComplete() || reader.End());
}

} // namespace

TEST_CASE("A caller of a daemon that is killed gets no answer that looks whole")
{
  MeshFleet fleet(2, kPortBase);
  for (int round = 0; round < 6; ++round) {
    CAPTURE(round);
    auto text = std::async(std::launch::async, [&] {
      return ReadSlowly(fleet.CallerAddress(0), "k-" + std::to_string(round));
    });
    std::this_thread::sleep_for(Millis(2 + 6 * round));
    fleet.SignalBox(0, SIGKILL);
    fleet.WaitForBoxExit(0, Millis(5000));
    const auto got = text.get();
    CHECK((!LooksWhole(got) || got.size() > kBytes));
    fleet.StartBox(0);
    REQUIRE(WaitUntil(Millis(15'000), [&] { return fleet.Ready(0); }));
  }
}

TEST_CASE("A home that is killed while it answers makes no short answer")
{
  MeshFleet fleet(2, kPortBase);
  fleet.Server(0).Stop(); // box 0 needs the home of box 1
  for (int round = 0; round < 6; ++round) {
    CAPTURE(round);
    auto reply = std::async(std::launch::async, [&] {
      return fleet.Send(0, "GET", Target(), "h-" + std::to_string(round));
    });
    std::this_thread::sleep_for(Millis(2 + 6 * round));
    fleet.SignalBox(1, SIGKILL);
    fleet.WaitForBoxExit(1, Millis(5000));
    const auto got = reply.get();
    CHECK((got.mStatus == 200 || got.mStatus >= 500));
    CHECK((got.mStatus != 200 || got.mBody.size() > kBytes));
    fleet.StartBox(1);
    REQUIRE(WaitUntil(Millis(15'000), [&] { return fleet.Ready(1); }));
  }
}
