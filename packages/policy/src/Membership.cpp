#include "porttiller/policy/Membership.h"

#include "HashRingPriv.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <set>
#include <tuple>
#include <utility>

namespace porttiller {

namespace {

// Keeps ring positions independent of other uses of the hash.
constexpr std::uint64_t kRingSeed = 0x72696e67;

} // namespace

const char*
ToText(MemberState aState)
{
  switch (aState) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      break;
  }
  return "dead";
}

Membership::Membership(BoxName aSelf,
                       Incarnation aIncarnation,
                       MembershipOptions aOptions)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
{
  auto& self = mMembers[mSelf];
  self.mIncarnation = aIncarnation;
  ScheduleRetransmits(self);
}

void
Membership::SetBoxes(const std::vector<BoxName>& aBoxes)
{
  const std::set<BoxName> listed(aBoxes.begin(), aBoxes.end());
  const auto removed = std::erase_if(mMembers, [&](const auto& aItem) {
    return aItem.first != mSelf && !listed.contains(aItem.first);
  });
  bool added = false;
  for (const auto& box : aBoxes) {
    added = mMembers.try_emplace(box).second || added;
  }
  if (removed > 0 || added) {
    ++mLiveSerial;
  }
  std::erase_if(mProbeOrder,
                [&](const BoxName& aBox) { return !mMembers.contains(aBox); });
}

std::optional<BoxName>
Membership::UnreachedBox(std::uint64_t aRandom) const
{
  std::vector<BoxName> unreached;
  for (const auto& [box, member] : mMembers) {
    if (!member.mPathWorks && IsLive(member.mState)) {
      unreached.push_back(box);
    }
  }
  if (unreached.empty()) {
    return std::nullopt;
  }
  return unreached[aRandom % unreached.size()];
}

std::vector<BoxName>
Membership::OtherBoxes(bool aLiveOnly) const
{
  std::vector<BoxName> others;
  for (const auto& [box, member] : mMembers) {
    if (box != mSelf && (!aLiveOnly || IsLive(member.mState))) {
      others.push_back(box);
    }
  }
  return others;
}

std::vector<BoxName>
Membership::Neighbors() const
{
  const HashRing ring(OtherBoxes(true), kRingSeed);
  return ring.Fingers(ring.RankOf(mSelf), ring.Size());
}

std::optional<BoxName>
Membership::NextProbe(std::uint64_t aRandom)
{
  mProbeUnreached = !mProbeUnreached;
  if (mProbeUnreached) {
    if (auto box = UnreachedBox(aRandom)) {
      return box;
    }
  }
  const bool large = mMembers.size() > mOptions.mMaxFullProbingBoxes;
  if (large && aRandom % mOptions.mRandomProbePeriod == 0) {
    const auto others = OtherBoxes(false);
    return others[(aRandom / mOptions.mRandomProbePeriod) % others.size()];
  }
  if (mProbeOrder.empty()) {
    const auto neighbors = large ? Neighbors() : OtherBoxes(false);
    mProbeOrder.assign(neighbors.begin(), neighbors.end());
    std::mt19937_64 generator(aRandom);
    std::shuffle(mProbeOrder.begin(), mProbeOrder.end(), generator);
  }
  if (mProbeOrder.empty()) {
    return std::nullopt;
  }
  auto next = mProbeOrder.front();
  mProbeOrder.pop_front();
  return next;
}

std::vector<BoxName>
Membership::Helpers(const BoxName& aTarget, std::uint64_t aRandom) const
{
  std::vector<BoxName> candidates;
  for (const auto& [box, member] : mMembers) {
    if (box != mSelf && box != aTarget &&
        member.mState == MemberState::kAlive && member.mPathWorks) {
      candidates.push_back(box);
    }
  }
  std::mt19937_64 generator(aRandom);
  std::shuffle(candidates.begin(), candidates.end(), generator);
  candidates.resize(std::min(candidates.size(), mOptions.mIndirectProbes));
  return candidates;
}

void
Membership::ScheduleRetransmits(Member& aMember) const
{
  const auto boxes = static_cast<double>(mMembers.size() + 1);
  aMember.mRetransmitsLeft =
    mOptions.mRetransmitFactor * static_cast<int>(std::ceil(std::log2(boxes)));
}

