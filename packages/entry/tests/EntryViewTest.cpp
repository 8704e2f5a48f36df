#include "porttiller/entry/EntryView.h"

#include <doctest/doctest.h>
#include <set>

using namespace porttiller;

namespace {

const TimePoint kStart{ Millis(100'000) };
constexpr int kDraws = 400;

const ServerDemand kOnePerSecond{
  .mLimit = LimitNote{ .mRate = 1.0, .mInterval = Millis(1000) }
};

// Two servers on different boxes, both in other zones than the entry.
Snapshot
MakeSnapshot()
{
  Snapshot snapshot;
  auto& service = snapshot.mServices[ServiceName("ledger")];
  service.mSpec.mName = ServiceName("ledger");
  for (const char* name : { "a", "b" }) {
    const BoxName box(name);
    snapshot.mBoxes[box] = { .mName = box, .mZone = AvailabilityZone(name) };
    service.mServers.push_back({ .mName = BackendServerName(name),
                                 .mService = ServiceName("ledger"),
                                 .mBox = box,
                                 .mSlots = 9 });
  }
  return snapshot;
}

// Counts how often the first server is chosen in kDraws requests.
int
CountFirst(EntryView& aView, const Snapshot& aSnapshot, TimePoint aNow)
{
  const auto& service = aSnapshot.mServices.begin()->second;
  int count = 0;
  for (int i = 0; i < kDraws; ++i) {
    const auto* server =
      aView
        .Choose(
          aSnapshot, service, AttemptPlan(true), { .mCanFailOver = true }, aNow)
        .mServer;
    count += server == &service.mServers[0] ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_CASE("A high reported load diverts requests and decays")
{
  // Without decay, a load reported just before a home dies keeps all requests
  // from its next incarnation, so that no new report corrects it.
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  const auto& first = snapshot.mServices.begin()->second.mServers[0];
  view.OnLoad(first, 2.0, kStart);
  CHECK(CountFirst(view, snapshot, kStart) < kDraws * 2 / 5);
  CHECK(CountFirst(view, snapshot, kStart + Millis(2000)) > kDraws / 3);
}

TEST_CASE("Large responses leave the zone only when its servers are full")
{
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("a"), {});
  const auto& service = snapshot.mServices.begin()->second;
  const auto countOwnZone = [&](bool aLargeResponses) {
    int count = 0;
    for (int i = 0; i < kDraws; ++i) {
      const auto choice = view.Choose(snapshot,
                                      service,
                                      AttemptPlan(true),
                                      { .mLargeResponses = aLargeResponses },
                                      kStart);
      count += choice.mServer == &service.mServers[0] ? 1 : 0;
    }
    return count;
  };
  view.OnLoad(service.mServers[0], 1.0, kStart);
  CHECK(countOwnZone(false) < kDraws);
  CHECK(countOwnZone(true) == kDraws);
  view.OnLoad(service.mServers[0], 2.0, kStart);
  CHECK(countOwnZone(true) < kDraws);
}

TEST_CASE("A box is avoided after a path failure and tried again later")
{
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  view.OnPathFailure(BoxName("a"), kStart);
  CHECK(CountFirst(view, snapshot, kStart) == 0);
  CHECK(CountFirst(view, snapshot, kStart + Millis(6000)) > 0);
}

TEST_CASE("A box with a new incarnation is used at once")
{
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  const BoxName box("a");
  view.SetHomeState(box, { .mIncarnation = Incarnation(1) });
  view.OnPathFailure(box, kStart);
  view.SetBoxUsable(box, false);
  view.SetHomeState(box, { .mIncarnation = Incarnation(1) });
  CHECK(CountFirst(view, snapshot, kStart) == 0);
  view.SetHomeState(box, { .mIncarnation = Incarnation(2) });
  CHECK(CountFirst(view, snapshot, kStart) > 0);
}

TEST_CASE("A demoted server gets no requests until an update reopens it")
{
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  ServerStateUpdate update{ .mServer =
                              ServerIncarnation(BackendServerName("a")),
                            .mService = ServiceName("ledger"),
                            .mDemoted = true,
                            .mRetryAfter = Millis(4000) };
  view.OnServerUpdate(update, kStart);
  const auto& service = snapshot.mServices.begin()->second;
  const auto choose = [&](TimePoint aNow) {
    return view.Choose(snapshot, service, AttemptPlan(false), {}, aNow)
      .mServer->mName;
  };
  for (int i = 0; i < kDraws; ++i) {
    CHECK(choose(kStart + Millis(3900)) == BackendServerName("b"));
  }
  update.mDemoted = false;
  view.OnServerUpdate(update, kStart + Millis(1000));
  CHECK(CountFirst(view, snapshot, kStart + Millis(1000)) > kDraws / 3);
}

TEST_CASE("A demotion expires when the update that ends it is lost")
{
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  view.OnServerUpdate({ .mServer = ServerIncarnation(BackendServerName("a")),
                        .mService = ServiceName("ledger"),
                        .mDemoted = true,
                        .mRetryAfter = Millis(60'000) },
                      kStart);
  CHECK(CountFirst(view, snapshot, kStart + Millis(5000)) > kDraws / 3);
}

TEST_CASE("Requests that can fail over are trials of a demoted server once due")
{
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  const Millis retryAfter{ 4000 };
  view.OnServerUpdate({ .mServer = ServerIncarnation(BackendServerName("a")),
                        .mService = ServiceName("ledger"),
                        .mDemoted = true,
                        .mRetryAfter = retryAfter },
                      kStart);
  // The trial is due within the retry time; then all such requests are trials.
  const auto due = kStart + retryAfter - Millis(1);
  CHECK(CountFirst(view, snapshot, due) == kDraws);
  // The home rejected a trial: no other one before the retry time is over.
  const auto& first = snapshot.mServices.begin()->second.mServers[0];
  view.OnRejected(first, RejectReason::kDemoted, retryAfter, true, due);
  CHECK(CountFirst(view, snapshot, due + Millis(1000)) == 0);
}

namespace {

constexpr int kManyServers = 266;

// One server per box, in five zones; the entry's box is one of them.
Snapshot
MakeLargeSnapshot()
{
  Snapshot snapshot;
  snapshot.mSerial = 1;
  auto& service = snapshot.mServices[ServiceName("ledger")];
  service.mSpec.mName = ServiceName("ledger");
  for (int i = 0; i < kManyServers; ++i) {
    const BoxName box("box-" + std::to_string(i));
    const AvailabilityZone zone("zone-" + std::to_string(i % 5));
    snapshot.mBoxes[box] = { .mName = box, .mZone = zone };
    service.mServers.push_back({ .mName = BackendServerName("s" + box.Value()),
                                 .mService = ServiceName("ledger"),
                                 .mBox = box,
                                 .mSlots = 6 });
  }
  return snapshot;
}

std::set<BackendServerName>
ChosenOf(EntryView& aView, const Snapshot& aSnapshot, TimePoint aNow)
{
  const auto& service = aSnapshot.mServices.begin()->second;
  std::set<BackendServerName> chosen;
  for (int i = 0; i < kDraws; ++i) {
    const auto* server =
      aView.Choose(aSnapshot, service, AttemptPlan(false), {}, aNow).mServer;
    if (server != nullptr) {
      chosen.insert(server->mName);
    }
  }
  return chosen;
}

} // namespace

TEST_CASE("An entry uses a subset of at most 20 of several hundred servers")
{
  const auto snapshot = MakeLargeSnapshot();
  EntryView view(BoxName("box-7"), AvailabilityZone("zone-2"), {});
  CHECK(ChosenOf(view, snapshot, kStart).size() <= 20);
}

TEST_CASE("An entry uses servers beyond its subset when all of it is demoted")
{
  const auto snapshot = MakeLargeSnapshot();
  EntryView view(BoxName("box-7"), AvailabilityZone("zone-2"), {});
  std::set<BackendServerName> demoted;
  for (int round = 0; round < 5; ++round) {
    const auto chosen = ChosenOf(view, snapshot, kStart);
    CHECK_FALSE(chosen.empty());
    for (const auto& server : chosen) {
      CHECK_FALSE(demoted.contains(server));
      view.OnServerUpdate({ .mServer = ServerIncarnation(server),
                            .mService = ServiceName("ledger"),
                            .mDemoted = true,
                            .mRetryAfter = Millis(4000) },
                          kStart);
      demoted.insert(server);
    }
  }
  CHECK(demoted.size() > 20);
}

TEST_CASE("State of an earlier incarnation of a server is discarded")
{
  auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  auto& server = snapshot.mServices.begin()->second.mServers[0];
  const auto closeIt = [&](const BackendServerSpec& aServer) {
    view.OnRejected(
      aServer, RejectReason::kLeaving, Millis(5000), false, kStart);
    view.OnServerUpdate({ .mServer = aServer.Incarnation(),
                          .mService = aServer.mService,
                          .mDemoted = true,
                          .mRetryAfter = Millis(5000) },
                        kStart);
  };
  server.mStartMs = 1000;
  const auto first = server;
  view.OnSent(first);
  closeIt(first);
  CHECK(CountFirst(view, snapshot, kStart) == 0);
  server.mStartMs = 2000;
  CHECK(CountFirst(view, snapshot, kStart) > kDraws / 3);
  // Late reports about the earlier incarnation are ignored.
  closeIt(first);
  view.OnEnded(first);
  view.OnLoad(first, 9.0, kStart);
  CHECK(CountFirst(view, snapshot, kStart) > kDraws / 3);
  CHECK(view.Dump().find("in_flight=0") != std::string::npos);
  CHECK(view.Dump().find("in_flight=-1") == std::string::npos);
}

TEST_CASE("A limited server is chosen when its turn has come")
{
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  const auto& first = snapshot.mServices.begin()->second.mServers[0];
  view.OnDemand(first, kOnePerSecond, DemandSource::kAnswer, kStart);
  CHECK(CountFirst(view, snapshot, kStart + Millis(400)) == 0);
  CHECK(CountFirst(view, snapshot, kStart + Millis(1600)) > 0);
  CHECK(
    view.LimitOf(first, kStart + Millis(50)) ==
    LimitNote{ .mRate = 1.0, .mAge = Millis(50), .mInterval = Millis(1000) });
  view.OnDemand(first, {}, DemandSource::kRejection, kStart + Millis(100));
  CHECK(CountFirst(view, snapshot, kStart + Millis(400)) == 0);
  view.OnDemand(first, {}, DemandSource::kAnswer, kStart + Millis(200));
  CHECK(CountFirst(view, snapshot, kStart + Millis(400)) > 0);
  CHECK_FALSE(view.LimitOf(first, kStart));
}

TEST_CASE("A limited server gets no hedged attempt")
{
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  const auto& service = snapshot.mServices.begin()->second;
  view.OnDemand(
    service.mServers[0], kOnePerSecond, DemandSource::kAnswer, kStart);
  for (int i = 0; i < kDraws; ++i) {
    const auto choice = view.Choose(snapshot,
                                    service,
                                    AttemptPlan(true),
                                    { .mOpenOnly = true },
                                    kStart + Millis(5000));
    CHECK(choice.mServer == &service.mServers[1]);
  }
}

TEST_CASE("When all servers are limited they are the last resort")
{
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  const auto& service = snapshot.mServices.begin()->second;
  for (const auto& server : service.mServers) {
    view.OnDemand(server, kOnePerSecond, DemandSource::kAnswer, kStart);
  }
  AttemptPlan plan(true);
  const auto none = view.Choose(snapshot, service, plan, {}, kStart);
  CHECK(none.mServer == nullptr);
  REQUIRE(plan.AllowLastResort(none.mDemotedLeft));
  CHECK(view.Choose(snapshot, service, plan, {}, kStart).mServer != nullptr);
}

TEST_CASE("A server that says it is leaving gets no request, even as the last")
{
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  const auto& service = snapshot.mServices.begin()->second;
  for (const auto& server : service.mServers) {
    view.OnDemand(server, { .mLeaving = true }, DemandSource::kAnswer, kStart);
  }
  AttemptPlan plan(true);
  const auto choice = view.Choose(snapshot, service, plan, {}, kStart);
  CHECK(choice.mServer == nullptr);
  CHECK_FALSE(plan.AllowLastResort(choice.mDemotedLeft));
  // A later answer without the header does not end it, its home's update does.
  view.OnDemand(
    service.mServers[0], {}, DemandSource::kAnswer, kStart + Millis(10));
  CHECK(CountFirst(view, snapshot, kStart + Millis(10)) == 0);
  view.OnServerUpdate({ .mServer = service.mServers[0].Incarnation(),
                        .mService = ServiceName("ledger"),
                        .mLeavingEnded = true },
                      kStart + Millis(20));
  CHECK(CountFirst(view, snapshot, kStart + Millis(20)) == kDraws);
}

TEST_CASE("An update without a limit makes the next request due")
{
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  const auto& first = snapshot.mServices.begin()->second.mServers[0];
  view.OnDemand(first, kOnePerSecond, DemandSource::kAnswer, kStart);
  view.OnServerUpdate(
    { .mServer = first.Incarnation(), .mService = ServiceName("ledger") },
    kStart);
  CHECK(CountFirst(view, snapshot, kStart) > 0);
  // A restarted home learns of the limit from it.
  CHECK(view.LimitOf(first, kStart));
}

namespace {

// Counts how often the first server is chosen in kDraws choices for aPlan.
int
CountFirst(EntryView& aView,
           const Snapshot& aSnapshot,
           const AttemptPlan& aPlan)
{
  const auto& service = aSnapshot.mServices.begin()->second;
  int count = 0;
  for (int i = 0; i < kDraws; ++i) {
    const auto* server =
      aView.Choose(aSnapshot, service, aPlan, {}, kStart).mServer;
    count += server == &service.mServers[0] ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_CASE("The last resort of a long request prefers a silent server")
{
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  const auto& servers = snapshot.mServices.begin()->second.mServers;
  const auto demote = [&](const BackendServerSpec& aServer, bool aSilent) {
    view.OnRejected(
      aServer, RejectReason::kDemoted, Millis(4000), false, kStart, aSilent);
  };
  demote(servers[0], true);
  demote(servers[1], false);
  AttemptPlan plan(false, { .mIsLong = true });
  REQUIRE(plan.AllowLastResort(true));
  CHECK(CountFirst(view, snapshot, plan) == kDraws);
  AttemptPlan other(false); // as before
  REQUIRE(other.AllowLastResort(true));
  const int count = CountFirst(view, snapshot, other);
  CHECK(count > kDraws / 3);
  CHECK(count < kDraws * 2 / 3);
  // The server has lost a response since.
  demote(servers[0], false);
  CHECK(CountFirst(view, snapshot, plan) < kDraws * 2 / 3);
}

TEST_CASE("A repeated round uses servers known as demoted when none is open")
{
  const auto snapshot = MakeSnapshot();
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  const auto& servers = snapshot.mServices.begin()->second.mServers;
  view.OnRejected(
    servers[0], RejectReason::kDemoted, Millis(4000), false, kStart);
  AttemptPlan plan(false, { .mIsLong = true, .mRepeatsRounds = true });
  plan.StartRound();
  CHECK(CountFirst(view, snapshot, plan) == 0);
  plan.OnSent(servers[1].mName);
  CHECK(CountFirst(view, snapshot, plan) == kDraws);
}

TEST_CASE("The hedge delay uses the latency that homes reported for the route")
{
  EntryView view(BoxName("entry"), AvailabilityZone("entry"), {});
  const ServiceName service("ledger");
  const HedgeTiming timing{ .mTotalTime = Millis(8000) };
  CHECK(view.HedgeDelay(service, "route", timing) == Millis(2000));
  view.OnLatencyP90(service, "route", Millis(300));
  CHECK(view.HedgeDelay(service, "route", timing) == Millis(300));
  CHECK(view.HedgeDelay(service, "other", timing) == Millis(2000));
  CHECK(view.HedgeDelay(service,
                        "route",
                        { .mTotalTime = Millis(8000),
                          .mLongTarget = Millis(2000) }) == Millis(1700));
}
