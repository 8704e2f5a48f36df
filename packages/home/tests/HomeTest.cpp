#include "porttiller/home/Home.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const ServiceName kService("ledger");
const BackendServerName kServer("a");

Snapshot
MakeSnapshot(std::optional<std::int64_t> aStartMs, bool aLeaving = false)
{
  Snapshot snapshot;
  auto& service = snapshot.mServices[kService];
  service.mSpec.mName = kService;
  service.mServers.push_back({ .mName = kServer,
                               .mService = kService,
                               .mBox = BoxName("box"),
                               .mAddress = "127.0.0.1:9",
                               .mLeaving = aLeaving,
                               .mStartMs = aStartMs });
  return snapshot;
}

struct Fixture
{
  ShutdownDeadline mShutdownDeadline;
  CrashMonitor mCrashes;
  Home mHome{ BoxName("box"),    Incarnation(1), {}, {},
              mShutdownDeadline, mCrashes };

  bool IsLeaving() const
  {
    return mHome.Find(kServer)->Dump().find("leaving=true") !=
           std::string::npos;
  }
};

} // namespace

TEST_CASE("A restarted server does not inherit the state of the old one")
{
  Fixture fixture;
  fixture.mHome.Apply(MakeSnapshot(1000));
  const auto first = fixture.mHome.Find(kServer);
  fixture.mHome.Apply(MakeSnapshot(1000));
  CHECK(fixture.mHome.Find(kServer) == first);
  fixture.mHome.Apply(MakeSnapshot(2000));
  CHECK(fixture.mHome.Find(kServer) != first);
  CHECK(first->Dump().find("leaving=true") != std::string::npos);
  CHECK_FALSE(fixture.IsLeaving());
}

TEST_CASE("A leave message applies only to the incarnation that it names")
{
  Fixture fixture;
  fixture.mHome.Apply(MakeSnapshot(2000));
  fixture.mHome.SetServerLeaving(ServerIncarnation(kServer, 1000));
  CHECK_FALSE(fixture.IsLeaving());
  fixture.mHome.SetServerLeaving(ServerIncarnation(kServer, 2000));
  CHECK(fixture.IsLeaving());
  // A snapshot that was built before the message arrived.
  fixture.mHome.Apply(MakeSnapshot(2000));
  CHECK(fixture.IsLeaving());
  fixture.mHome.Apply(MakeSnapshot(3000));
  CHECK_FALSE(fixture.IsLeaving());
}

TEST_CASE("A server that is no longer configured as leaving is used again")
{
  Fixture fixture;
  fixture.mHome.Apply(MakeSnapshot(1000, true));
  CHECK(fixture.IsLeaving());
  fixture.mHome.Apply(MakeSnapshot(1000));
  CHECK_FALSE(fixture.IsLeaving());
}
