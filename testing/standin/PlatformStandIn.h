// An in-memory test double of the platform: the HTTP object API with versions,
// conditional updates and watches, with injected faults.
#pragma once

#include "porttiller/config/ObjectSet.h"
#include "porttiller/core/Time.h"
#include "standin/HttpStandIn.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

namespace porttiller::standin {

class PlatformStandIn
{
public:
  explicit PlatformStandIn(const std::string& aAddress);
  ~PlatformStandIn();

  std::string Address() const { return mServer->Address(); }

  // Injected faults.
  void SetDown(bool aDown);
  void SetSlow(Millis aDelay) { mDelayMs = aDelay.count(); }
  // The next aCount writes take effect, but their responses are lost.
  void LoseWriteAnswers(int aCount) { mLoseAnswers = aCount; }
  // The next aCount writes have no effect, and their connections are closed.
  void LoseWrites(int aCount) { mLoseWrites = aCount; }

  // Writes an object without the HTTP API, as an operator. Returns the version.
  std::uint64_t Put(const ObjectKey& aKey, const std::string& aSpec);
  void Remove(const ObjectKey& aKey);
  // The spec, or "" if the object does not exist.
  std::string SpecOf(const ObjectKey& aKey) const;
  std::uint64_t Calls() const { return mCalls; }
  std::uint64_t Writes() const { return mWrites; }

private:
  struct Reply
  {
    int mStatus = 200;
    std::string mBody;
  };

  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse);
  void Control(Poco::Net::HTTPServerRequest& aRequest,
               Poco::Net::HTTPServerResponse& aResponse);
  Reply Read(const std::string& aUri) const;
  Reply Watch(const std::string& aUri);
  Reply WriteObject(const std::string& aMethod,
                    const ObjectKey& aKey,
                    std::uint64_t aIfVersion,
                    const std::string& aBody);
  std::uint64_t PutLocked(const ObjectKey& aKey,
                          bool aDeleted,
                          const std::string& aSpec);

  std::atomic<bool> mDown{ false };
  std::atomic<std::int64_t> mDelayMs{ 0 };
  std::atomic<int> mLoseAnswers{ 0 };
  std::atomic<int> mLoseWrites{ 0 };
  std::atomic<std::uint64_t> mCalls{ 0 };
  std::atomic<std::uint64_t> mWrites{ 0 };
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mRevision = 0;
  std::map<ObjectKey, Object> mObjects;
  std::vector<Object> mChanges;
  std::unique_ptr<HttpStandIn> mServer;
};

} // namespace porttiller::standin
