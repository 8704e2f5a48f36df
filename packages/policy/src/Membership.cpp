#include "porttiller/policy/Membership.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <set>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace porttiller {

namespace {

// Places on the ring are unlike those of other uses of the hash.
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
  MarkNews(self);
}

void
Membership::SetBoxes(const std::vector<BoxName>& aBoxes)
{
  const std::set<BoxName> listed(aBoxes.begin(), aBoxes.end());
  std::erase_if(mMembers, [&](const auto& aItem) {
    return aItem.first != mSelf && !listed.contains(aItem.first);
  });
  for (const auto& box : aBoxes) {
    mMembers.try_emplace(box);
  }
  std::erase_if(mProbeOrder,
                [&](const BoxName& aBox) { return !mMembers.contains(aBox); });
}

std::optional<BoxName>
Membership::UnreachedBox(std::uint64_t aRandom) const
{
  std::vector<BoxName> unreached;
  for (const auto& [box, member] : mMembers) {
    const bool gone = member.mState == MemberState::kDead ||
                      member.mState == MemberState::kLeaving;
    if (!member.mPathWorks && !gone) {
      unreached.push_back(box);
    }
  }
  if (unreached.empty()) {
    return std::nullopt;
  }
  return unreached[aRandom % unreached.size()];
}

std::vector<BoxName>
Membership::OthersOf(bool aPresentOnly) const
{
  std::vector<BoxName> others;
  for (const auto& [box, member] : mMembers) {
    const bool gone = member.mState == MemberState::kDead ||
                      member.mState == MemberState::kLeaving;
    if (box != mSelf && !(aPresentOnly && gone)) {
      others.push_back(box);
    }
  }
  return others;
}

std::vector<BoxName>
Membership::Neighbours() const
{
  const auto place = [](const BoxName& aBox) {
    const auto& name = aBox.Value();
    return std::pair(XXH64(name.data(), name.size(), kRingSeed), name);
  };
  auto ring = OthersOf(true);
  std::sort(
    ring.begin(), ring.end(), [&](const auto& aLeft, const auto& aRight) {
      return place(aLeft) < place(aRight);
    });
  const auto own = place(mSelf);
  const auto next =
    std::find_if(ring.begin(), ring.end(), [&](const auto& aBox) {
      return place(aBox) > own;
    });
  const auto first = static_cast<std::size_t>(next - ring.begin());
  std::vector<BoxName> neighbours;
  for (std::size_t step = 1; step <= ring.size(); step *= 2) {
    neighbours.push_back(ring[(first + step - 1) % ring.size()]);
  }
  return neighbours;
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
  const bool large = mMembers.size() > mOptions.mAllProbeUpTo;
  if (large && aRandom % mOptions.mOthersOneIn == 0) {
    const auto others = OthersOf(false);
    return others[(aRandom / mOptions.mOthersOneIn) % others.size()];
  }
  if (mProbeOrder.empty()) {
    const auto neighbours = large ? Neighbours() : OthersOf(false);
    mProbeOrder.assign(neighbours.begin(), neighbours.end());
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
  candidates.resize(std::min(candidates.size(), mOptions.mHelpers));
  return candidates;
}

void
Membership::MarkNews(Member& aMember) const
{
  const auto boxes = static_cast<double>(mMembers.size() + 1);
  aMember.mSpreadLeft =
    mOptions.mSpreadFactor * static_cast<int>(std::ceil(std::log2(boxes)));
}

void
Membership::MarkAlive(const BoxName& aBox, Incarnation aIncarnation, bool aPath)
{
  const auto it = mMembers.find(aBox);
  if (it == mMembers.end()) {
    return;
  }
  auto& member = it->second;
  member.mPathWorks = aPath;
  if (aIncarnation != member.mIncarnation) {
    // An answer is newer than any gossip: this life is the present one.
    member.mIncarnation = aIncarnation;
    member.mRefutation = 0;
    member.mState = MemberState::kAlive;
    MarkNews(member);
  } else if (member.mState == MemberState::kSuspect) {
    // Others stay wrong until the box itself refutes; see Spread.
    member.mState = MemberState::kAlive;
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
  it->second.mState = MemberState::kSuspect;
  it->second.mSuspectSince = aNow;
  it->second.mPathWorks = false;
  MarkNews(it->second);
  MarkUrgent(aBox);
}

void
Membership::MarkUrgent(const BoxName& aBox)
{
  mUrgent.insert(aBox);
}

std::vector<MemberUpdate>
Membership::TakeUrgent(std::size_t aMost)
{
  std::vector<MemberUpdate> updates;
  while (!mUrgent.empty() && updates.size() < aMost) {
    const auto box = *mUrgent.begin();
    mUrgent.erase(mUrgent.begin());
    if (const auto it = mMembers.find(box); it != mMembers.end()) {
      updates.push_back(ToUpdate(box, it->second));
    }
  }
  return updates;
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
  const bool overruling = aUpdate.mIncarnation == self.mIncarnation &&
                          aUpdate.mRefutation >= self.mRefutation;
  if (overruling) {
    self.mRefutation = aUpdate.mRefutation + 1;
  }
  if (aUpdate.mState != MemberState::kAlive) {
    MarkUrgent(mSelf);
  }
  // Also against old news: whoever spread it may never have heard the answer.
  MarkNews(self);
}

void
Membership::Take(const MemberUpdate& aUpdate, TimePoint aNow)
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
    // Somebody has reached it since. Whether this box can is for its requests
    // and its next probe to find out.
    member.mPathWorks = true;
  }
  member.mIncarnation = aUpdate.mIncarnation;
  member.mRefutation = aUpdate.mRefutation;
  member.mState = aUpdate.mState;
  member.mSuspectSince = aNow;
  MarkNews(member);
}

