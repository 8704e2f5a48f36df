#include "porttiller/peer/PeerTransport.h"

#include "standin/LinkStandIn.h"

#include <atomic>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>
#include <vector>

using namespace porttiller;

namespace {

constexpr const char* kFirst = "127.0.0.1:21101";
constexpr const char* kSecond = "127.0.0.1:21102";

std::unique_ptr<PeerTransport>
MakePeer(const char* aAddress, const char* aName, std::atomic<int>& aHandled)
{
  auto peer = PeerTransport::Make(
    { .mBindAddress = aAddress,
      .mBox = BoxName(aName),
      .mIncarnation = Incarnation(9) },
    [&aHandled](const wire::Envelope&, const PeerReplier& aReply) {
      ++aHandled;
      wire::Envelope reply;
      reply.mutable_ack();
      aReply(reply);
    });
  REQUIRE(peer.has_value());
  return std::move(*peer);
}

wire::Envelope
Request()
{
  wire::Envelope request;
  request.mutable_probe();
  return request;
}

} // namespace

TEST_CASE("A request gets its reply, with the replier's incarnation")
{
  std::atomic<int> handled{ 0 };
  const auto first = MakePeer(kFirst, "a", handled);
  const auto second = MakePeer(kSecond, "b", handled);
  const auto reply = first->Call(kSecond, Request(), Millis(5000));
  REQUIRE(reply.has_value());
  CHECK(reply->from_box() == "b");
  CHECK(reply->from_incarnation() == 9);
}

TEST_CASE("An address in use is reported as an error")
{
  std::atomic<int> handled{ 0 };
  const auto first = MakePeer(kFirst, "a", handled);
  const auto again = PeerTransport::Make({ .mBindAddress = kFirst }, {});
  REQUIRE_FALSE(again.has_value());
  CHECK(again.error().mKind == PeerErrorKind::kBind);
}

TEST_CASE("Addresses that cannot be connected to end no other exchange")
{
  std::atomic<int> handled{ 0 };
  const auto first = MakePeer(kFirst, "a", handled);
  const auto second = MakePeer(kSecond, "b", handled);
  for (const char* address : { "127.0.0.1:0",
                               "127.0.0.1:65536",
                               "127.0.0.1:99999",
                               "127.0.0.1:-1",
                               "127.0.0.1:80x",
                               "127.0.0.1:",
                               "127.0.0.1",
                               ":80",
                               "*:80",
                               "no such host:80",
                               "127.0.0.1:80 ",
                               "" }) {
    CAPTURE(address);
    first->SendOneWay(address, Request());
    CHECK_FALSE(first->Call(address, Request(), Millis(50)).has_value());
  }
  const auto refused = first->Call("no such host:80", Request(), Millis(5000));
  REQUIRE_FALSE(refused.has_value());
  CHECK(refused.error().mKind == PeerErrorKind::kAddress);
  CHECK(first->Call(kSecond, Request(), Millis(5000)).has_value());
}

TEST_CASE("A reply that comes after its time-out is dropped and counted")
{
  std::atomic<int> handled{ 0 };
  const auto first = MakePeer(kFirst, "a", handled);
  const auto second = MakePeer(kSecond, "b", handled);
  standin::LinkStandIn link(kSecond);
  REQUIRE(first->Call(link.Address(), Request(), Millis(5000)).has_value());
  link.CutBackward(true);
  const auto timedOut = first->Call(link.Address(), Request(), Millis(50));
  REQUIRE_FALSE(timedOut.has_value());
  CHECK(timedOut.error().mKind == PeerErrorKind::kTimeout);
  link.CutBackward(false);
  REQUIRE(first->Call(link.Address(), Request(), Millis(5000)).has_value());
  CHECK(handled == 3);
  CHECK(first->Traffic().mLateReplies == 1);
}

TEST_CASE("A one-way message arrives and no reply is sent")
{
  std::atomic<int> handledByFirst{ 0 };
  std::atomic<int> handled{ 0 };
  const auto first = MakePeer(kFirst, "a", handledByFirst);
  const auto second = MakePeer(kSecond, "b", handled);
  first->SendOneWay(kSecond, Request());
  // Calls go over the same link, in order.
  REQUIRE(first->Call(kSecond, Request(), Millis(5000)).has_value());
  CHECK(handled == 2);
  CHECK(first->Traffic().mLateReplies == 0);
  const auto replies = second->Traffic().mSentByKind;
  REQUIRE(replies.contains(wire::Envelope::kAck));
  CHECK(replies.size() == 1);
}

namespace {

// Sends requests until the peer replies. A link may be replaced in between.
bool
IsReached(PeerTransport& aFrom, const char* aAddress)
{
  constexpr int kTries = 100;
  for (int i = 0; i < kTries; ++i) {
    if (aFrom.Call(aAddress, Request(), Millis(200))) {
      return true;
    }
  }
  return false;
}

bool
IsHandled(const std::atomic<int>& aHandled, int aCount)
{
  constexpr int kPolls = 1000;
  for (int i = 0; i < kPolls && aHandled < aCount; ++i) {
    std::this_thread::sleep_for(Millis(10));
  }
  return aHandled == aCount;
}

} // namespace

