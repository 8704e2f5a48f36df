// Discovers boxes and backend servers that no operator lists. Each box writes a
// record of itself and its server to the platform's store when it changes, and
// sends it to peers, which forward it. A box reads the store when it starts;
// after that, digests on membership probes reveal records that were lost.
#pragma once

#include "porttiller/config/Directory.h"
#include "porttiller/config/OwnBoxRecord.h"
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
  // The directory changed. Never called concurrently or under mMutex.
  std::function<void(std::vector<BoxRecord>)> mOnChange;
  // This box's server accepts no new requests from now on; called before its
  // message is acknowledged.
  std::function<void(const ServerIncarnation&)> mOnServerLeaving;
  std::function<std::vector<BoxSpec>(std::size_t)> mRandomPeers;
  std::function<std::vector<BoxSpec>(const GossipFanout&)> mSpreadPeers;
  // Reports objects that were skipped as unreadable.
  UnreadableListener mOnUnreadable = [](const auto&) {};
  // The path of the health check of a service's servers; empty if there is none
  // or the configuration is not known yet.
  std::function<std::string(const ServiceName&)> mHealthPath = [](const auto&) {
    return std::string();
  };
  // Whether this box is the one of its zone that lists the store periodically.
  std::function<bool()> mShouldListRecords = [] { return false; };
};

// Why a server's message is not acknowledged.
enum class RegistrationError
{
  kStarting,  // this box's record from before its restart is not loaded yet
  kNotStored, // neither the store nor a peer confirmed the record
  kForeign    // it is not from the server in use
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
  // Sends peers a record that marks this box as leaving.
  void Leave();

  // Handles a message of this box's server. Returns once the message may be
  // acknowledged: if it says that the server leaves, the store or a peer holds
  // that from then on.
  tl::expected<void, RegistrationError> Take(const ServerMessage& aMessage);

  // The answers of this box's server say that it is leaving, whatever it sends.
  // Does not block.
  void OnServerSaysLeaving(const ServerIncarnation& aServer);

  // Handlers of peers' messages.
  // Returns false if the records can't be taken now.
  bool OnRecords(const wire::BoxRecords& aMessage);
  wire::Envelope OnDirectoryRequest(const wire::DirectoryRequest& aRequest);
  wire::Envelope OnDirectoryExchange(const wire::DirectoryExchange& aMessage);
  // Compares records with the peer if the digests have differed for a while.
  // Does not block.
  void OnPeerDigest(const PeerRevision& aPeer);

  std::uint64_t Digest() const;
  // True once the records of earlier incarnations and of other boxes are loaded
  // from the store or peers, or kMaxLoadWait has passed without an answer.
  bool Usable() const;

private:
  static constexpr int kMaxHealthChecks = 12; // of one process

  void Run();
  bool LoadFromStore();
  bool ReadOwn();
  bool ReadList();
  bool WaitForPeerRecords();
  void KeepUpToDate();
  bool WriteOwn(bool aForAck);
  void QuerySeeds();
  void QuerySeedsForOwn();
  bool IsConfirmDue() const;
  void ConfirmServer();
  void WaitForServer();
  static std::uint64_t WallClockMicros();
  void OnOwnChanged();
  bool LearnOwn(const BoxRecord& aHeld, const char* aSource);
  void LogOwnRecord(const BoxRecord& aHeld,
                    const char* aSource,
                    bool aChanged) const;
  void AnnounceOwn(const BoxRecord& aOwn);
  void Merge(const std::vector<BoxRecord>& aRecords, const char* aSource);
  void Publish();
  // Schedules one batch that publishes and forwards all changes until then.
  void ScheduleBatch();
  void PublishBatch();
  void Push(const std::vector<BoxRecord>& aRecords,
            const GossipFanout& aFanout);
  void PushOwn(const BoxRecord& aOwn);
  // Requests all records that are newer at a peer, and sends those it lacks.
  void Request(const std::string& aAddress);
  // Finds the records in which this box and a peer differ, and exchanges them.
  void Exchange(const std::string& aAddress);
  void SendExchange(const std::string& aAddress,
                    const DirectoryExchange& aExchange,
                    int aMessagesLeft);
  void OnExchangeReply(const std::string& aAddress,
                       const wire::DirectoryExchange& aReply,
                       int aMessagesLeft);
  // Merges the records of a peer's message and returns the answer to it.
  DirectoryExchange AnswerExchange(const wire::DirectoryExchange& aMessage);
  std::size_t StoreAtPeers(const BoxRecord& aRecord);
  bool StoreDurably(const BoxRecord& aRecord);
  void Sleep(Millis aTime);
  void LogServerMessage(const ServerMessage& aMessage,
                        RegistrarVerdict aVerdict);

  const Settings& mSettings;
  PeerTransport& mTransport;
  const DirectoryHooks mHooks;
  mutable std::mutex mMutex;
  std::condition_variable mWake;
  Directory mDirectory; // under mMutex
  OwnBoxRecord mOwn;    // under mMutex
  // When the next health check of an unconfirmed server is due, and how many
  // are left; under mMutex.
  TimePoint mNextConfirm;
  int mChecksLeft = kMaxHealthChecks;
  // Digest of a peer that differed, 0: none; under mMutex, as the next two.
  std::uint64_t mDifferingDigest = 0;
  TimePoint mDifferingSince;
  TimePoint mNextRequest;
  bool mServerMessageSeen = false; // under mMutex
  // A peer has sent a record of another box; under mMutex.
  bool mLearnedFromPeer = false;
  Batcher mBatcher; // under mMutex
  // Newer records from peers, forwarded with the next batch; under mMutex.
  std::map<BoxName, BoxRecord> mToForward;
  std::mutex mPublishMutex;     // serializes calls of mOnChange
  std::timed_mutex mWriteMutex; // serializes writes of the own record
  const TimePoint mStarted;
  std::atomic<bool> mLoaded{ false };
  std::atomic<bool> mStop{ false };
  BoxRecordStore mStore;
  Worker mWorker; // applies peers' records
  std::thread mThread;
};

} // namespace porttiller
