// Client of the platform's object API over HTTP. docs/API.md has the protocol.
#pragma once

#include "porttiller/config/ObjectSet.h"
#include "porttiller/core/Time.h"
#include "porttiller/platform/PlatformError.h"

#include <Poco/Net/HTTPClientSession.h>
#include <memory>
#include <mutex>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace porttiller {

struct ObjectClientOptions
{
  std::string mAddress; // "ip:port"
  Millis mTimeout{ 3000 };
};

// One connection, kept open; each call may throw away a broken one. Every
// thread that talks to the platform owns its own; only Abort may be called
// from another.
class ObjectClient
{
public:
  explicit ObjectClient(ObjectClientOptions aOptions);

  template<typename T>
  using Result = tl::expected<T, PlatformError>;

  Result<Object> Get(const ObjectKey& aKey);
  // Every object of a kind, ordered by name, as a full delta at the store's
  // revision. All configuration kinds when aKind is empty.
  Result<ObjectDelta> List(const std::string& aKind);
  // Waits up to aWait for changes after aFrom. kConflict when the store no
  // longer knows them: list again.
  Result<ObjectDelta> Watch(const std::string& aKind,
                            std::uint64_t aFrom,
                            Millis aWait);
  // Each write returns the new version.
  Result<std::uint64_t> Create(const ObjectKey& aKey, const std::string& aSpec);
  Result<std::uint64_t> Update(const ObjectKey& aKey,
                               std::uint64_t aVersion,
                               const std::string& aSpec);
  Result<std::uint64_t> Delete(const ObjectKey& aKey, std::uint64_t aVersion);

  // Ends the call that is being made, and every later one, as kUnavailable.
  void Abort();

private:
  struct Call
  {
    std::string mMethod;
    std::string mPath;
    std::string mBody;
    std::uint64_t mIfVersion = 0; // 0: no condition
    Millis mTimeout{ 0 };
  };

  Result<std::string> Send(const Call& aCall);
  Result<std::uint64_t> Write(const Call& aCall);
  Result<ObjectDelta> ReadDelta(const Call& aCall);

  Poco::Net::HTTPClientSession& Session();
  void DropSession();

  ObjectClientOptions mOptions;
  std::mutex mMutex;
  std::unique_ptr<Poco::Net::HTTPClientSession> mSession; // under mMutex
  bool mAborted = false;                                  // under mMutex
};

} // namespace porttiller