void
Membership::OnNewLife(const BoxName& aBox, Incarnation aIncarnation)
{
  const auto it = mMembers.find(aBox);
  if (aBox == mSelf || it == mMembers.end() ||
      aIncarnation <= it->second.mIncarnation) {
    return;
  }
  it->second = { .mIncarnation = aIncarnation };
}

void
Membership::OnUpdates(const std::vector<MemberUpdate>& aUpdates, TimePoint aNow)
{
  for (const auto& update : aUpdates) {
    Take(update, aNow);
  }
}

void
Membership::Leave()
{
  auto& self = mMembers[mSelf];
  self.mState = MemberState::kLeaving;
  MarkNews(self);
}

void
Membership::OnTick(TimePoint aNow)
{
  for (auto& [box, member] : mMembers) {
    if (member.mState == MemberState::kSuspect &&
        aNow - member.mSuspectSince >= mOptions.mSuspectTime) {
      member.mState = MemberState::kDead;
      MarkNews(member);
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
  // The least spread news first.
  std::vector<std::map<BoxName, Member>::iterator> news;
  for (auto it = mMembers.begin(); it != mMembers.end(); ++it) {
    if (it->second.mSpreadLeft > 0 && it->first != aTo) {
      news.push_back(it);
    }
  }
  std::stable_sort(news.begin(), news.end(), [](auto aLeft, auto aRight) {
    return aLeft->second.mSpreadLeft > aRight->second.mSpreadLeft;
  });
  for (const auto& it : news) {
    if (updates.size() >= mOptions.mUpdatesPerMessage) {
      break;
    }
    updates.push_back(ToUpdate(it->first, it->second));
    --it->second.mSpreadLeft;
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
Membership::LifeOf(const BoxName& aBox) const
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
Membership::WorthSending(const BoxName& aBox) const
{
  return StateOf(aBox) == MemberState::kAlive && PathWorks(aBox);
}

std::vector<BoxName>
Membership::NotWorthSending() const
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
    if (member.mState == MemberState::kAlive ||
        member.mState == MemberState::kSuspect) {
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