TEST_CASE("An unanswered request is reported with the age of the last reply")
{
  std::atomic<int> handled{ 0 };
  std::mutex mutex;
  std::vector<UnansweredRequest> unanswered;
  const auto first =
    PeerTransport::Make({ .mBindAddress = kFirst,
                          .mBox = BoxName("a"),
                          .mIncarnation = Incarnation(9),
                          .mOnUnanswered =
                            [&](const UnansweredRequest& aRequest) {
                              const std::lock_guard lock(mutex);
                              unanswered.push_back(aRequest);
                            } },
                        [](const wire::Envelope&, const PeerReplier&) {});
  REQUIRE(first.has_value());
  CHECK_FALSE((*first)->Call(kSecond, Request(), Millis(50)).has_value());
  auto second = MakePeer(kSecond, "b", handled);
  CHECK(IsReached(**first, kSecond));
  second.reset();
  CHECK_FALSE((*first)->Call(kSecond, Request(), Millis(50)).has_value());
  const std::lock_guard lock(mutex);
  REQUIRE(unanswered.size() >= 2);
  CHECK(!unanswered.front().mSinceLinkReply);
  REQUIRE(unanswered.back().mSinceLinkReply.has_value());
  CHECK(*unanswered.back().mSinceLinkReply >= Millis(50));
}

TEST_CASE("A peer is reached after a late start and after a restart")
{
  std::atomic<int> handled{ 0 };
  const auto first = MakePeer(kFirst, "a", handled);
  CHECK_FALSE(first->Call(kSecond, Request(), Millis(50)).has_value());
  auto second = MakePeer(kSecond, "b", handled);
  CHECK(IsReached(*first, kSecond));
  second.reset();
  CHECK_FALSE(first->Call(kSecond, Request(), Millis(50)).has_value());
  second = MakePeer(kSecond, "b", handled);
  CHECK(IsReached(*first, kSecond));
}

TEST_CASE("A silent link is replaced")
{
  std::atomic<int> handled{ 0 };
  const auto first = MakePeer(kFirst, "a", handled);
  const auto second = MakePeer(kSecond, "b", handled);
  standin::LinkStandIn link(kSecond);
  REQUIRE(IsReached(*first, link.Address().c_str()));
  link.Silence();
  CHECK(IsReached(*first, link.Address().c_str()));
}

TEST_CASE("A request on a silent link is answered over a new one")
{
  std::atomic<int> handled{ 0 };
  const auto first = MakePeer(kFirst, "a", handled);
  const auto second = MakePeer(kSecond, "b", handled);
  standin::LinkStandIn link(kSecond);
  REQUIRE(IsReached(*first, link.Address().c_str()));
  const int before = handled;
  link.SilenceForward();
  CHECK(first->Call(link.Address(), Request(), Millis(10'000)).has_value());
  CHECK(handled == before + 1);
  CHECK(first->Traffic().mReplacedLinks == 1);
  link.SilenceBackward();
  // The peer handles the request, its reply is lost, and the request is sent
  // again: handled twice.
  CHECK(first->Call(link.Address(), Request(), Millis(10'000)).has_value());
  CHECK(handled == before + 3);
}

TEST_CASE("A one-way message arrives though its quiet link has become silent")
{
  std::atomic<int> handled{ 0 };
  const auto first = MakePeer(kFirst, "a", handled);
  const auto second = MakePeer(kSecond, "b", handled);
  standin::LinkStandIn link(kSecond);
  REQUIRE(IsReached(*first, link.Address().c_str()));
  const int before = handled;
  link.SilenceForward();
  std::this_thread::sleep_for(Millis(1100)); // the link is quiet after 1 s
  first->SendOneWay(link.Address(), Request());
  CHECK(IsHandled(handled, before + 1));
}

TEST_CASE("A workspace usage report is not sent again")
{
  std::atomic<int> handled{ 0 };
  const auto first = MakePeer(kFirst, "a", handled);
  const auto second = MakePeer(kSecond, "b", handled);
  standin::LinkStandIn link(kSecond);
  REQUIRE(IsReached(*first, link.Address().c_str()));
  const int before = handled;
  link.SilenceBackward();
  wire::Envelope report;
  report.mutable_workspace_report();
  CHECK_FALSE(first->Call(link.Address(), report, Millis(500)).has_value());
  CHECK(first->Traffic().mReplacedLinks == 1);
  CHECK(handled == before + 1);
}

TEST_CASE("A link with late replies is not replaced")
{
  std::atomic<int> handled{ 0 };
  const auto first = MakePeer(kFirst, "a", handled);
  const auto second = MakePeer(kSecond, "b", handled);
  standin::LinkStandIn link(kSecond);
  REQUIRE(IsReached(*first, link.Address().c_str()));
  for (int i = 0; i < 3; ++i) {
    link.CutBackward(true);
    std::thread restore([&] {
      std::this_thread::sleep_for(Millis(100));
      link.CutBackward(false);
    });
    CHECK(first->Call(link.Address(), Request(), Millis(10'000)).has_value());
    restore.join();
  }
  CHECK(first->Traffic().mReplacedLinks == 0);
}

TEST_CASE("An idle link is closed, and opened again when it is needed")
{
  std::atomic<int> handled{ 0 };
  const auto first =
    PeerTransport::Make({ .mBindAddress = kFirst, .mIdleClose = Millis(20) },
                        [](const wire::Envelope&, const PeerReplier&) {});
  REQUIRE(first.has_value());
  const auto second = MakePeer(kSecond, "b", handled);
  constexpr int kTimes = 5;
  for (int i = 0; i < kTimes; ++i) {
    CHECK(IsReached(**first, kSecond));
    // Requests over another link make the loop check for idle ones.
    while ((*first)->Traffic().mLinks > 1 || handled == 0) {
      static_cast<void>((*first)->Call(kFirst, Request(), Millis(10)));
    }
    static_cast<void>((*first)->Call(kFirst, Request(), Millis(30)));
  }
  CHECK(handled >= kTimes);
}
