#include "porttiller/policy/Membership.h"
#include "porttiller/policy/GossipOverlay.h"

#include "FuzzDraw.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

using namespace porttiller;

namespace {

const std::vector<BoxName> kBoxes = { BoxName("a"),
                                      BoxName("b"),
                                      BoxName("c"),
                                      BoxName("d") };
const TimePoint kStart{ Millis(1000) };

Membership
MakeMember(const BoxName& aSelf, std::uint64_t aIncarnation = 1)
{
  Membership member(aSelf, Incarnation(aIncarnation));
  member.SetBoxes(kBoxes);
  return member;
}

} // namespace

TEST_CASE("A box that only other boxes reach stays alive with its path cut")
{
  auto a = MakeMember(kBoxes[0]);
  a.OnReachedByOthers(kBoxes[1], Incarnation(1));
  CHECK(a.StateOf(kBoxes[1]) == MemberState::kAlive);
  CHECK_FALSE(a.PathWorks(kBoxes[1]));
  a.OnReached(kBoxes[1], Incarnation(1));
  CHECK(a.PathWorks(kBoxes[1]));
}

TEST_CASE("A suspect that refutes in time is not declared dead")
{
  auto a = MakeMember(kBoxes[0]);
  auto b = MakeMember(kBoxes[1]);
  a.OnReached(kBoxes[1], Incarnation(1));
  a.OnNotReached(kBoxes[1], kStart);
  b.OnUpdates(a.Spread(kBoxes[1]), kStart);
  a.OnUpdates(b.Spread(kBoxes[0]), kStart + Millis(1000));
  a.OnTick(kStart + Millis(10'000));
  CHECK(a.StateOf(kBoxes[1]) == MemberState::kAlive);
}

TEST_CASE("An unresponsive box is dead after the suspicion timeout, its new "
          "incarnation is alive")
{
  auto a = MakeMember(kBoxes[0]);
  a.OnNotReached(kBoxes[1], kStart);
  a.OnTick(kStart + Millis(2000));
  CHECK(a.StateOf(kBoxes[1]) == MemberState::kSuspect);
  a.OnTick(kStart + Millis(3000));
  CHECK(a.StateOf(kBoxes[1]) == MemberState::kDead);
  CHECK(a.LiveBoxes().size() == 3);
  a.OnReached(kBoxes[1], Incarnation(2));
  CHECK(a.StateOf(kBoxes[1]) == MemberState::kAlive);
}

TEST_CASE("A leaving box is not live at any node that received its update")
{
  auto a = MakeMember(kBoxes[0]);
  auto b = MakeMember(kBoxes[1]);
  b.Leave();
  a.OnUpdates(b.Spread(kBoxes[0]), kStart);
  CHECK(a.StateOf(kBoxes[1]) == MemberState::kLeaving);
}

TEST_CASE(
  "A box refutes an outdated update even after its refutation was gossiped")
{
  // Without the second refutation, a node that missed the first one would keep
  // the box dead forever.
  auto b = MakeMember(kBoxes[1]);
  const MemberUpdate dead{ .mBox = kBoxes[1],
                           .mIncarnation = Incarnation(1),
                           .mState = MemberState::kDead };
  b.OnUpdates({ dead }, kStart);
  while (!b.Spread(kBoxes[2]).empty()) {
  }
  auto a = MakeMember(kBoxes[0]);
  a.OnUpdates({ dead }, kStart);
  b.OnUpdates({ dead }, kStart);
  a.OnUpdates(b.Spread(kBoxes[0]), kStart);
  CHECK(a.StateOf(kBoxes[1]) == MemberState::kAlive);
}

TEST_CASE("Every box is probed once in each round")
{
  auto a = MakeMember(kBoxes[0]);
  std::map<BoxName, int> probes;
  for (std::uint64_t i = 0; i < 30; ++i) {
    ++probes[*a.NextProbe(i)];
  }
  CHECK(probes.size() == 3);
  for (const auto& [box, count] : probes) {
    CHECK(count == 10);
  }
}

TEST_CASE(
  "Once the network is whole, all nodes agree that running boxes are alive")
{
  // Includes lost, delayed and duplicate gossip, false suspicions and restarts.
  const bool ok = rc::check([] {
    std::vector<Membership> nodes;
    nodes.reserve(kBoxes.size());
    std::vector<std::uint64_t> incarnations(kBoxes.size(), 1);
    for (const auto& box : kBoxes) {
      nodes.push_back(MakeMember(box));
    }
    auto now = kStart;
    std::vector<std::vector<MemberUpdate>> delayed;
    for (int step = 0; step < 150; ++step) {
      now += Millis(Draw(0, 600));
      const auto from = Draw<std::size_t>(0, nodes.size());
      const auto to = Draw<std::size_t>(0, nodes.size());
      switch (Draw(0, 6)) {
        case 0:
          if (from != to) {
            nodes[from].OnNotReached(kBoxes[to], now);
          }
          break;
        case 1:
          delayed.push_back(nodes[from].Spread(kBoxes[to]));
          break;
        case 2:
          if (!delayed.empty()) {
            nodes[to].OnUpdates(delayed[Draw<std::size_t>(0, delayed.size())],
                                now);
          }
          break;
        case 3:
          nodes[from].OnTick(now);
          break;
        case 4:
          if (Draw(0, 5) == 0) {
            nodes[from] = MakeMember(kBoxes[from], ++incarnations[from]);
          }
          break;
        default:
          nodes[to].OnUpdates(nodes[from].Spread(kBoxes[to]), now);
          break;
      }
    }
    for (int round = 0; round < 6; ++round) { // every pair probes
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        for (std::size_t j = 0; j < nodes.size(); ++j) {
          if (i != j) {
            nodes[j].OnUpdates(nodes[i].Spread(kBoxes[j]), now);
            nodes[i].OnReached(kBoxes[j], Incarnation(incarnations[j]));
            nodes[i].OnUpdates(nodes[j].Spread(kBoxes[i]), now);
          }
        }
      }
    }
    for (const auto& node : nodes) {
      RC_ASSERT(node.LiveBoxes() == kBoxes);
      for (std::size_t j = 0; j < kBoxes.size(); ++j) {
        RC_ASSERT(node.IncarnationOf(kBoxes[j]) ==
                  Incarnation(incarnations[j]));
      }
    }
  });
  CHECK(ok);
}

TEST_CASE(
  "A box that was not reached is used again once others report it alive")
{
  // Otherwise a node that probed a box during a short outage would avoid it
  // until its own next probe of that box, which comes once per round of all
  // boxes.
  auto a = MakeMember(kBoxes[0]);
  a.OnReached(kBoxes[1], Incarnation(1));
  a.OnNotReached(kBoxes[1], kStart);
  CHECK_FALSE(a.PathWorks(kBoxes[1]));
  a.OnUpdates({ { .mBox = kBoxes[1], .mIncarnation = Incarnation(2) } },
              kStart);
  CHECK(a.StateOf(kBoxes[1]) == MemberState::kAlive);
  CHECK(a.PathWorks(kBoxes[1]));
}

TEST_CASE("A new incarnation in the box's record is alive, an old one is not")
{
  auto a = MakeMember(kBoxes[0]);
  a.OnReached(kBoxes[1], Incarnation(2));
  a.OnNotReached(kBoxes[1], kStart);
  a.OnTick(kStart + Millis(3000));
  a.OnNewIncarnation(kBoxes[1], Incarnation(2));
  CHECK(a.StateOf(kBoxes[1]) == MemberState::kDead);
  a.OnNewIncarnation(kBoxes[1], Incarnation(3));
  CHECK(a.StateOf(kBoxes[1]) == MemberState::kAlive);
  CHECK(a.PathWorks(kBoxes[1]));
}

TEST_CASE("A box that was not reached is probed again soon in a large fleet")
{
  constexpr int kCount = 100;
  std::vector<BoxName> boxes;
  boxes.reserve(kCount);
  for (int i = 0; i < kCount; ++i) {
    boxes.emplace_back("box-" + std::to_string(i));
  }
  Membership a(boxes[0], Incarnation(1));
  a.SetBoxes(boxes);
  a.OnReachedByOthers(boxes[50], Incarnation(1));
  bool probed = false;
  for (std::uint64_t i = 0; i < 4; ++i) {
    probed = probed || a.NextProbe(i) == boxes[50];
  }
  CHECK(probed);
}

TEST_CASE("No request goes to a suspect while other boxes would take it")
{
  // Otherwise non-repeatable requests to a box that is cut off are lost during
  // the three seconds that it has to refute.
  auto a = MakeMember(kBoxes[0]);
  a.OnReached(kBoxes[1], Incarnation(1));
  CHECK(a.IsRoutable(kBoxes[1]));
  a.OnUpdates({ { .mBox = kBoxes[1],
                  .mIncarnation = Incarnation(1),
                  .mState = MemberState::kSuspect } },
              kStart);
  CHECK_FALSE(a.IsRoutable(kBoxes[1]));
  a.OnUpdates(
    { { .mBox = kBoxes[1], .mIncarnation = Incarnation(1), .mRefutation = 1 } },
    kStart);
  CHECK(a.IsRoutable(kBoxes[1]));
}

namespace {

std::vector<BoxName>
MakeBoxes(int aCount)
{
  std::vector<BoxName> boxes;
  boxes.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    boxes.emplace_back("box-" + std::to_string(i));
  }
  std::sort(boxes.begin(), boxes.end());
  return boxes;
}

} // namespace

