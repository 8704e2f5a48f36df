// Client of the platform's object API over HTTP, in the dialect that the
// platform uses.
#pragma once

#include "porttiller/config/ObjectSet.h"
#include "porttiller/core/Time.h"
#include "porttiller/http/HttpPool.h"
#include "porttiller/platform/ObjectStoreDialect.h"
#include "porttiller/store/NativeDialect.h"
#include "porttiller/store/StoreError.h"

#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace porttiller {

using StoreDialect = std::variant<NativeDialect, platform::ObjectStoreDialect>;

struct ObjectClientOptions
{
  std::string mAddress; // "ip:port"
  // To connect, to send, and then to wait for each part of an answer.
  Millis mTimeout{ 3000 };
  // A read over a reused connection that has no answer after this is sent again
  // over a new one. A watch gets the time of its long poll in addition.
  Millis mReusedReadTimeout{ 500 };
  StoreDialect mDialect;
  // Whether a watch that fails over a reused connection is sent again over a
  // new one, as other reads are; otherwise its error is returned.
  bool mRepeatWatches = true;
  // A read over a reused connection failed after aWaited and is sent again,
  // unless it is a watch and mRepeatWatches is false.
  // Called on the reading thread.
  std::function<void(Millis aWaited, const std::string& aDetail)>
    mOnReusedReadFailed;
};

// One keep-alive connection, replaced when it fails. A NAT or a firewall on the
// path may drop its state of a connection without a FIN or RST, so only a
// time-out reveals a dead one. Not thread-safe: every thread that calls the
// platform owns a client. Only Abort may be called from another thread.
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
  // Long poll: waits up to aWait for changes of a kind after aFrom, a cursor of
  // an earlier answer. If its connection fails, it is repeated without waiting:
  // changes may have been missed meanwhile. kConflict if the store no longer
  // has these changes; the caller must then list again.
  Result<ObjectDelta> Watch(const std::string& aKind,
                            std::uint64_t aFrom,
                            Millis aWait);
  // The whole configuration, as a full delta at its revision.
  Result<ObjectDelta> ListConfiguration();
  // Like Watch, for the configuration.
  Result<ObjectDelta> WatchConfiguration(std::uint64_t aFrom, Millis aWait);
  // Writes return the object's new version.
  Result<std::uint64_t> Create(const ObjectKey& aKey, const std::string& aSpec);
  Result<std::uint64_t> Update(const ObjectKey& aKey,
                               std::uint64_t aVersion,
                               const std::string& aSpec);
  Result<std::uint64_t> Delete(const ObjectKey& aKey, std::uint64_t aVersion);

  // Makes the call in progress and all later ones fail with kUnavailable.
  void Abort();

private:
  using Exchanged = tl::expected<HttpAnswer, ExchangeError>;

  // Returns the body of the answer.
  Result<std::string> Send(const StoreCall& aCall);
  // Waits for aExtraWait beyond the time-out. aRepeat is sent over a new
  // connection if the current one fails; null: the error is returned.
  Result<std::string> Send(const StoreCall& aCall,
                           Millis aExtraWait,
                           const StoreCall* aRepeat);
  // Sends once, without a retry over a new connection.
  Exchanged SendOnce(const StoreCall& aCall, Millis aAnswerTime);
  static Result<std::string> BodyOf(const StoreCall& aCall, Exchanged aAnswer);
  HttpRequestData RequestOf(const StoreCall& aCall) const;
  Result<std::uint64_t> Write(const StoreCall& aCall);
  Result<ObjectPage> ReadPage(const std::string& aKind,
                              const std::string& aAfter);

  const ObjectClientOptions mOptions;
  HttpPool mPool; // of one connection
  const CancelFlag mAborted = Cancellation::Make();
};

} // namespace porttiller
