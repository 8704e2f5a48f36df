// Probes the other boxes and keeps what this node believes of them.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/config/Snapshot.h"
#include "porttiller/control/Worker.h"
#include "porttiller/entry/EntryView.h"
#include "porttiller/peer/PeerTransport.h"
#include "porttiller/policy/Membership.h"
#include "porttiller/policy/Spread.h"

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace porttiller {

// A peer's configuration revision, as its probes and replies carry it.
struct PeerRevision
{
  std::string mAddress; // its control address
  std::uint64_t mRevision = 0;
  std::uint64_t mDigest = 0;
  std::uint64_t mDirectory = 0; // digest of the records of all boxes
};

struct MembershipHooks
{
  // This node's own revision and digest.
  std::function<PeerRevision()> mOwnRevision;
  std::function<void(const PeerRevision&)> mOnPeerRevision;
};

// Owned by the node. Thread-safe.
class MembershipController
{
public:
  MembershipController(const Settings& aSettings,
                       Incarnation aIncarnation,
                       PeerTransport& aTransport,
                       EntryView& aView,
                       MembershipHooks aHooks);

  void Start();
  // Stops probing.
  void Stop();
  void Apply(const SnapshotPtr& aSnapshot);
  // Tells a few boxes at once that this one leaves, and the rest by gossip.
  void Leave();

  // Handlers of peers' messages.
  // Null for a message that asks for no reply.
  std::optional<wire::Envelope> OnProbe(const wire::Envelope& aRequest);
  void OnIndirectProbe(const wire::Envelope& aRequest,
                       const PeerReplier& aReply);

  // Dead, leaving or not listed.
  bool IsGone(const BoxName& aBox) const;
  std::vector<BoxName> LiveBoxes() const;
  // Up to aCount random live boxes but this one, with their addresses.
  std::vector<BoxSpec> RandomPeers(std::size_t aCount) const;
  // As many live boxes of this one's zone and of each other zone.
  std::vector<BoxSpec> SpreadPeers(const SpreadOptions& aOptions) const;
  std::string Dump() const;

private:
  void Tick();
  void ProbeNext();
  void ProbeBox(const BoxSpec& aBox);
  void OnProbed(const BoxSpec& aBox, const PeerResult& aResult);
  void AskHelpers(const BoxSpec& aBox);
  void TakeBeliefs(
    const google::protobuf::RepeatedPtrField<wire::Member>& aMembers);
  wire::Envelope MakeProbe(const std::vector<MemberUpdate>& aUpdates) const;
  std::vector<MemberUpdate> NewsFor(const BoxName& aBox);
  void NoteRevision(const std::string& aFromBox, const PeerRevision& aRevision);
  std::optional<BoxSpec> SpecOf(const BoxName& aBox) const;
  void RefreshUsable();
  void TellUrgent();
  std::vector<const BoxSpec*> LivePeers(const Snapshot& aSnapshot) const;
  SnapshotPtr CurrentSnapshot() const;

  const Settings& mSettings;
  PeerTransport& mTransport;
  EntryView& mView;
  const MembershipHooks mHooks;
  mutable std::mutex mMutex;
  Membership mMembership; // under mMutex
  TimePoint mNextUrgent;  // under mMutex
  SnapshotPtr mSnapshot;  // under mMutex
  std::mutex mRefreshMutex;
  std::set<BoxName> mAvoided; // the view was told; under mRefreshMutex
  std::unique_ptr<Ticker> mTicker;
};

} // namespace porttiller
