// Exchanges crash records with other boxes. A home reports each crash to a few
// boxes that the request's digest selects, which join the crashes of a request;
// a record with two crashes or more is spread to all boxes. Probes carry a
// digest of the records, so that boxes that missed some ask for them. The first
// of the joining boxes keeps a quarantined request in the platform's store.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/config/Snapshot.h"
#include "porttiller/control/CrashStore.h"
#include "porttiller/control/MembershipController.h"
#include "porttiller/control/Worker.h"
#include "porttiller/hop/CrashMonitor.h"
#include "porttiller/peer/PeerTransport.h"
#include "porttiller/policy/GossipFanout.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace porttiller {

struct CrashPeers
{
  std::function<std::vector<BoxName>()> mLiveBoxes;
  std::function<std::vector<BoxSpec>(const GossipFanout&)> mSpreadPeers;
  std::function<SnapshotPtr()> mSnapshot;
  std::function<void()> mRecheckServers; // see LocalServer::RecheckCrash
};

// Owned by the node. Thread-safe.
class CrashController
{
public:
  CrashController(const Settings& aSettings,
                  PeerTransport& aTransport,
                  CrashMonitor& aMonitor,
                  CrashPeers aPeers);

  void Start();
  void Stop();

  // Handlers of peers' messages.
  void OnReport(const wire::CrashReport& aReport);
  wire::Envelope OnRequest() const;
  // From a peer's probe or its reply.
  void OnPeerRevision(const PeerRevision& aPeer);

private:
  void Tick();
  void SendReports();
  void SpreadChanges();
  void Request(const std::string& aAddress);
  void ReadStored(int aTriesLeft);
  void StoreOwned(const std::vector<CrashRecord>& aRecords);
  // Brings the stored record of a request up to date; repeats that later if the
  // store does not take it.
  void Store(const CrashRecord& aRecord);
  void StoreAgain();

  const Settings& mSettings;
  PeerTransport& mTransport;
  CrashMonitor& mMonitor;
  const CrashPeers mPeers;
  TimePoint mNextSpread; // used by mTicker alone
  TimePoint mNextDrop;   // used by mTicker alone
  std::mutex mMutex;
  TimePoint mNextRequest;    // under mMutex
  TimePoint mDifferingSince; // from all peers' digests; under mMutex
  bool mDiffers = false;     // under mMutex
  CrashStore mStore;         // used by mWorker alone
  // Requests whose records the store has not taken yet; used by mWorker alone.
  std::map<RequestDigest, CrashRecord> mToStore;
  Worker mWorker;
  std::unique_ptr<Ticker> mTicker;
};

} // namespace porttiller
