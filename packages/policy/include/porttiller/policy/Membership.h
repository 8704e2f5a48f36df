// Which boxes are alive, by random probes, indirect probes and gossip. The
// traffic of a node does not depend on the number of boxes. A box that others
// can reach is alive, even when this one cannot: then only the path is cut.
// Source: Das, Gupta, Motivala, "SWIM", 2002.
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

// In order of precedence within one life and refutation.
enum class MemberState
{
  kAlive,
  kSuspect, // not reached by anyone who tried; may refute
  kLeaving, // said so itself
  kDead
};

const char*
ToText(MemberState aState);

// A belief about one box, as it is spread.
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
  Millis mSuspectTime{ 3000 }; // to refute before a box is called dead
  std::size_t mHelpers = 3;    // boxes asked for an indirect probe
  std::size_t mUpdatesPerMessage = 6;
  int mSpreadFactor = 3; // times log2 of the number of boxes
  // Of the largest fleet whose boxes all probe each other.
  std::size_t mAllProbeUpTo = 40;
  std::uint64_t mOthersOneIn = 8;
};

// Owned by the membership controller, under its lock.
class Membership
{
public:
  Membership(BoxName aSelf,
             Incarnation aIncarnation,
             MembershipOptions aOptions = {});

  // The platform's list, self included; it lags and only names candidates.
  void SetBoxes(const std::vector<BoxName>& aBoxes);

  // The next box to probe: each neighbour in turn, in an order shuffled by
  // aRandom. In a small fleet all others are neighbours. In a large one they
  // are those 1, 2, 4, ... places on in the ring of all boxes by hash, so that
  // each box has as many probers as neighbours, links stay in use, and news
  // still crosses the fleet in log2 of its size rounds; one probe in
  // mOthersOneIn goes to any other box, gone ones too, so that parts that were
  // cut off find each other again. Every second probe goes to a box that this
  // one could not reach, if there is one.
  std::optional<BoxName> NextProbe(std::uint64_t aRandom);
  // Others, thought alive, that may probe aTarget for this node.
  std::vector<BoxName> Helpers(const BoxName& aTarget,
                               std::uint64_t aRandom) const;

  // The box answered this node.
  void OnReached(const BoxName& aBox, Incarnation aIncarnation);
  // It answered a helper, but not this node.
  void OnReachedByOthers(const BoxName& aBox, Incarnation aIncarnation);
  // Nobody who tried got an answer.
  void OnNotReached(const BoxName& aBox, TimePoint aNow);
  // The box has started anew, as its record tells; records spread by
  // themselves, so this is no news for others.
  void OnNewLife(const BoxName& aBox, Incarnation aIncarnation);
  // Beliefs of another node.
  void OnUpdates(const std::vector<MemberUpdate>& aUpdates, TimePoint aNow);
  // This box is leaving.
  void Leave();
  // Suspects whose time is up are dead.
  void OnTick(TimePoint aNow);

  // What to put on a message to aTo: news, and what is wrong about aTo so that
  // it can refute.
  std::vector<MemberUpdate> Spread(const BoxName& aTo);

  // What changes where requests may go: suspicions, ends and refutations that
  // are new here. Each is given out once, at most aMost at a time, to be told
  // at once: on probes alone, one a second, news takes five rounds to cross 353
  // boxes, and each entry loses a request to a box without power meanwhile.
  std::vector<MemberUpdate> TakeUrgent(std::size_t aMost);

  MemberState StateOf(const BoxName& aBox) const;
  Incarnation LifeOf(const BoxName& aBox) const;
  // False while only others reach it.
  bool PathWorks(const BoxName& aBox) const;
  // Whether requests should go there while other boxes would take them: a
  // suspect may still refute, but what is lost on the way to it stays lost.
  bool WorthSending(const BoxName& aBox) const;
  std::vector<BoxName> NotWorthSending() const;
  // Neither dead nor leaving, self included.
  std::vector<BoxName> LiveBoxes() const;
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
    int mSpreadLeft = 0;
  };

  bool Supersedes(const MemberUpdate& aUpdate, const Member& aHeld) const;
  void Take(const MemberUpdate& aUpdate, TimePoint aNow);
  void Refute(const MemberUpdate& aUpdate);
  void MarkAlive(const BoxName& aBox, Incarnation aIncarnation, bool aPath);
  void MarkNews(Member& aMember) const;
  void MarkUrgent(const BoxName& aBox);
  std::vector<BoxName> Neighbours() const;
  std::vector<BoxName> OthersOf(bool aPresentOnly) const;
  std::optional<BoxName> UnreachedBox(std::uint64_t aRandom) const;
  MemberUpdate ToUpdate(const BoxName& aBox, const Member& aMember) const;

  BoxName mSelf;
  MembershipOptions mOptions;
  std::map<BoxName, Member> mMembers;
  std::deque<BoxName> mProbeOrder;
  std::set<BoxName> mUrgent;
  bool mProbeUnreached = false; // next, if there is one
};

} // namespace porttiller
