// An in-memory test double of the object store: objects by kind and name with
// one revision counter, paged lists, watches, conditional writes and injected
// faults.
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

  // While down, every call is answered with 503. Pending watches return at
  // once.
  void SetDown(bool aDown);
  // The next aCount writes take effect, but their responses are lost.
  void LoseWriteAnswers(int aCount) { mLoseAnswers = aCount; }
  // Called after each page of a list has been read and before it is sent.
  void OnPage(std::function<void()> aHook) { mOnPage = std::move(aHook); }
  // While muted, watches report no changes: they end after their time with the
  // store's revision, as if nothing had changed.
  void MuteWatches(bool aMute) { mMute = aMute; }
  // Closes the connections of pending watches without an answer.
  void CutWatches();
  // Watches from an earlier revision than the current one get 410 from now on.
  void CompactHistory();

  // Writes an object without the HTTP API, as an operator. Returns the
  // revision.
  std::uint64_t Put(const ObjectKey& aKey, const std::string& aSpec);
  // The spec, or "" if the object does not exist.
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
  // Watches do not report it.
  Reply Remove(const ObjectKey& aKey, std::uint64_t aVersion);
  std::uint64_t PutLocked(const ObjectKey& aKey, const std::string& aSpec);
  std::string ObjectJson(const Object& aObject) const;

  std::atomic<bool> mDown{ false };
  std::atomic<bool> mMute{ false };
  std::atomic<int> mLoseAnswers{ 0 };
  std::atomic<std::uint64_t> mCalls{ 0 };
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mCuts = 0; // calls of CutWatches
  std::uint64_t mRevision = 0;
  // Changes up to this revision can no longer be watched.
  std::uint64_t mCompactedRevision = 0;
  std::map<ObjectKey, Object> mObjects;
  std::function<void()> mOnPage;
  std::unique_ptr<HttpStandIn> mServer;
};

} // namespace porttiller::standin
