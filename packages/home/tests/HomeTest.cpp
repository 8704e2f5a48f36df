#include "porttiller/home/Home.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const ServiceName kService("ledger");
const BackendServerName kServer("a");

Snapshot
With(std::optional<std::int64_t> aStartMs, bool aLeaving = false)
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
  Cutoff mCutoff;
  Home mHome{ BoxName("box"), Incarnation(1), {}, {}, mCutoff };

  bool Leaves() const
  {
    return mHome.Find(kServer)->Dump().find("leaving=true") !=
           std::string::npos;
  }
};

} // namespace

TEST_CASE("A server that starts again begins without what was known before")
{
  Fixture fixture;
  fixture.mHome.Apply(With(1000));
  const auto first = fixture.mHome.Find(kServer);
  fixture.mHome.Apply(With(1000));
  CHECK(fixture.mHome.Find(kServer) == first);
  fixture.mHome.Apply(With(2000));
  CHECK(fixture.mHome.Find(kServer) != first);
  CHECK(first->Dump().find("leaving=true") != std::string::npos);
  CHECK_FALSE(fixture.Leaves());
}

TEST_CASE("A leave message closes its own start only")
{
  Fixture fixture;
  fixture.mHome.Apply(With(2000));
  fixture.mHome.SetServerLeaving(ServerIncarnation(kServer, 1000));
  CHECK_FALSE(fixture.Leaves());
  fixture.mHome.SetServerLeaving(ServerIncarnation(kServer, 2000));
  CHECK(fixture.Leaves());
  // A snapshot that was built before the message came.
  fixture.mHome.Apply(With(2000));
  CHECK(fixture.Leaves());
  fixture.mHome.Apply(With(3000));
  CHECK_FALSE(fixture.Leaves());
}

TEST_CASE("A server that is configured as leaving and then not is used again")
{
  Fixture fixture;
  fixture.mHome.Apply(With(1000, true));
  CHECK(fixture.Leaves());
  fixture.mHome.Apply(With(1000));
  CHECK_FALSE(fixture.Leaves());
}
