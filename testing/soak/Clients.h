// Callers that send requests to every box throughout a soak, on persistent
// connections, and record each answer.
#pragma once

#include "fleet/MeshFleet.h"
#include "fleet/ThrottleLog.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace porttiller::soak {

struct SentRequest
{
  std::string mId;
  int mBox = 0;
  bool mRepeatable = false;
  std::string mPrefix; // path prefix of its route
  std::string mBody;
  TimePoint mSentAt;
  TimePoint mEndedAt;
  fleet::Reply mReply; // status 0: no answer
};

struct ClientOptions
{
  std::uint64_t mSeed = 1;
  int mBoxes = 4;
  int mPerBox = 3; // callers
};

class Clients
{
public:
  Clients(const fleet::MeshFleet& aFleet,
          fleet::ThrottleLog& aThrottles,
          ClientOptions aOptions);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  // Makes some of the later requests use this route, which a configuration
  // change has added.
  void AddRoute(const std::string& aPrefix);
  // Waits for the outstanding answers and returns all requests.
  std::vector<SentRequest> Stop();

private:
  void Run(int aClient);

  const fleet::MeshFleet& mFleet;
  fleet::ThrottleLog& mThrottles;
  const ClientOptions mOptions;
  std::atomic<bool> mStop{ false };
  std::mutex mMutex;
  std::string mExtraPrefix;           // under mMutex
  std::vector<SentRequest> mRequests; // under mMutex
  std::vector<std::thread> mThreads;
};

} // namespace porttiller::soak
