// Tracks which boxes are alive by random probes, indirect probes and gossip
// (SWIM). The traffic of a node does not depend on the number of boxes. A box
// that other boxes can reach is alive even if this one cannot reach it; then
// only the direct path is cut. Source: Das, Gupta, Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace porttiller {

// In order of precedence within one incarnation and refutation.
enum class MemberState
{
  kAlive,
  kSuspect, // no node that tried got an answer; may refute
  kLeaving, // announced by the box itself
  kDead
};

const char*
ToText(MemberState aState);

// The state of one box as it is gossiped.
struct MemberUpdate
{
  BoxName mBox;
  Incarnation mIncarnation;
  std::uint32_t mRefutation = 0;
  MemberState mState = MemberState::kAlive;

  friend bool operator==(const MemberUpdate&, const MemberUpdate&) = default;
};

struct MembershipOptions
{
  // Time that a suspect has to refute before it is declared dead.
  Millis mSuspicionTimeout{ 3000 };
  std::size_t mIndirectProbes = 3; // boxes asked for an indirect probe
  std::size_t mUpdatesPerMessage = 6;
  int mRetransmitFactor = 3; // times log2 of the number of boxes
  // Largest fleet in which every box probes all others.
  std::size_t mMaxFullProbingBoxes = 40;
  // In larger fleets, one probe in this many goes to any box.
  std::uint64_t mRandomProbePeriod = 8;
};

// Owned by the membership controller, under its lock.
class Membership
{
public:
  Membership(BoxName aSelf,
             Incarnation aIncarnation,
             MembershipOptions aOptions = {});

  // Sets the platform's list of boxes, this one included. The list lags, so it
  // only provides candidates.
  void SetBoxes(const std::vector<BoxName>& aBoxes);

  // Returns the next box to probe: each neighbor in turn, in an order shuffled
  // by aRandom. In a small fleet all other boxes are neighbors. In a large
  // fleet they are the boxes 1, 2, 4, ... places ahead on a hash ring of all
  // boxes. Each box then has as many probers as neighbors, connections are
  // reused, and updates still cross a fleet of n boxes in log2(n) rounds. One
  // probe in mRandomProbePeriod goes to any other box, dead and leaving ones
  // included, so that the sides of a healed partition find each other. Every
  // second probe goes to a box that this one could not reach, if there is one.
  std::optional<BoxName> NextProbe(std::uint64_t aRandom);
  // Returns other boxes, believed alive, to probe aTarget for this node.
  std::vector<BoxName> Helpers(const BoxName& aTarget,
                               std::uint64_t aRandom) const;

  // The box answered this node.
  void OnReached(const BoxName& aBox, Incarnation aIncarnation);
  // The box answered an indirect probe, but not this node.
  void OnReachedByOthers(const BoxName& aBox, Incarnation aIncarnation);
  // The box answered neither this node nor an indirect probe.
  void OnNotReached(const BoxName& aBox, TimePoint aNow);
  // The record of the box shows a new incarnation. Records are distributed
  // separately, so this is not gossiped.
  void OnNewIncarnation(const BoxName& aBox, Incarnation aIncarnation);
  // Member states received from another node.
  void OnUpdates(const std::vector<MemberUpdate>& aUpdates, TimePoint aNow);
  // This box is leaving.
  void Leave();
  // Declares boxes dead that have been suspected for mSuspicionTimeout.
  void OnTick(TimePoint aNow);

  // Returns the updates to piggyback on a message to aTo: recent changes, and
  // any state of aTo other than alive so that it can refute.
  std::vector<MemberUpdate> Spread(const BoxName& aTo);

  // Returns changes that affect where requests may be sent: new suspicions,
  // deaths, departures and refutations. Each is returned once, at most
  // aMaxUpdates at a time, and should be sent at once. Probes alone, at one a
  // second, need five rounds to carry an update across 353 boxes, and meanwhile
  // each entry loses a request to a box without power.
  std::vector<MemberUpdate> TakeUrgent(std::size_t aMaxUpdates);

  MemberState StateOf(const BoxName& aBox) const;
  Incarnation IncarnationOf(const BoxName& aBox) const;
  // False while only other boxes reach it.
  bool PathWorks(const BoxName& aBox) const;
  // Whether to send requests to the box while other boxes can take them. False
  // for a suspect: it may still refute, but requests sent to it meanwhile may
  // be lost.
  bool IsRoutable(const BoxName& aBox) const;
  std::vector<BoxName> NonRoutableBoxes() const;
  // The boxes that are neither dead nor leaving, this one included.
  std::vector<BoxName> LiveBoxes() const;
  // Changes whenever LiveBoxes does.
  std::uint64_t LiveSerial() const { return mLiveSerial; }
  std::size_t Size() const { return mMembers.size(); }
  std::string Dump() const;

private:
  struct Member
  {
    Incarnation mIncarnation;
    std::uint32_t mRefutation = 0;
    MemberState mState = MemberState::kAlive;
    bool mPathWorks = true;
    TimePoint mSuspectSince;
    int mRetransmitsLeft = 0;
  };

  static bool IsLive(MemberState aState);
  void SetState(Member& aMember, MemberState aState);
  bool Supersedes(const MemberUpdate& aUpdate, const Member& aHeld) const;
  void Apply(const MemberUpdate& aUpdate, TimePoint aNow);
  void Refute(const MemberUpdate& aUpdate);
  void MarkAlive(const BoxName& aBox,
                 Incarnation aIncarnation,
                 bool aDirectPath);
  void ScheduleRetransmits(Member& aMember) const;
  void MarkUrgent(const BoxName& aBox);
  std::vector<BoxName> Neighbors() const;
  std::vector<BoxName> OtherBoxes(bool aLiveOnly) const;
  std::optional<BoxName> UnreachedBox(std::uint64_t aRandom) const;
  MemberUpdate ToUpdate(const BoxName& aBox, const Member& aMember) const;

  BoxName mSelf;
  MembershipOptions mOptions;
  std::map<BoxName, Member> mMembers;
  std::deque<BoxName> mProbeOrder;
  std::set<BoxName> mUrgent;
  std::uint64_t mLiveSerial = 0;
  bool mProbeUnreached = false; // the next probe prefers an unreached box
};

} // namespace porttiller
