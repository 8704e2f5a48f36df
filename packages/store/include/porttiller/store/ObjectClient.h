// Client of the platform's object API over HTTP, in the dialect that the
// platform speaks.
#pragma once

#include "porttiller/config/ObjectSet.h"
#include "porttiller/core/Time.h"
#include "porttiller/platform/ObjectStoreDialect.h"
#include "porttiller/store/NativeDialect.h"
#include "porttiller/store/StoreError.h"

#include <Poco/Net/HTTPClientSession.h>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace porttiller {

using StoreDialect = std::variant<NativeDialect, platform::ObjectStoreDialect>;

struct ObjectClientOptions
{
  std::string mAddress; // "ip:port"
  Millis mTimeout{ 3000 };
  // A read over a kept connection that has no answer after this is made again
  // over a new one. Beside the time that it asks the store to wait.
  Millis mKeptPatience{ 500 };
  StoreDialect mDialect;
  // A kept connection failed a read after so long. Called by the thread that
  // reads.
  std::function<void(Millis aWaited, const std::string& aDetail)> mOnKeptFailed;
};

// One connection, kept open; each call may throw away a broken one. A device
// on the path may forget a connection without an end or a reset: only time
// tells. Every thread that talks to the platform owns its own client; only
// Abort may be called from another.
class ObjectClient
{
public:
  explicit ObjectClient(ObjectClientOptions aOptions);

  template<typename T>
  using Result = tl::expected<T, StoreError>;

  Result<Object> Get(const ObjectKey& aKey);
  // Every object of a kind, ordered by name, as a full delta at the store's
  // revision.
  Result<ObjectDelta> List(const std::string& aKind);
  // Waits up to aWait for changes of a kind after aFrom, a cursor of an
  // earlier answer. kConflict when the store no longer knows them: list again.
  Result<ObjectDelta> Watch(const std::string& aKind,
                            std::uint64_t aFrom,
                            Millis aWait);
  // The whole configuration, as a full delta at its revision.
  Result<ObjectDelta> ListConfiguration();
  // As Watch, for the configuration.
  Result<ObjectDelta> WatchConfiguration(std::uint64_t aFrom, Millis aWait);
  // Each write returns the new version.
  Result<std::uint64_t> Create(const ObjectKey& aKey, const std::string& aSpec);
  Result<std::uint64_t> Update(const ObjectKey& aKey,
                               std::uint64_t aVersion,
                               const std::string& aSpec);
  Result<std::uint64_t> Delete(const ObjectKey& aKey, std::uint64_t aVersion);

  // Ends the call that is being made, and every later one, as kUnavailable.
  void Abort();

private:
  // The answer's body. Waits aExtraWait longer than usual.
  Result<std::string> Send(const StoreCall& aCall,
                           Millis aExtraWait = Millis(0));
  // Over the connection that is there, or a new one.
  Result<std::string> SendOnce(const StoreCall& aCall, Millis aAnswerTime);
  bool IsKept();
  void Configure(Poco::Net::HTTPClientSession& aSession, Millis aAnswerTime);
  Result<std::uint64_t> Write(const StoreCall& aCall);
  Result<ObjectPage> ReadPage(const std::string& aKind,
                              const std::string& aAfter);

  Poco::Net::HTTPClientSession& Session();
  void DropSession();

  ObjectClientOptions mOptions;
  std::mutex mMutex;
  std::unique_ptr<Poco::Net::HTTPClientSession> mSession; // under mMutex
  bool mAborted = false;                                  // under mMutex
};

} // namespace porttiller
