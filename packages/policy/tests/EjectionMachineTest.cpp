#include "porttiller/policy/EjectionMachine.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

constexpr Millis kTick{ 100 };
const PeerHealth kWell{ .mMedianLatency = Micros(10'000), .mSamples = 100 };
const PeerHealth kSick{ .mSuspicious = true, .mSamples = 100 };

// A machine with a clock, past its first ramp.
class Fixture
{
public:
  explicit Fixture(EjectionOptions aOptions = {})
    : mMachine(std::move(aOptions), mNow)
  {
    Pass(Millis(11'000));
    CHECK(mMachine.Phase() == ServerPhase::kHealthy);
  }

  // Ticks on; the last action of each kind is remembered.
  void Pass(Millis aTime)
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
      mNow += Millis(100); // apart, so that each counts
      mMachine.OnEvidence({ .mFailed = aFailed, .mLatency = Micros(10'000) },
                          mNow);
    }
  }

  // Waits for the question to other homes and answers it.
  void Poll(const std::vector<PeerHealth>& aAnswers, int aOthers = 3)
  {
    mAsked = false;
    Pass(Millis(300));
    REQUIRE(mAsked);
    mMachine.OnPeers(aAnswers, aOthers, mNow);
  }

  void Demote()
  {
    Observe(true);
    Poll({ kWell, kWell });
    REQUIRE(mMachine.Phase() == ServerPhase::kAsking);
    Poll({ kWell, kWell });
    REQUIRE(mMachine.Phase() == ServerPhase::kDemoted);
    Pass(kTick);
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

TEST_CASE("A demoted server serves as the last resort only")
{
  Fixture f;
  f.Demote();
  CHECK(f.mMachine.Gate(true, false, f.mNow) == GateVerdict::kDemoted);
  CHECK(f.mMachine.Gate(false, true, f.mNow) == GateVerdict::kAdmit);
  CHECK_FALSE(f.mMachine.Ejected());
}

TEST_CASE("A server is ejected only once the permission is confirmed")
{
  Fixture f;
  f.Demote();
  f.mMachine.OnPermission(PermissionAnswer::kUnavailable, f.mNow);
  CHECK_FALSE(f.mMachine.Ejected());
  CHECK(f.mMachine.HoldsPermission()); // an unclear write counts as used
  f.Pass(Millis(1100));
  f.mMachine.OnPermission(PermissionAnswer::kGranted, f.mNow);
  CHECK(f.mMachine.Ejected());
  CHECK(f.mMachine.Gate(true, true, f.mNow) == GateVerdict::kEjected);
}

TEST_CASE("A fault that the other homes see too sets nothing aside")
{
  Fixture f;
  f.Observe(true);
  f.Poll({ kWell, kWell, kWell }); // the others do not see it yet
  f.Poll({ kSick, kSick, kWell });
  f.Poll({ kWell, kWell, kWell });
  CHECK(f.mMachine.Phase() == ServerPhase::kAsking);
  CHECK(f.mMachine.Gate(false, false, f.mNow) == GateVerdict::kAdmit);
}

TEST_CASE("Without an answer from other homes the setting decides")
{
  Fixture careful;
  careful.Observe(true);
  careful.Poll({});
  careful.Poll({});
  CHECK(careful.mMachine.Phase() == ServerPhase::kAsking);
  Fixture fast({ .mActAlone = true });
  fast.Observe(true);
  fast.Poll({});
  fast.Poll({});
  CHECK(fast.mMachine.Phase() == ServerPhase::kDemoted);
}

TEST_CASE("The only server of a service is never set aside")
{
  Fixture f({ .mActAlone = true });
  f.Observe(true);
  f.Poll({}, 0);
  f.Poll({}, 0);
  CHECK(f.mMachine.Phase() == ServerPhase::kAsking);
}

TEST_CASE("Probation risks no request that may run only once")
{
  Fixture f;
  f.Eject();
  f.Pass(Millis(3100));
  REQUIRE(f.mMachine.Phase() == ServerPhase::kProbation);
  CHECK(f.mMachine.Gate(false, false, f.mNow) == GateVerdict::kEjected);
  CHECK(f.mMachine.Gate(true, false, f.mNow) == GateVerdict::kAdmit);
  CHECK(f.mMachine.Gate(true, false, f.mNow) == GateVerdict::kEjected);
}

TEST_CASE("The permission is given back only after the server works again")
{
  Fixture f;
  f.Eject();
  f.Pass(Millis(3100));
  CHECK_FALSE(f.mReleased);
  f.Observe(false, 10);
  CHECK(f.mMachine.Phase() == ServerPhase::kRamping);
  CHECK(f.mMachine.SlotShare(f.mNow) < 0.5);
  f.Pass(kTick);
  CHECK(f.mReleased);
}

TEST_CASE("Each strike doubles the time aside")
{
  Fixture f;
  f.Eject();
  f.Pass(Millis(3100));
  f.Observe(true, 1);
  CHECK(f.mMachine.Phase() == ServerPhase::kEjected);
  f.Pass(Millis(3100));
  CHECK(f.mMachine.Phase() == ServerPhase::kEjected);
  f.Pass(Millis(3000));
  CHECK(f.mMachine.Phase() == ServerPhase::kProbation);
}

TEST_CASE("A frozen home drops its ejection before it decides anything")
{
  Fixture f;
  f.Eject();
  f.mNow += Millis(10'000);
  f.mRequested = false;
  f.mMachine.OnTick(f.mNow);
  CHECK_FALSE(f.mMachine.Ejected());
}

TEST_CASE("A broken floor puts the server back to work at once")
{
  Fixture f;
  f.Eject();
  f.mMachine.OnFloorBroken(f.mNow);
  CHECK(f.mMachine.Gate(false, false, f.mNow) == GateVerdict::kAdmit);
  f.Pass(kTick);
  CHECK(f.mReleased);
}
