#include "porttiller/control/MembershipController.h"

#include "porttiller/control/ControlCodec.h"
#include "porttiller/hop/Random.h"
#include "porttiller/telemetry/Log.h"

#include <algorithm>
#include <atomic>
#include <random>

namespace porttiller {

namespace {

constexpr std::size_t kLeaveNotices = 5; // boxes notified directly
// Updates that affect routing reach the whole fleet in a few hops: they are
// sent to each zone, and a box to which one is new forwards it.
constexpr GossipFanout kUrgentFanout{ .mOwnZone = 3, .mPerOtherZone = 1 };
// Updates in one message: those of 120 boxes that are cut off at once then fit
// into a few messages of 2 KB.
constexpr std::size_t kMaxUrgentUpdates = 32;
constexpr Millis kMinUrgentInterval{ 200 };

// Collects the replies of the helpers of an indirect probe; the first success
// or the last reply decides.
struct IndirectRound
{
  std::atomic<int> mOpen{ 0 };
  std::atomic<bool> mReached{ false };
};

// Message is a probe or a probe reply.
template<typename Message>
PeerRevision
RevisionOf(const Message& aMessage)
{
  return { .mRevision = aMessage.revision(),
           .mDigest = aMessage.digest(),
           .mDirectory = aMessage.directory(),
           .mCrashes = aMessage.crashes() };
}

template<typename Message>
void
SetRevision(const PeerRevision& aOwn, Message& aMessage)
{
  aMessage.set_revision(aOwn.mRevision);
  aMessage.set_digest(aOwn.mDigest);
  aMessage.set_directory(aOwn.mDirectory);
  aMessage.set_crashes(aOwn.mCrashes);
}

} // namespace

MembershipController::MembershipController(const Settings& aSettings,
                                           Incarnation aIncarnation,
                                           PeerTransport& aTransport,
                                           EntryView& aView,
                                           MembershipHooks aHooks)
  : mSettings(aSettings)
  , mTransport(aTransport)
  , mView(aView)
  , mHooks(std::move(aHooks))
  , mMembership(aSettings.mBox, aIncarnation)
  , mOverlay(aSettings.mBox, aSettings.mZone)
{
}

void
MembershipController::Start()
{
  mTicker = std::make_unique<Ticker>(mSettings.mTiming.mProbeInterval,
                                     [this] { Tick(); });
}

void
MembershipController::Stop()
{
  mTicker.reset();
}

void
MembershipController::Apply(const SnapshotPtr& aSnapshot)
{
  std::vector<BoxName> boxes;
  for (const auto& [name, spec] : aSnapshot->mBoxes) {
    boxes.push_back(name);
  }
  const std::lock_guard lock(mMutex);
  mSnapshot = aSnapshot;
  mOverlayStale = true;
  mMembership.SetBoxes(boxes);
  for (const auto& [box, incarnation] : aSnapshot->mIncarnations) {
    mMembership.OnNewIncarnation(box, incarnation);
  }
}

std::optional<BoxSpec>
MembershipController::SpecOf(const BoxName& aBox) const
{
  const std::lock_guard lock(mMutex);
  const auto* spec = mSnapshot ? mSnapshot->FindBox(aBox) : nullptr;
  return spec == nullptr ? std::nullopt : std::optional(*spec);
}

void
MembershipController::Tick()
{
  {
    const std::lock_guard lock(mMutex);
    mMembership.OnTick(Now());
  }
  SendUrgentUpdates();
  UpdateUsableBoxes();
  ProbeNext();
}

// Updates within kMinUrgentInterval after the last message wait for the next
// update or tick. A suspect is notified of its own suspicion, so that it can
// refute it.
void
MembershipController::SendUrgentUpdates()
{
  std::vector<MemberUpdate> updates;
  {
    const std::lock_guard lock(mMutex);
    if (Now() < mNextUrgentSend) {
      return;
    }
    updates = mMembership.TakeUrgent(kMaxUrgentUpdates);
    if (updates.empty()) {
      return;
    }
    mNextUrgentSend = Now() + kMinUrgentInterval;
  }
  const auto message = MakeProbe(updates);
  for (const auto& peer : SpreadPeers(kUrgentFanout)) {
    mTransport.SendOneWay(peer.mControlAddress, message);
  }
  for (const auto& update : updates) {
    const auto spec = SpecOf(update.mBox);
    if (update.mState == MemberState::kSuspect && spec) {
      mTransport.SendOneWay(spec->mControlAddress, message);
    }
    LogLine(LogLevel::kInfo, "box_state")
      .With("of", update.mBox.Value())
      .With("state", ToText(update.mState))
      .With("incarnation", std::to_string(update.mIncarnation.Value()));
  }
  UpdateUsableBoxes();
}

// The entry avoids boxes that are dead, leaving or suspected, and those that
// this box cannot reach. Only changes are passed on: of 353 boxes few change in
// a second.
void
MembershipController::UpdateUsableBoxes()
{
  const std::lock_guard refreshLock(mRefreshMutex);
  std::set<BoxName> avoided;
  {
    const std::lock_guard lock(mMutex);
    for (auto& box : mMembership.NonRoutableBoxes()) {
      avoided.insert(std::move(box));
    }
  }
  avoided.erase(mSettings.mBox);
  for (const auto& box : avoided) {
    if (!mAvoided.contains(box)) {
      mView.SetBoxUsable(box, false);
    }
  }
  for (const auto& box : mAvoided) {
    if (!avoided.contains(box)) {
      mView.SetBoxUsable(box, true);
    }
  }
  mAvoided = std::move(avoided);
}

void
MembershipController::ProbeNext()
{
  std::optional<BoxName> next;
  {
    const std::lock_guard lock(mMutex);
    next = mMembership.NextProbe(Random());
  }
  if (next) {
    if (const auto spec = SpecOf(*next)) {
      ProbeBox(*spec);
    }
  }
}

wire::Envelope
MembershipController::MakeProbe(const std::vector<MemberUpdate>& aUpdates) const
{
  wire::Envelope envelope;
  auto* probe = envelope.mutable_probe();
  SetRevision(mHooks.mOwnRevision(), *probe);
  EncodeMembers(aUpdates, *probe->mutable_members());
  return envelope;
}

std::vector<MemberUpdate>
MembershipController::UpdatesFor(const BoxName& aBox)
{
  const std::lock_guard lock(mMutex);
  return mMembership.Spread(aBox);
}

void
MembershipController::ProbeBox(const BoxSpec& aBox)
{
  mTransport.Send(
    aBox.mControlAddress,
    MakeProbe(UpdatesFor(aBox.mName)),
    mSettings.mTiming.mProbeTimeout,
    [this, aBox](const PeerResult& aResult) { OnProbeResult(aBox, aResult); });
}

void
MembershipController::ApplyUpdates(
  const google::protobuf::RepeatedPtrField<wire::Member>& aMembers)
{
  const auto updates = DecodeMembers(aMembers);
  {
    const std::lock_guard lock(mMutex);
    mMembership.OnUpdates(updates, Now());
  }
  SendUrgentUpdates();
}

void
MembershipController::ReportPeerRevision(const std::string& aFromBox,
                                         const PeerRevision& aRevision)
{
  if (const auto spec = SpecOf(BoxName(aFromBox))) {
    auto revision = aRevision;
    revision.mAddress = spec->mControlAddress;
    mHooks.mOnPeerRevision(revision);
  }
}

void
MembershipController::OnProbeResult(const BoxSpec& aBox,
                                    const PeerResult& aResult)
{
  if (!aResult || !aResult->has_probe_reply()) {
    SendIndirectProbes(aBox);
    return;
  }
  const auto& reply = aResult->probe_reply();
  {
    const std::lock_guard lock(mMutex);
    mMembership.OnReached(aBox.mName, Incarnation(aResult->from_incarnation()));
  }
  ApplyUpdates(reply.members());
  ReportPeerRevision(aBox.mName.Value(), RevisionOf(reply));
}

void
MembershipController::SendIndirectProbes(const BoxSpec& aBox)
{
  std::vector<BoxName> helpers;
  {
    const std::lock_guard lock(mMutex);
    helpers = mMembership.Helpers(aBox.mName, Random());
  }
  auto round = std::make_shared<IndirectRound>();
  round->mOpen = static_cast<int>(helpers.size());
  const auto finish = [this, aBox, round](const PeerResult& aResult) {
    const bool reached = aResult && aResult->has_probe_reply() &&
                         aResult->probe_reply().target_alive();
    {
      const std::lock_guard lock(mMutex);
      if (reached && !round->mReached.exchange(true)) {
        mMembership.OnReachedByOthers(
          aBox.mName, Incarnation(aResult->probe_reply().target_incarnation()));
      }
      if (--round->mOpen <= 0 && !round->mReached) {
        mMembership.OnNotReached(aBox.mName, Now());
      }
    }
    SendUrgentUpdates();
  };
  if (helpers.empty()) {
    finish(tl::make_unexpected(PeerError{}));
    return;
  }
  wire::Envelope request;
  request.mutable_indirect_probe()->set_box(aBox.mName.Value());
  for (const auto& helper : helpers) {
    const auto spec = SpecOf(helper);
    if (!spec) {
      finish(tl::make_unexpected(PeerError{}));
      continue;
    }
    mTransport.Send(spec->mControlAddress,
                    request,
                    2 * mSettings.mTiming.mProbeTimeout,
                    finish);
  }
}

std::optional<wire::Envelope>
MembershipController::OnProbe(const wire::Envelope& aRequest)
{
  const auto& probe = aRequest.probe();
  ApplyUpdates(probe.members());
  ReportPeerRevision(aRequest.from_box(), RevisionOf(probe));
  if (aRequest.correlation() == 0) {
    return std::nullopt; // sent without expecting a reply
  }
  const auto own = mHooks.mOwnRevision();
  wire::Envelope envelope;
  auto* reply = envelope.mutable_probe_reply();
  SetRevision(own, *reply);
  EncodeMembers(UpdatesFor(BoxName(aRequest.from_box())),
                *reply->mutable_members());
  return envelope;
}

void
MembershipController::OnIndirectProbe(const wire::Envelope& aRequest,
                                      const PeerReplier& aReply)
{
  const auto spec = SpecOf(BoxName(aRequest.indirect_probe().box()));
  if (!spec) {
    wire::Envelope unknown;
    unknown.mutable_probe_reply();
    aReply(unknown);
    return;
  }
  mTransport.Send(spec->mControlAddress,
                  MakeProbe(UpdatesFor(spec->mName)),
                  mSettings.mTiming.mProbeTimeout,
                  [aReply](const PeerResult& aResult) {
                    wire::Envelope envelope;
                    auto* reply = envelope.mutable_probe_reply();
                    if (aResult) {
                      reply->set_target_alive(true);
                      reply->set_target_incarnation(
                        aResult->from_incarnation());
                    }
                    aReply(envelope);
                  });
}

void
MembershipController::Leave()
{
  {
    const std::lock_guard lock(mMutex);
    mMembership.Leave();
  }
  for (const auto& peer : RandomPeers(kLeaveNotices)) {
    ProbeBox(peer);
  }
}

bool
MembershipController::IsUnavailable(const BoxName& aBox) const
{
  const std::lock_guard lock(mMutex);
  const auto* spec = mSnapshot ? mSnapshot->FindBox(aBox) : nullptr;
  if (spec == nullptr || spec->mState == BoxState::kLeaving) {
    return true;
  }
  const auto state = mMembership.StateOf(aBox);
  return state == MemberState::kDead || state == MemberState::kLeaving ||
         state == MemberState::kSuspect;
}

std::vector<BoxName>
MembershipController::LiveBoxes() const
{
  const std::lock_guard lock(mMutex);
  return mMembership.LiveBoxes();
}

std::vector<const BoxSpec*>
MembershipController::LivePeers() const
{
  std::vector<const BoxSpec*> peers;
  for (const auto& box : mMembership.LiveBoxes()) {
    const auto* spec = mSnapshot->FindBox(box);
    if (spec != nullptr && box != mSettings.mBox) {
      peers.push_back(spec);
    }
  }
  return peers;
}

void
MembershipController::RefreshOverlay()
{
  if (!mOverlayStale && mOverlayLiveSerial == mMembership.LiveSerial()) {
    return;
  }
  std::vector<OverlayBox> boxes;
  for (const auto* peer : LivePeers()) {
    boxes.push_back({ .mName = peer->mName, .mZone = peer->mZone });
  }
  mOverlay.SetBoxes(boxes);
  mOverlayStale = false;
  mOverlayLiveSerial = mMembership.LiveSerial();
}

std::vector<BoxSpec>
MembershipController::SpreadPeers(const GossipFanout& aFanout)
{
  std::vector<BoxSpec> peers;
  const std::lock_guard lock(mMutex);
  if (!mSnapshot) {
    return peers;
  }
  RefreshOverlay();
  for (const auto& box : mOverlay.Receivers(aFanout, Random())) {
    peers.push_back(*mSnapshot->FindBox(box));
  }
  return peers;
}

std::vector<BoxSpec>
MembershipController::RandomPeers(std::size_t aCount) const
{
  std::vector<BoxSpec> peers;
  const std::lock_guard lock(mMutex);
  if (!mSnapshot) {
    return peers;
  }
  auto live = LivePeers();
  std::mt19937_64 generator(Random());
  std::shuffle(live.begin(), live.end(), generator);
  live.resize(std::min(live.size(), aCount));
  for (const auto* peer : live) {
    peers.push_back(*peer);
  }
  return peers;
}

std::string
MembershipController::Dump() const
{
  const std::lock_guard lock(mMutex);
  return mMembership.Dump();
}

} // namespace porttiller
