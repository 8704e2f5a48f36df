// Stands in for the store of the users' machines: objects by kind and name
// under one counter of revisions, lists, watches and conditional writes, kept
// in memory, with faults to switch on.
#pragma once

#include "porttiller/config/ObjectSet.h"
#include "porttiller/core/Time.h"
#include "standin/HttpStandIn.h"

#include <Poco/URI.h>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace porttiller::standin {

class ObjectStoreStandIn
{
public:
  explicit ObjectStoreStandIn(const std::string& aAddress);
  ~ObjectStoreStandIn();

  // Every call is refused with 503; waiting watches are cut.
  void SetDown(bool aDown);
  // The next aCount writes take effect and lose their answer.
  void LoseWriteAnswers(int aCount) { mLoseAnswers = aCount; }
  // Called behind each page of a list, before it is sent.
  void OnPage(std::function<void()> aHook) { mOnPage = std::move(aHook); }
  // Watches from before now get 410.
  void ForgetHistory();

  // Writes as the operator would. Returns the revision.
  std::uint64_t Put(const ObjectKey& aKey, const std::string& aSpec);
  // The spec, or "" when there is none.
  std::string SpecOf(const ObjectKey& aKey) const;
  std::size_t Count(const std::string& aKind) const;
  std::uint64_t Calls() const { return mCalls; }

private:
  struct Reply
  {
    int mStatus = 200;
    std::string mBody;
  };

  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse);
  Reply Answer(const std::string& aMethod,
               const std::string& aUri,
               const std::string& aBody);
  Reply Read(const ObjectKey& aKey) const;
  Reply List(const std::string& aKind, const std::string& aAfter) const;
  Reply ListPage(const std::string& aKind, const std::string& aAfter) const;
  Reply Watch(const std::string& aKind, std::uint64_t aFrom, Millis aWait);
  Reply Create(const std::string& aKind, const std::string& aBody);
  Reply Replace(const ObjectKey& aKey, const std::string& aBody);
  std::uint64_t PutLocked(const ObjectKey& aKey, const std::string& aSpec);
  std::string TextOf(const Object& aObject) const;

  std::atomic<bool> mDown{ false };
  std::atomic<int> mLoseAnswers{ 0 };
  std::atomic<std::uint64_t> mCalls{ 0 };
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mRevision = 0;
  std::uint64_t mForgotten = 0; // changes up to here are not told any more
  std::map<ObjectKey, Object> mObjects;
  std::function<void()> mOnPage;
  std::unique_ptr<HttpStandIn> mServer;
};

} // namespace porttiller::standin
