// Which boxes and backend servers there are, where no operator lists them. Each
// box writes a record of itself and its server to the platform's store when it
// changes, and tells its peers; they pass it on. The store is read at the start
// of a box; after that digests on membership's probes find what got lost.
#pragma once

#include "porttiller/config/Directory.h"
#include "porttiller/config/Registrar.h"
#include "porttiller/config/Settings.h"
#include "porttiller/control/BoxRecordStore.h"
#include "porttiller/control/MembershipController.h"
#include "porttiller/control/Worker.h"
#include "porttiller/peer/PeerTransport.h"
#include "porttiller/policy/Batcher.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace porttiller {

struct DirectoryHooks
{
  // The directory changed. Called one at a time, without the lock.
  std::function<void(std::vector<BoxRecord>)> mOnChange;
  // The own server takes nothing new from now on; called before its message is
  // acknowledged.
  std::function<void(const ServerIncarnation&)> mOnServerLeaving;
  std::function<std::vector<BoxSpec>(std::size_t)> mRandomPeers;
  std::function<std::vector<BoxSpec>(const SpreadOptions&)> mSpreadPeers;
  // Objects that cannot be read and were left out.
  UnreadableListener mOnUnreadable = [](const auto&) {};
  // This box is the one of its zone that reads the store's list now and then.
  std::function<bool()> mReadsList = [] { return false; };
};

// Why a server's message is not acknowledged.
enum class RegistrationError
{
  kStarting, // what this box recorded before its restart is not known yet
  kNotKept,  // neither the store nor a peer holds it
  kForeign   // it is not of the server in use
};

const char*
ToText(RegistrationError aError);

// Owned by the node. Thread-safe.
class DirectoryController
{
public:
  DirectoryController(const Settings& aSettings,
                      Incarnation aIncarnation,
                      PeerTransport& aTransport,
                      DirectoryHooks aHooks);
  ~DirectoryController();

  void Start();
  void Stop();
  // This box leaves: its peers are told.
  void Leave();

  // A message of the server beside this box. Returns once it may be
  // acknowledged: what it says will then hold in a next life of this box, too.
  tl::expected<void, RegistrationError> Take(const ServerMessage& aMessage);

  // Peers' messages.
  void OnRecords(const wire::BoxRecords& aMessage);
  wire::Envelope OnDirectoryRequest(const wire::DirectoryRequest& aRequest);
  // A peer's digest: a lasting difference is asked about. Does not block.
  void OnPeerDigest(const PeerRevision& aPeer);

  std::uint64_t Digest() const;
  // What earlier lives and other boxes have told is known, from the store or
  // from peers, or neither has answered for long.
  bool Usable() const;

private:
  void Run();
  bool LoadFromStore();
  bool ReadOwn();
  bool ReadList();
  bool LearnFromPeers();
  void KeepUpToDate();
  bool WriteOwn(bool aForAck);
  void AskSeeds();
  void Adopt(const BoxRecord& aOwn);
  void RaiseOwn();
  void Merge(const std::vector<BoxRecord>& aRecords, const char* aSource);
  void Publish();
  // Publishes and passes on soon, together with what else comes until then.
  void PlanBatch();
  void PublishBatch();
  void Push(const std::vector<BoxRecord>& aRecords,
            const SpreadOptions& aSpread);
  void Request(const std::string& aAddress);
  bool KeepAtPeers(const BoxRecord& aRecord);
  bool Keep(const BoxRecord& aRecord);
  void Sleep(Millis aTime);
  void LogServer(const ServerMessage& aMessage, RegistrarVerdict aVerdict);

  const Settings& mSettings;
  PeerTransport& mTransport;
  const DirectoryHooks mHooks;
  mutable std::mutex mMutex;
  std::condition_variable mWake;
  Directory mDirectory;          // under mMutex
  Registrar mRegistrar;          // under mMutex
  BoxRecord mOwn;                // under mMutex
  std::uint64_t mWritten = 0;    // revision that the store holds; under mMutex
  std::uint64_t mPeerDigest = 0; // a difference seen once; under mMutex
  TimePoint mPeerDigestSince;
  TimePoint mNextRequest;
  bool mServerKnown = false; // under mMutex
  bool mHeardPeer = false;   // of other boxes, from one; under mMutex
  Batcher mBatcher;          // under mMutex
  // News that peers told, to be passed on with the next batch; under mMutex.
  std::map<BoxName, BoxRecord> mOnwards;
  std::mutex mPublishMutex; // one call of mOnChange at a time
  std::mutex mWriteMutex;   // one write of the own record at a time
  const TimePoint mStarted;
  std::atomic<bool> mLoaded{ false };
  std::atomic<bool> mStop{ false };
  BoxRecordStore mStore;
  Worker mWorker; // applies what peers send
  std::thread mThread;
};

} // namespace porttiller