void
Membership::MarkAlive(const BoxName& aBox,
                      Incarnation aIncarnation,
                      bool aDirectPath)
{
  const auto it = mMembers.find(aBox);
  if (it == mMembers.end()) {
    return;
  }
  auto& member = it->second;
  member.mPathWorks = aDirectPath;
  if (aIncarnation != member.mIncarnation) {
    // A direct answer is newer than any gossip, so this incarnation is current.
    member.mIncarnation = aIncarnation;
    member.mRefutation = 0;
    SetState(member, MemberState::kAlive);
    ScheduleRetransmits(member);
  } else if (member.mState == MemberState::kSuspect) {
    // Others still suspect the box until it refutes; see Spread.
    SetState(member, MemberState::kAlive);
  }
}

void
Membership::OnReached(const BoxName& aBox, Incarnation aIncarnation)
{
  MarkAlive(aBox, aIncarnation, true);
}

void
Membership::OnReachedByOthers(const BoxName& aBox, Incarnation aIncarnation)
{
  MarkAlive(aBox, aIncarnation, false);
}

void
Membership::OnNotReached(const BoxName& aBox, TimePoint aNow)
{
  const auto it = mMembers.find(aBox);
  if (it == mMembers.end() || it->second.mState != MemberState::kAlive) {
    return;
  }
  SetState(it->second, MemberState::kSuspect);
  it->second.mSuspectSince = aNow;
  it->second.mPathWorks = false;
  ScheduleRetransmits(it->second);
  MarkUrgent(aBox);
}

void
Membership::MarkUrgent(const BoxName& aBox)
{
  mUrgent.insert(aBox);
}

std::vector<MemberUpdate>
Membership::TakeUrgent(std::size_t aMaxUpdates)
{
  std::vector<MemberUpdate> updates;
  while (!mUrgent.empty() && updates.size() < aMaxUpdates) {
    const auto box = *mUrgent.begin();
    mUrgent.erase(mUrgent.begin());
    if (const auto it = mMembers.find(box); it != mMembers.end()) {
      updates.push_back(ToUpdate(box, it->second));
    }
  }
  return updates;
}

bool
Membership::IsLive(MemberState aState)
{
  return aState == MemberState::kAlive || aState == MemberState::kSuspect;
}

void
Membership::SetState(Member& aMember, MemberState aState)
{
  if (IsLive(aMember.mState) != IsLive(aState)) {
    ++mLiveSerial;
  }
  aMember.mState = aState;
}

bool
Membership::Supersedes(const MemberUpdate& aUpdate, const Member& aHeld) const
{
  return std::tuple(aUpdate.mIncarnation, aUpdate.mRefutation, aUpdate.mState) >
         std::tuple(aHeld.mIncarnation, aHeld.mRefutation, aHeld.mState);
}

void
Membership::Refute(const MemberUpdate& aUpdate)
{
  auto& self = mMembers[mSelf];
  if (aUpdate == ToUpdate(mSelf, self)) {
    return;
  }
  const bool overrides = aUpdate.mIncarnation == self.mIncarnation &&
                         aUpdate.mRefutation >= self.mRefutation;
  if (overrides) {
    self.mRefutation = aUpdate.mRefutation + 1;
  }
  if (aUpdate.mState != MemberState::kAlive) {
    MarkUrgent(mSelf);
  }
  // Also answers an outdated update: its sender may have missed the earlier
  // refutation.
  ScheduleRetransmits(self);
}

void
Membership::Apply(const MemberUpdate& aUpdate, TimePoint aNow)
{
  if (aUpdate.mBox == mSelf) {
    Refute(aUpdate);
    return;
  }
  const auto it = mMembers.find(aUpdate.mBox);
  if (it == mMembers.end() || !Supersedes(aUpdate, it->second)) {
    return;
  }
  auto& member = it->second;
  if (aUpdate.mState != MemberState::kAlive ||
      member.mState != MemberState::kAlive) {
    MarkUrgent(aUpdate.mBox);
  }
  if (aUpdate.mState == MemberState::kAlive) {
    // Another node has reached the box since. Requests and the next probe show
    // whether this node can.
    member.mPathWorks = true;
  }
  member.mIncarnation = aUpdate.mIncarnation;
  member.mRefutation = aUpdate.mRefutation;
  SetState(member, aUpdate.mState);
  member.mSuspectSince = aNow;
  ScheduleRetransmits(member);
}

