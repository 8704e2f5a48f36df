// Probes other boxes and maintains this node's view of their states.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/config/Snapshot.h"
#include "porttiller/control/Worker.h"
#include "porttiller/entry/EntryView.h"
#include "porttiller/peer/PeerTransport.h"
#include "porttiller/policy/GossipOverlay.h"
#include "porttiller/policy/Membership.h"

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace porttiller {

// A peer's revision and digests, carried by its probes and replies.
struct PeerRevision
{
  std::string mAddress; // its control address
  std::uint64_t mRevision = 0;
  std::uint64_t mDigest = 0;
  std::uint64_t mDirectory = 0; // digest of all box records
  std::uint64_t mCrashes = 0;   // digest of its crash records
};

struct MembershipHooks
{
  // This node's revision and digests.
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
  // Notifies a few boxes that this one is leaving; gossip informs the others.
  void Leave();

  // Handlers of peers' messages. OnProbe returns null if no reply is expected.
  std::optional<wire::Envelope> OnProbe(const wire::Envelope& aRequest);
  void OnIndirectProbe(const wire::Envelope& aRequest,
                       const PeerReplier& aReply);

  // Dead, suspected, leaving or not in the current snapshot.
  bool IsUnavailable(const BoxName& aBox) const;
  std::vector<BoxName> LiveBoxes() const;
  // Up to aCount random live boxes other than this one, with their addresses.
  std::vector<BoxSpec> RandomPeers(std::size_t aCount) const;
  // The receivers of a message to be gossiped, from the overlay of live boxes.
  std::vector<BoxSpec> SpreadPeers(const GossipFanout& aFanout);
  std::string Dump() const;

private:
  void Tick();
  void ProbeNext();
  void ProbeBox(const BoxSpec& aBox);
  void OnProbeResult(const BoxSpec& aBox, const PeerResult& aResult);
  void SendIndirectProbes(const BoxSpec& aBox);
  void ApplyUpdates(
    const google::protobuf::RepeatedPtrField<wire::Member>& aMembers);
  wire::Envelope MakeProbe(const std::vector<MemberUpdate>& aUpdates) const;
  std::vector<MemberUpdate> UpdatesFor(const BoxName& aBox);
  void ReportPeerRevision(const std::string& aFromBox,
                          const PeerRevision& aRevision);
  std::optional<BoxSpec> SpecOf(const BoxName& aBox) const;
  void UpdateUsableBoxes();
  void SendUrgentUpdates();
  // The other live boxes. Under mMutex, with a snapshot.
  std::vector<const BoxSpec*> LivePeers() const;
  // Brings mOverlay up to date. Under mMutex, with a snapshot.
  void RefreshOverlay();

  const Settings& mSettings;
  PeerTransport& mTransport;
  EntryView& mView;
  const MembershipHooks mHooks;
  mutable std::mutex mMutex;
  Membership mMembership;               // under mMutex
  TimePoint mNextUrgentSend;            // under mMutex
  SnapshotPtr mSnapshot;                // under mMutex
  GossipOverlay mOverlay;               // under mMutex
  bool mOverlayStale = true;            // mSnapshot has changed; under mMutex
  std::uint64_t mOverlayLiveSerial = 0; // under mMutex
  std::mutex mRefreshMutex;
  std::set<BoxName> mAvoided; // unusable in mView; under mRefreshMutex
  std::unique_ptr<Ticker> mTicker;
};

} // namespace porttiller
