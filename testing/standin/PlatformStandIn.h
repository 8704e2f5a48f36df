// Stands in for the platform: the HTTP object API with versions, conditional
// updates and watches, kept in memory, with faults to switch on.
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

  // Faults.
  void SetDown(bool aDown);
  void SetSlow(Millis aDelay) { mSlow = aDelay.count(); }
  // The next aCount writes take effect and lose their answer.
  void LoseWriteAnswers(int aCount) { mLoseAnswers = aCount; }
  // The next aCount writes are lost before they take effect.
  void LoseWrites(int aCount) { mLoseWrites = aCount; }

  // Writes as an operator would, without the API. Returns the version.
  std::uint64_t Put(const ObjectKey& aKey, const std::string& aSpec);
  void Remove(const ObjectKey& aKey);
  // The spec, or "" when there is none.
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
  std::atomic<std::int64_t> mSlow{ 0 };
  std::atomic<int> mLoseAnswers{ 0 };
  std::atomic<int> mLoseWrites{ 0 };
  std::atomic<std::uint64_t> mCalls{ 0 };
  std::atomic<std::uint64_t> mWrites{ 0 };
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mRevision = 0;
  std::map<ObjectKey, Object> mObjects;
  std::vector<Object> mLog;
  std::unique_ptr<HttpStandIn> mServer;
};

} // namespace porttiller::standin