TEST_CASE("In a large fleet a box probes few neighbors and is probed by few")
{
  // Probing every other box in turn needs a new connection for each probe: with
  // 353 boxes under load, that takes a quarter of the processor time.
  constexpr int kRounds = 60;
  const auto boxes = MakeBoxes(1300);
  std::map<BoxName, std::map<BoxName, int>> probers;
  for (const auto& box : boxes) {
    Membership member(box, Incarnation(1));
    member.SetBoxes(boxes);
    std::map<BoxName, int> probes;
    for (std::uint64_t i = 0; i < kRounds; ++i) {
      // An odd draw never selects a random box.
      ++probes[*member.NextProbe(2 * i + 1)];
    }
    CHECK(probes.size() == 11); // 1, 2, 4, ... 1024 places ahead
    for (const auto& [probed, count] : probes) {
      probers[probed][box] += count;
    }
  }
  CHECK(probers.size() == boxes.size());
  for (const auto& [box, by] : probers) {
    CHECK(by.size() == 11);
  }
}

TEST_CASE("In a large fleet dead boxes are still probed occasionally")
{
  const auto boxes = MakeBoxes(100);
  Membership member(boxes[0], Incarnation(1));
  member.SetBoxes(boxes);
  for (const auto& box : boxes) {
    member.OnNotReached(box, kStart);
  }
  member.OnTick(kStart + Millis(10'000));
  std::set<BoxName> probed;
  std::mt19937_64 random(3);
  for (int i = 0; i < 8000; ++i) {
    if (const auto box = member.NextProbe(random())) {
      probed.insert(*box);
    }
  }
  CHECK(probed.size() == boxes.size() - 1);
}

TEST_CASE("An update crosses a large fleet in a few rounds of probes")
{
  const auto boxes = MakeBoxes(353);
  std::vector<Membership> nodes;
  std::map<BoxName, std::size_t> indices;
  nodes.reserve(boxes.size());
  for (const auto& box : boxes) {
    indices[box] = nodes.size();
    nodes.emplace_back(box, Incarnation(1));
    nodes.back().SetBoxes(boxes);
    for (const auto& other : boxes) {
      nodes.back().OnNewIncarnation(other,
                                    Incarnation(1)); // as from their records
    }
  }
  nodes[0].Leave();
  std::mt19937_64 random(5);
  int rounds = 0;
  const auto informed = [&] {
    return std::count_if(nodes.begin(), nodes.end(), [&](const auto& aNode) {
      return aNode.StateOf(boxes[0]) == MemberState::kLeaving;
    });
  };
  while (informed() < 350 && rounds < 40) {
    ++rounds;
    for (std::size_t from = 0; from < nodes.size(); ++from) {
      const auto to = nodes[from].NextProbe(random());
      auto& other = nodes[indices.at(*to)];
      other.OnUpdates(nodes[from].Spread(*to), kStart);
      nodes[from].OnUpdates(other.Spread(boxes[from]), kStart);
    }
  }
  CHECK(rounds <= 12);
}

TEST_CASE("A suspicion and its refutation are urgent once for each box")
{
  auto a = MakeMember(kBoxes[0]);
  auto b = MakeMember(kBoxes[1]);
  auto c = MakeMember(kBoxes[2]);
  a.OnNotReached(kBoxes[1], kStart);
  const auto suspicion = a.TakeUrgent(8);
  REQUIRE(suspicion.size() == 1);
  CHECK(suspicion[0].mState == MemberState::kSuspect);
  CHECK(a.TakeUrgent(8).empty());
  c.OnUpdates(suspicion, kStart);
  CHECK_FALSE(c.IsRoutable(kBoxes[1]));
  CHECK(c.TakeUrgent(8).size() == 1); // forwarded
  c.OnUpdates(suspicion, kStart);
  CHECK(c.TakeUrgent(8).empty()); // but not again
  b.OnUpdates(suspicion, kStart);
  const auto refutation = b.TakeUrgent(8);
  REQUIRE(refutation.size() == 1);
  c.OnUpdates(refutation, kStart);
  CHECK(c.IsRoutable(kBoxes[1]));
  CHECK(c.TakeUrgent(8).size() == 1);
}

TEST_CASE("An urgent update about a box without power crosses a large fleet in "
          "few hops")
{
  // Sent as by the controller: to three boxes of the sender's zone and one of
  // each other zone, and forwarded by each box to which the update is new.
  constexpr int kZones = 5;
  const auto boxes = MakeBoxes(353);
  std::vector<Membership> nodes;
  std::vector<OverlayBox> overlayBoxes;
  std::vector<GossipOverlay> overlays;
  std::map<BoxName, std::size_t> indices;
  nodes.reserve(boxes.size());
  for (std::size_t i = 0; i < boxes.size(); ++i) {
    const AvailabilityZone zone("zone-" + std::to_string(i % kZones));
    overlayBoxes.push_back({ .mName = boxes[i], .mZone = zone });
    overlays.emplace_back(boxes[i], zone);
    indices.emplace(boxes[i], i);
    nodes.emplace_back(boxes[i], Incarnation(1));
    nodes.back().SetBoxes(boxes);
    for (const auto& other : boxes) {
      nodes.back().OnNewIncarnation(other, Incarnation(1));
    }
  }
  for (auto& overlay : overlays) {
    overlay.SetBoxes(overlayBoxes);
  }
  nodes[7].OnNotReached(boxes[0], kStart);
  std::mt19937_64 random(11);
  int hops = 0;
  int messages = 0;
  for (; hops < 10; ++hops) {
    std::vector<std::pair<std::size_t, std::vector<MemberUpdate>>> sent;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      const auto updates = nodes[i].TakeUrgent(32);
      if (updates.empty()) {
        continue;
      }
      for (const auto& to : overlays[i].Receivers(
             { .mOwnZone = 3, .mPerOtherZone = 1 }, random())) {
        sent.emplace_back(indices.at(to), updates);
      }
    }
    if (sent.empty()) {
      break;
    }
    messages += static_cast<int>(sent.size());
    for (const auto& [to, updates] : sent) {
      if (to != 0) { // the box has no power
        nodes[to].OnUpdates(updates, kStart);
      }
    }
  }
  const auto informed =
    std::count_if(nodes.begin(), nodes.end(), [&](const auto& aNode) {
      return !aNode.IsRoutable(boxes[0]);
    });
  CHECK(informed >= 345);
  CHECK(hops <= 8);
  CHECK(messages <= 7 * 353);
}

TEST_CASE("LiveSerial changes whenever the live boxes do")
{
  const bool ok = rc::check([] {
    auto member = MakeMember(kBoxes[0]);
    auto now = kStart;
    auto live = member.LiveBoxes();
    auto serial = member.LiveSerial();
    for (int step = 0; step < 40; ++step) {
      const auto& box = kBoxes[static_cast<std::size_t>(Draw(0, 3))];
      const Incarnation incarnation(static_cast<std::uint64_t>(Draw(1, 4)));
      switch (Draw(0, 6)) {
        case 0:
          member.OnReached(box, incarnation);
          break;
        case 1:
          member.OnNotReached(box, now);
          break;
        case 2:
          member.OnNewIncarnation(box, incarnation);
          break;
        case 3:
          member.OnUpdates(
            { { .mBox = box,
                .mIncarnation = incarnation,
                .mState = static_cast<MemberState>(Draw(0, 3)) } },
            now);
          break;
        case 4:
          now += Millis(4000);
          member.OnTick(now);
          break;
        case 5:
          member.SetBoxes({ kBoxes[0], box });
          break;
        default:
          member.SetBoxes(kBoxes);
          break;
      }
      if (member.LiveBoxes() != live) {
        RC_ASSERT(member.LiveSerial() != serial);
      }
      live = member.LiveBoxes();
      serial = member.LiveSerial();
    }
  });
  CHECK(ok);
}
