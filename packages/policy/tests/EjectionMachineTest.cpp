#include "porttiller/policy/EjectionMachine.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

constexpr Millis kTick{ 100 };
const PeerHealth kHealthyPeer{ .mMedianLatency = Micros(10'000),
                               .mSamples = 100 };
const PeerHealth kSuspiciousPeer{ .mSuspicious = true, .mSamples = 100 };

// A machine with a clock, after its first ramp-up.
class Fixture
{
public:
  explicit Fixture(EjectionOptions aOptions = {})
    : mMachine(std::move(aOptions), mNow)
  {
    Advance(Millis(11'000));
    CHECK(mMachine.Phase() == ServerPhase::kHealthy);
  }

  // Advances the clock by ticks and records which kinds of actions came.
  void Advance(Millis aTime)
  {
    for (Millis done(0); done < aTime; done += kTick) {
      mNow += kTick;
      for (const auto& action : mMachine.OnTick(mNow)) {
        mAsked = mAsked || std::holds_alternative<AskPeers>(action);
        mRequested =
          mRequested || std::holds_alternative<RequestPermission>(action);
        mReleased =
          mReleased || std::holds_alternative<ReleasePermission>(action);
      }
    }
  }

  void Observe(bool aFailed, int aCount = 10)
  {
    for (int i = 0; i < aCount; ++i) {
      mNow += Millis(100); // spaced so that each counts
      mMachine.OnEvidence({ .mFailed = aFailed, .mLatency = Micros(10'000) },
                          mNow);
    }
  }

  // Waits until the machine polls other homes and answers the poll.
  void Poll(const std::vector<PeerHealth>& aAnswers, int aOthers = 3)
  {
    mAsked = false;
    Advance(Millis(300));
    REQUIRE(mAsked);
    mMachine.OnPeers(aAnswers, aOthers, mNow);
  }

  void Demote()
  {
    Observe(true);
    Poll({ kHealthyPeer, kHealthyPeer });
    REQUIRE(mMachine.Phase() == ServerPhase::kAsking);
    Poll({ kHealthyPeer, kHealthyPeer });
    REQUIRE(mMachine.Phase() == ServerPhase::kDemoted);
    Advance(kTick);
    REQUIRE(mRequested);
  }

  void Eject()
  {
    Demote();
    mMachine.OnPermission(PermissionAnswer::kGranted, mNow);
    REQUIRE(mMachine.Phase() == ServerPhase::kEjected);
  }

  TimePoint mNow{ Millis(1000) };
  EjectionMachine mMachine;
  bool mAsked = false;
  bool mRequested = false;
  bool mReleased = false;
};

} // namespace

TEST_CASE("A demoted server serves only as the last resort")
{
  Fixture f;
  f.Demote();
  CHECK(f.mMachine.Gate(true, false, f.mNow) == AdmissionVerdict::kDemoted);
  CHECK(f.mMachine.Gate(false, true, f.mNow) == AdmissionVerdict::kAdmit);
  CHECK_FALSE(f.mMachine.Ejected());
}

TEST_CASE("A server is ejected only once the permission is confirmed")
{
  Fixture f;
  f.Demote();
  f.mMachine.OnPermission(PermissionAnswer::kUnavailable, f.mNow);
  CHECK_FALSE(f.mMachine.Ejected());
  // A write with an unknown outcome counts as held.
  CHECK(f.mMachine.HoldsPermission());
  f.Advance(Millis(1100));
  f.mMachine.OnPermission(PermissionAnswer::kGranted, f.mNow);
  CHECK(f.mMachine.Ejected());
  CHECK(f.mMachine.Gate(true, true, f.mNow) == AdmissionVerdict::kEjected);
}

TEST_CASE("A fault that other homes see too removes no server from rotation")
{
  Fixture f;
  f.Observe(true);
  // The other homes do not see the fault yet.
  f.Poll({ kHealthyPeer, kHealthyPeer, kHealthyPeer });
  f.Poll({ kSuspiciousPeer, kSuspiciousPeer, kHealthyPeer });
  f.Poll({ kHealthyPeer, kHealthyPeer, kHealthyPeer });
  CHECK(f.mMachine.Phase() == ServerPhase::kAsking);
  CHECK(f.mMachine.Gate(false, false, f.mNow) == AdmissionVerdict::kAdmit);
}

TEST_CASE(
  "Without an answer from other homes the setting decides whether to demote")
{
  Fixture careful;
  careful.Observe(true);
  careful.Poll({});
  careful.Poll({});
  CHECK(careful.mMachine.Phase() == ServerPhase::kAsking);
  Fixture fast({ .mDemoteWithoutPeers = true });
  fast.Observe(true);
  fast.Poll({});
  fast.Poll({});
  CHECK(fast.mMachine.Phase() == ServerPhase::kDemoted);
}

TEST_CASE("The only server of a service stays in rotation")
{
  Fixture f({ .mDemoteWithoutPeers = true });
  f.Observe(true);
  f.Poll({}, 0);
  f.Poll({}, 0);
  CHECK(f.mMachine.Phase() == ServerPhase::kAsking);
}

TEST_CASE("Probation admits no request that is not repeatable")
{
  Fixture f;
  f.Eject();
  f.Advance(Millis(3100));
  REQUIRE(f.mMachine.Phase() == ServerPhase::kProbation);
  CHECK(f.mMachine.Gate(false, false, f.mNow) == AdmissionVerdict::kEjected);
  CHECK(f.mMachine.Gate(true, false, f.mNow) == AdmissionVerdict::kAdmit);
  CHECK(f.mMachine.Gate(true, false, f.mNow) == AdmissionVerdict::kEjected);
}

TEST_CASE("The permission is released only after the server works again")
{
  Fixture f;
  f.Eject();
  f.Advance(Millis(3100));
  CHECK_FALSE(f.mReleased);
  f.Observe(false, 10);
  CHECK(f.mMachine.Phase() == ServerPhase::kRamping);
  CHECK(f.mMachine.SlotShare(f.mNow) < 0.5);
  f.Advance(kTick);
  CHECK(f.mReleased);
}

TEST_CASE("Each strike doubles the time out of rotation")
{
  Fixture f;
  f.Eject();
  f.Advance(Millis(3100));
  f.Observe(true, 1);
  CHECK(f.mMachine.Phase() == ServerPhase::kEjected);
  f.Advance(Millis(3100));
  CHECK(f.mMachine.Phase() == ServerPhase::kEjected);
  f.Advance(Millis(3000));
  CHECK(f.mMachine.Phase() == ServerPhase::kProbation);
}

TEST_CASE("A home that was frozen ends its ejection before any other decision")
{
  Fixture f;
  f.Eject();
  f.mNow += Millis(10'000);
  f.mRequested = false;
  f.mMachine.OnTick(f.mNow);
  CHECK_FALSE(f.mMachine.Ejected());
}

TEST_CASE("A violated floor returns the server to rotation at once")
{
  Fixture f;
  f.Eject();
  f.mMachine.OnFloorBroken(f.mNow);
  CHECK(f.mMachine.Gate(false, false, f.mNow) == AdmissionVerdict::kAdmit);
  f.Advance(kTick);
  CHECK(f.mReleased);
}