void
Membership::OnNewIncarnation(const BoxName& aBox, Incarnation aIncarnation)
{
  const auto it = mMembers.find(aBox);
  if (aBox == mSelf || it == mMembers.end() ||
      aIncarnation <= it->second.mIncarnation) {
    return;
  }
  SetState(it->second, MemberState::kAlive);
  it->second = { .mIncarnation = aIncarnation };
}

void
Membership::OnUpdates(const std::vector<MemberUpdate>& aUpdates, TimePoint aNow)
{
  for (const auto& update : aUpdates) {
    Apply(update, aNow);
  }
}

void
Membership::Leave()
{
  auto& self = mMembers[mSelf];
  SetState(self, MemberState::kLeaving);
  ScheduleRetransmits(self);
}

void
Membership::OnTick(TimePoint aNow)
{
  for (auto& [box, member] : mMembers) {
    if (member.mState == MemberState::kSuspect &&
        aNow - member.mSuspectSince >= mOptions.mSuspicionTimeout) {
      SetState(member, MemberState::kDead);
      ScheduleRetransmits(member);
    }
  }
}

MemberUpdate
Membership::ToUpdate(const BoxName& aBox, const Member& aMember) const
{
  return { .mBox = aBox,
           .mIncarnation = aMember.mIncarnation,
           .mRefutation = aMember.mRefutation,
           .mState = aMember.mState };
}

std::vector<MemberUpdate>
Membership::Spread(const BoxName& aTo)
{
  std::vector<MemberUpdate> updates;
  const auto to = mMembers.find(aTo);
  if (to != mMembers.end() && to->second.mState != MemberState::kAlive) {
    updates.push_back(ToUpdate(aTo, to->second));
  }
  // Updates with the most retransmits left first.
  std::vector<std::map<BoxName, Member>::iterator> queued;
  for (auto it = mMembers.begin(); it != mMembers.end(); ++it) {
    if (it->second.mRetransmitsLeft > 0 && it->first != aTo) {
      queued.push_back(it);
    }
  }
  std::stable_sort(queued.begin(), queued.end(), [](auto aLeft, auto aRight) {
    return aLeft->second.mRetransmitsLeft > aRight->second.mRetransmitsLeft;
  });
  for (const auto& it : queued) {
    if (updates.size() >= mOptions.mUpdatesPerMessage) {
      break;
    }
    updates.push_back(ToUpdate(it->first, it->second));
    --it->second.mRetransmitsLeft;
  }
  return updates;
}

MemberState
Membership::StateOf(const BoxName& aBox) const
{
  const auto it = mMembers.find(aBox);
  return it == mMembers.end() ? MemberState::kDead : it->second.mState;
}

Incarnation
Membership::IncarnationOf(const BoxName& aBox) const
{
  const auto it = mMembers.find(aBox);
  return it == mMembers.end() ? Incarnation() : it->second.mIncarnation;
}

bool
Membership::PathWorks(const BoxName& aBox) const
{
  const auto it = mMembers.find(aBox);
  return it != mMembers.end() && it->second.mPathWorks;
}

bool
Membership::IsRoutable(const BoxName& aBox) const
{
  return StateOf(aBox) == MemberState::kAlive && PathWorks(aBox);
}

std::vector<BoxName>
Membership::NonRoutableBoxes() const
{
  std::vector<BoxName> boxes;
  for (const auto& [box, member] : mMembers) {
    if (member.mState != MemberState::kAlive || !member.mPathWorks) {
      boxes.push_back(box);
    }
  }
  return boxes;
}

std::vector<BoxName>
Membership::LiveBoxes() const
{
  std::vector<BoxName> live;
  for (const auto& [box, member] : mMembers) {
    if (IsLive(member.mState)) {
      live.push_back(box);
    }
  }
  return live;
}

std::string
Membership::Dump() const
{
  std::string text;
  for (const auto& [box, member] : mMembers) {
    text += box.Value() + ": " + ToText(member.mState) +
            " life=" + std::to_string(member.mIncarnation.Value()) +
            (member.mPathWorks ? "" : " path-cut") + "\n";
  }
  return text;
}

} // namespace porttiller
